/**
 * Predicts prefills on an engine from its measured ones. Two times are kept apart: how long a prompt
 * occupies the engine, which delays the prompts behind it, and the latency of an idle engine, in
 * which requests and reports travel and the engine could work on other prompts. If the latency
 * counted as occupancy, a fast engine would be left idle for most of the time while prompts wait.
 */

/** Decayed sums over samples (x: tokens, y: milliseconds). */
interface SampleSums {
  count: number;
  sumTokens: number;
  sumMs: number;
  sumTokensSquared: number;
  sumTokensMs: number;
}

/** Times of prefills: a line for each of two kinds of samples, with a common slope. */
interface FittedTimes {
  readonly perTokenMs: number;
  /** Time of a prompt without tokens behind another one, and on an idle engine. */
  readonly queuedStartMs: number;
  readonly idleStartMs: number;
}

/** A model of the prefills of one engine, or of all engines of a service in one phase. */
export interface PrefillTimeModel {
  /** The model of all engines in the same phase, from which this one starts; null for that one. */
  readonly pooled: PrefillTimeModel | null;
  /** Prefills that began while the engine was idle. */
  readonly idle: SampleSums;
  /** Prefills that reached the engine while it worked on an earlier prompt. */
  readonly queued: SampleSums;
  readonly priorTokensPerMs: number;
  /** Weight that a sample keeps with each new one. */
  readonly sampleDecay: number;
  fitted: FittedTimes;
  samples: number;
  /** Number of samples in the pooled model when `fitted` was computed. */
  pooledSamples: number;
}

/** One measured prefill. */
export interface PrefillSample {
  readonly tokens: number;
  /** Time since its start, or since the end of the prefill before it if that came later. */
  readonly durationMs: number;
  /** Time that it spent behind an earlier prefill; 0 on an idle engine. */
  readonly queuedMs: number;
}

/** Default decay: a sample has half its weight after about 35 others. */
const SAMPLE_DECAY = 0.98;
/** Prior for an unknown engine type: 22 ms to the first token, 4 ms of which a step takes. */
const PRIOR_IDLE_START_MS = 22;
const PRIOR_QUEUED_START_MS = 4;
/** Token count of the second sample of the prior; a typical prompt size. */
const PRIOR_TOKENS = 8000;
/**
 * Maximum ratio between the fitted slope and the slope of the prior, so that a single outlier
 * cannot distort the model.
 */
const MAX_SLOPE_RATIO = 6;
/** Number of samples of other engines after which an engine's prior is taken anew. */
const POOLED_REFRESH_SAMPLES = 8;
/** Longer samples are ignored, because a stalled engine says nothing about its speed. */
const MAX_SAMPLE_MS = 5000;

/** Prefill speed that is assumed of an unknown engine type, in tokens per millisecond. */
export const PREFILL_TOKENS_PER_MS = 36;

/**
 * Returns a model without samples of its own. Its prior is the pooled model, or an engine with the
 * given speed if there is none.
 */
export function createPrefillTimeModel(
  priorTokensPerMs: number,
  sampleDecay = SAMPLE_DECAY,
  pooled: PrefillTimeModel | null = null,
): PrefillTimeModel {
  const model = {
    pooled,
    idle: createSums(),
    queued: createSums(),
    priorTokensPerMs,
    sampleDecay,
    fitted: { perTokenMs: 1 / priorTokensPerMs, queuedStartMs: 0, idleStartMs: 0 },
    samples: 0,
    pooledSamples: 0,
  };
  refit(model);
  return model;
}

/** Adds a measured prefill to a model and to the pooled one. */
export function recordPrefill(model: PrefillTimeModel, sample: PrefillSample): void {
  const { tokens, durationMs, queuedMs } = sample;
  if (durationMs > MAX_SAMPLE_MS || !isMeaningful(model, sample)) return;
  if (model.pooled !== null) recordPrefill(model.pooled, sample);
  const sums = queuedMs > 0 ? model.queued : model.idle;
  decay(sums, model.sampleDecay);
  addSample(sums, tokens, durationMs);
  model.samples += 1;
  refit(model);
}

/**
 * Returns whether a sample shows one of the two times: a prompt that arrived while the one before it
 * was nearly done shows neither.
 */
export function isMeaningful(model: PrefillTimeModel, { queuedMs }: PrefillSample): boolean {
  return queuedMs <= 0 || queuedMs >= prefillLatencyMs(model);
}

/** Returns how long a prompt occupies the engine, in milliseconds. */
export function predictPrefillMs(model: PrefillTimeModel, tokens: number): number {
  const { queuedStartMs, perTokenMs } = currentFit(model);
  return queuedStartMs + perTokenMs * tokens;
}

/** Returns the latency of a prefill in addition to the time for which it occupies the engine. */
export function prefillLatencyMs(model: PrefillTimeModel): number {
  const { idleStartMs, queuedStartMs } = currentFit(model);
  return Math.max(0, idleStartMs - queuedStartMs);
}

function currentFit(model: PrefillTimeModel): FittedTimes {
  const pooledSamples = model.pooled?.samples ?? 0;
  if (pooledSamples - model.pooledSamples >= POOLED_REFRESH_SAMPLES) refit(model);
  return model.fitted;
}

function refit(model: PrefillTimeModel): void {
  const prior = model.pooled?.fitted ?? {
    perTokenMs: 1 / model.priorTokensPerMs,
    queuedStartMs: PRIOR_QUEUED_START_MS,
    idleStartMs: PRIOR_IDLE_START_MS,
  };
  const idle = withPrior(model.idle, prior.idleStartMs, prior.perTokenMs);
  const queued = withPrior(model.queued, prior.queuedStartMs, prior.perTokenMs);
  model.pooledSamples = model.pooled?.samples ?? 0;
  const slowest = MAX_SLOPE_RATIO / PREFILL_TOKENS_PER_MS;
  const fastest = 1 / (MAX_SLOPE_RATIO * PREFILL_TOKENS_PER_MS);
  const slope = (covariance(idle) + covariance(queued)) / (variance(idle) + variance(queued));
  // A prefill cannot take less than no time to start, however similar the sizes of all prompts are.
  const steepest = Math.min(slowest, meanPerTokenMs(idle), meanPerTokenMs(queued));
  const perTokenMs = Math.max(fastest, Math.min(steepest, slope));
  const queuedStartMs = startOf(queued, perTokenMs);
  model.fitted = {
    perTokenMs,
    queuedStartMs,
    idleStartMs: Math.max(queuedStartMs, startOf(idle, perTokenMs)),
  };
}

function createSums(): SampleSums {
  return { count: 0, sumTokens: 0, sumMs: 0, sumTokensSquared: 0, sumTokensMs: 0 };
}

function withPrior(sums: SampleSums, startMs: number, perTokenMs: number): SampleSums {
  const extended = { ...sums };
  addSample(extended, 0, startMs);
  addSample(extended, PRIOR_TOKENS, startMs + PRIOR_TOKENS * perTokenMs);
  return extended;
}

function decay(sums: SampleSums, keptWeight: number): void {
  sums.count *= keptWeight;
  sums.sumTokens *= keptWeight;
  sums.sumMs *= keptWeight;
  sums.sumTokensSquared *= keptWeight;
  sums.sumTokensMs *= keptWeight;
}

function addSample(sums: SampleSums, tokens: number, durationMs: number): void {
  sums.count += 1;
  sums.sumTokens += tokens;
  sums.sumMs += durationMs;
  sums.sumTokensSquared += tokens * tokens;
  sums.sumTokensMs += tokens * durationMs;
}

function variance({ count, sumTokens, sumTokensSquared }: SampleSums): number {
  return sumTokensSquared - sumTokens ** 2 / count;
}

function covariance({ count, sumTokens, sumMs, sumTokensMs }: SampleSums): number {
  return sumTokensMs - (sumTokens * sumMs) / count;
}

function meanPerTokenMs({ sumTokens, sumMs }: SampleSums): number {
  return sumMs / sumTokens;
}

function startOf({ count, sumTokens, sumMs }: SampleSums, perTokenMs: number): number {
  return Math.max(0, (sumMs - perTokenMs * sumTokens) / count);
}
