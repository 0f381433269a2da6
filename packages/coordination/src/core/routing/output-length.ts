/**
 * Estimates the output length of a request from finished answers. Output length correlates with
 * prompt size (a long history may be answered in one line, a short query at length), so a moving
 * mean is kept for each size class of the prompt, with a correction factor per workspace. A shift
 * of the request mix therefore changes the expected work when requests arrive, before the first
 * answers of the new kind end.
 */
import { LRUCache } from 'lru-cache';

/** A moving mean and the number of answers that it is based on. */
interface MovingMean {
  value: number;
  answers: number;
}

/** Output lengths observed in one service. */
export interface OutputLengths {
  /** Mean over all answers, in tokens. */
  readonly service: MovingMean;
  /** Mean for each size class of the prompt, in tokens. */
  readonly classes: readonly MovingMean[];
  /** Ratio of a workspace's output length to the mean of the size class, by workspace. */
  readonly workspaces: LRUCache<string, MovingMean>;
}

/** Workspaces tracked at once; the planned deployment has 960 in steady use. */
const MAX_WORKSPACES = 2048;

/** Number of size classes: one per power of two, up to a million tokens. */
const SIZE_CLASSES = 21;

/** Weight of the newest answer; 1 in 20 adapts to a change within about 40 answers. */
const SMOOTHING_FACTOR = 0.05;

/** Number of answers at which a mean weighs as much as the more general mean it is blended with. */
const PRIOR_ANSWERS = 8;

/** Expected length before the first answer has finished, in tokens. */
const INITIAL_LENGTH_TOKENS = 256;

/** Creates the statistics of a service without any answers. */
export function createOutputLengths(): OutputLengths {
  return {
    service: { value: INITIAL_LENGTH_TOKENS, answers: 0 },
    classes: Array.from({ length: SIZE_CLASSES }, () => ({
      value: INITIAL_LENGTH_TOKENS,
      answers: 0,
    })),
    workspaces: new LRUCache<string, MovingMean>({ max: MAX_WORKSPACES }),
  };
}

/** Records the output length of a finished answer. */
export function recordOutputLength(
  lengths: OutputLengths,
  workspace: string,
  promptTokens: number,
  outputTokens: number,
): void {
  const expectedTokens = expectedClassLength(lengths, promptTokens);
  let workspaceFactor = lengths.workspaces.get(workspace);
  if (workspaceFactor === undefined) {
    workspaceFactor = { value: 1, answers: 0 };
    lengths.workspaces.set(workspace, workspaceFactor);
  }
  updateMean(workspaceFactor, outputTokens / Math.max(1, expectedTokens));
  updateMean(lengths.service, outputTokens);
  const sizeClass = lengths.classes[sizeClassOf(promptTokens)];
  if (sizeClass !== undefined) updateMean(sizeClass, outputTokens);
}

function sizeClassOf(promptTokens: number): number {
  return Math.min(SIZE_CLASSES - 1, Math.floor(Math.log2(Math.max(1, promptTokens))));
}

function updateMean(mean: MovingMean, value: number): void {
  mean.answers += 1;
  mean.value += (value - mean.value) * Math.max(SMOOTHING_FACTOR, 1 / mean.answers);
}

function expectedClassLength(lengths: OutputLengths, promptTokens: number): number {
  return blendWithPrior(lengths.classes[sizeClassOf(promptTokens)], lengths.service.value);
}

function blendWithPrior(mean: MovingMean | undefined, prior: number): number {
  if (mean === undefined) return prior;
  return (mean.value * mean.answers + prior * PRIOR_ANSWERS) / (mean.answers + PRIOR_ANSWERS);
}

/** Returns the expected output length in tokens, at most `maxOutputTokens`. */
export function expectedOutputTokens(
  lengths: OutputLengths,
  workspace: string,
  promptTokens: number,
  maxOutputTokens: number,
): number {
  const factor = blendWithPrior(lengths.workspaces.get(workspace), 1);
  return Math.min(maxOutputTokens, expectedClassLength(lengths, promptTokens) * factor);
}
