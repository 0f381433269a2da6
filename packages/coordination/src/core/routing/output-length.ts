/**
 * How long an answer will be, learnt online. Length goes with the size of the prompt (a whole
 * history is read for one line, a short query is answered at length), so a moving mean is kept per
 * size class; a factor per workspace says how it differs. So a shift of the mix shows in the
 * expected work at arrival, not only when the first answers of the new kind end.
 */
import { LRUCache } from 'lru-cache';

/** Moving mean and how many answers it rests on. */
interface MovingMean {
  value: number;
  answers: number;
}

/** What is known of answer lengths in one service. */
export interface OutputLengths {
  /** Mean over all answers, in tokens. */
  readonly service: MovingMean;
  /** Mean by size class of the prompt, in tokens. */
  readonly classes: readonly MovingMean[];
  /** Length over that of the class, by workspace. */
  readonly workspaces: LRUCache<string, MovingMean>;
}

/** Workspaces remembered: the target size has 960 in steady use. */
const MAX_WORKSPACES = 2048;

/** Size classes: powers of two up to a million tokens. */
const SIZE_CLASSES = 21;

/** Weight of the newest answer; 1 in 20 follows a change within some 40 answers. */
const NEWEST_WEIGHT = 0.05;

/** Answers that weigh as much as the more general mean. */
const PRIOR_ANSWERS = 8;

/** Expected length before any answer was seen, in tokens. */
const FIRST_GUESS_TOKENS = 256;

/** Makes an empty estimator. */
export function createOutputLengths(): OutputLengths {
  return {
    service: { value: FIRST_GUESS_TOKENS, answers: 0 },
    classes: Array.from({ length: SIZE_CLASSES }, () => ({
      value: FIRST_GUESS_TOKENS,
      answers: 0,
    })),
    workspaces: new LRUCache<string, MovingMean>({ max: MAX_WORKSPACES }),
  };
}

/** Takes in the length of a finished answer. */
export function noteOutputLength(
  lengths: OutputLengths,
  workspace: string,
  promptTokens: number,
  outputTokens: number,
): void {
  const expected = classLength(lengths, promptTokens);
  let factor = lengths.workspaces.get(workspace);
  if (factor === undefined) {
    factor = { value: 1, answers: 0 };
    lengths.workspaces.set(workspace, factor);
  }
  learn(factor, outputTokens / Math.max(1, expected));
  learn(lengths.service, outputTokens);
  const sizeClass = lengths.classes[sizeClassOf(promptTokens)];
  if (sizeClass !== undefined) learn(sizeClass, outputTokens);
}

function sizeClassOf(promptTokens: number): number {
  return Math.min(SIZE_CLASSES - 1, Math.floor(Math.log2(Math.max(1, promptTokens))));
}

function learn(mean: MovingMean, value: number): void {
  mean.answers += 1;
  mean.value += (value - mean.value) * Math.max(NEWEST_WEIGHT, 1 / mean.answers);
}

function classLength(lengths: OutputLengths, promptTokens: number): number {
  return blend(lengths.classes[sizeClassOf(promptTokens)], lengths.service.value);
}

function blend(mean: MovingMean | undefined, general: number): number {
  if (mean === undefined) return general;
  return (mean.value * mean.answers + general * PRIOR_ANSWERS) / (mean.answers + PRIOR_ANSWERS);
}

/** Expected length, in tokens, never above what the request allows. */
export function expectedOutputTokens(
  lengths: OutputLengths,
  workspace: string,
  promptTokens: number,
  maxOutputTokens: number,
): number {
  const factor = blend(lengths.workspaces.get(workspace), 1);
  return Math.min(maxOutputTokens, classLength(lengths, promptTokens) * factor);
}
