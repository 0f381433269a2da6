/**
 * The stand-in's answers: each token is a function of prompt, seed and position alone, so that
 * anyone can tell a whole answer from a crossed, doubled, cut or changed one. The first token
 * states the seed, which a caller that did not choose it can therefore read back.
 */
import { createHashing } from '@cassiamast/coordination';

const { hash32 } = await createHashing();

/** Words of findings and capacity notes; a repeated word is merely likelier. */
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

/** What fixes an answer. `variant` stands for an engine that computes something else. */
export interface AnswerSource {
  readonly promptHash: number;
  readonly seed: number;
  readonly variant: string;
}

/** The source of the answers to one prompt. */
export function answerSource(prompt: string, seed: number, variant = ''): AnswerSource {
  return { promptHash: hash32(prompt), seed, variant };
}

/** The token at a position; each but the first begins with a space. */
export function answerToken(source: AnswerSource, index: number): string {
  if (index === 0) return `seed-${source.seed.toString(SEED_RADIX)}`;
  const text = `${String(source.promptHash)}:${String(source.seed)}:${String(index)}${source.variant}`;
  return ` ${VOCABULARY[hash32(text) % VOCABULARY.length] ?? ''}`;
}

/** The whole answer that an engine gives to a prompt with this seed. */
export function expectedAnswer(prompt: string, seed: number, maxTokens: number): string {
  const source = answerSource(prompt, seed);
  return Array.from({ length: maxTokens }, (_, index) => answerToken(source, index)).join('');
}

/** What a caller's answer turned out to be. */
export enum AnswerVerdict {
  Whole = 'whole',
  /** A true beginning of the answer, but not all of it. */
  Cut = 'cut',
  /** Goes on past the end of the answer. */
  TooLong = 'too-long',
  /** Not an answer to this prompt. */
  Wrong = 'wrong',
}

/** Judges an answer whose seed the caller need not know: it is read from the first token. */
export function checkAnswer(prompt: string, maxTokens: number, text: string): AnswerVerdict {
  const seed = seedOf(text);
  if (seed === null) return text === '' ? AnswerVerdict.Cut : AnswerVerdict.Wrong;
  const expected = expectedAnswer(prompt, seed, maxTokens);
  if (text === expected) return AnswerVerdict.Whole;
  if (expected.startsWith(text)) return AnswerVerdict.Cut;
  return text.startsWith(expected) ? AnswerVerdict.TooLong : AnswerVerdict.Wrong;
}

/** The seed that an answer states, or null when it states none. */
export function seedOf(text: string): number | null {
  const match = FIRST_TOKEN.exec(text.split(' ', 1)[0] ?? '');
  return match?.[1] === undefined ? null : Number.parseInt(match[1], SEED_RADIX);
}
