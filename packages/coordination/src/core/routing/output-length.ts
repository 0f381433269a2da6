/**
 * How long an answer will be, learnt online: a moving mean per workspace, which falls back to the
 * service's own until the workspace has shown a few answers. Bounded by least recent use.
 */
import { LRUCache } from 'lru-cache';

/** Moving mean and how many answers it rests on. */
interface LengthMean {
  tokens: number;
  answers: number;
}

/** What is known of answer lengths in one service. */
export interface OutputLengths {
  readonly workspaces: LRUCache<string, LengthMean>;
  readonly service: LengthMean;
}

/** Workspaces remembered: the target size has 960 in steady use. */
const MAX_WORKSPACES = 2048;

/** Weight of the newest answer; 1 in 20 follows a change within some 40 answers. */
const NEWEST_WEIGHT = 0.05;

/** Answers of a workspace that weigh as much as the service's mean. */
const PRIOR_ANSWERS = 8;

/** Expected length before any answer was seen, in tokens. */
const FIRST_GUESS_TOKENS = 256;

/** Makes an empty estimator. */
export function createOutputLengths(): OutputLengths {
  return {
    workspaces: new LRUCache<string, LengthMean>({ max: MAX_WORKSPACES }),
    service: { tokens: FIRST_GUESS_TOKENS, answers: 0 },
  };
}

/** Takes in the length of a finished answer. */
export function noteOutputLength(lengths: OutputLengths, workspace: string, tokens: number): void {
  learn(lengths.service, tokens);
  let mean = lengths.workspaces.get(workspace);
  if (mean === undefined) {
    mean = { tokens: lengths.service.tokens, answers: 0 };
    lengths.workspaces.set(workspace, mean);
  }
  learn(mean, tokens);
}

function learn(mean: LengthMean, tokens: number): void {
  mean.answers += 1;
  const weight = Math.max(NEWEST_WEIGHT, 1 / (mean.answers + 1));
  mean.tokens += (tokens - mean.tokens) * weight;
}

/** Expected length, in tokens, never above what the request allows. */
export function expectedOutputTokens(
  lengths: OutputLengths,
  workspace: string,
  maxOutputTokens: number,
): number {
  const mean = lengths.workspaces.get(workspace);
  const answers = mean?.answers ?? 0;
  const own = mean?.tokens ?? 0;
  const blended =
    (own * answers + lengths.service.tokens * PRIOR_ANSWERS) / (answers + PRIOR_ANSWERS);
  return Math.min(maxOutputTokens, blended);
}
