/**
 * Generates and checks the answers of the engine stand-in. Each token depends only on prompt, seed and
 * position, so tests can detect a mixed-up, duplicated, truncated or altered answer. The first token
 * contains the seed, so a caller that did not choose the seed can read it.
 */
import { createHashing } from '@cassiamast/coordination';

const { hash32 } = await createHashing();

/** Words that answers consist of. A word that occurs more than once is more likely. */
const VOCABULARY = [
  'the finding remains open against this card and the record shows no further entry for it',
  'please attach the signed page before the next review because the limit has not been met',
  'feeder capacity study station line load wind winter margin relay breaker queue slot date',
  'panel rib frame seal pump valve hose rivet patch blend depth within after before under',
]
  .join(' ')
  .split(' ');

const FIRST_TOKEN = /^seed-(-?[0-9a-z]+)$/;
const SEED_RADIX = 36;

/** Inputs that determine an answer. `variant` makes an engine compute different answers. */
export interface AnswerSource {
  readonly promptHash: number;
  readonly seed: number;
  readonly variant: string;
}

/** Returns the inputs that determine the answer to a prompt. */
export function answerSource(prompt: string, seed: number, variant = ''): AnswerSource {
  return { promptHash: hash32(prompt), seed, variant };
}

/** Returns the token at a position. Each token but the first begins with a space. */
export function answerToken(source: AnswerSource, index: number): string {
  if (index === 0) return `seed-${source.seed.toString(SEED_RADIX)}`;
  const text = `${String(source.promptHash)}:${String(source.seed)}:${String(index)}${source.variant}`;
  return ` ${VOCABULARY[hash32(text) % VOCABULARY.length] ?? ''}`;
}

/** Returns the complete answer of an engine to a prompt with this seed. */
export function expectedAnswer(prompt: string, seed: number, maxTokens: number): string {
  const source = answerSource(prompt, seed);
  return Array.from({ length: maxTokens }, (_, index) => answerToken(source, index)).join('');
}

/** Results of checking an answer. */
export enum AnswerVerdict {
  Whole = 'whole',
  /** A correct prefix of the answer, but not all of it. */
  Cut = 'cut',
  /** Continues past the end of the answer. */
  TooLong = 'too-long',
  /** Does not match the answer to this prompt. */
  Wrong = 'wrong',
}

/** Checks an answer. The seed is read from its first token, so the caller need not know it. */
export function checkAnswer(prompt: string, maxTokens: number, text: string): AnswerVerdict {
  const seed = seedOf(text);
  if (seed === null) return text === '' ? AnswerVerdict.Cut : AnswerVerdict.Wrong;
  const expected = expectedAnswer(prompt, seed, maxTokens);
  if (text === expected) return AnswerVerdict.Whole;
  if (expected.startsWith(text)) return AnswerVerdict.Cut;
  return text.startsWith(expected) ? AnswerVerdict.TooLong : AnswerVerdict.Wrong;
}

/** Returns the seed in the first token of an answer, or null when there is none. */
export function seedOf(text: string): number | null {
  const match = FIRST_TOKEN.exec(text.split(' ', 1)[0] ?? '');
  return match?.[1] === undefined ? null : Number.parseInt(match[1], SEED_RADIX);
}
