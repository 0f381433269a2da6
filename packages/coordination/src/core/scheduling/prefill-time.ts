/**
 * Predicts the prefill time on an engine as a start-up time plus a time per token. The model is
 * fitted to the engine's measured prefills by least squares with exponential decay.
 */

/** Decayed sums over samples (x: tokens, y: milliseconds). */
export interface PrefillTimeModel {
  count: number;
  sumTokens: number;
  sumMs: number;
  sumTokensSquared: number;
  sumTokensMs: number;
}

/** Weight that a sample keeps with each new one; it halves after about 35 samples. */
const SAMPLE_DECAY = 0.98;
/** Number of samples that the prior counts as; small, so that a few measurements outweigh it. */
const PRIOR_SAMPLES = 1;
/** Prior for the current engine type: 22 ms to the first token according to its data sheet. */
const PRIOR_START_MS = 22;
/** Token count of the second sample of the prior; a typical prompt size. */
const PRIOR_TOKENS = 8000;
/**
 * Maximum ratio between the fitted slope and the slope of the prior, so that a single outlier
 * cannot distort the model.
 */
const MAX_SLOPE_RATIO = 6;
/** Longer samples are ignored, because a stalled engine says nothing about its speed. */
const MAX_SAMPLE_MS = 5000;

/**
 * Prefill speed of the current engine type in tokens per millisecond, according to its data sheet.
 */
export const PREFILL_TOKENS_PER_MS = 36;

/** Returns a model that contains only the prior. */
export function createPrefillTimeModel(priorTokensPerMs: number): PrefillTimeModel {
  const model: PrefillTimeModel = {
    count: 0,
    sumTokens: 0,
    sumMs: 0,
    sumTokensSquared: 0,
    sumTokensMs: 0,
  };
  for (let index = 0; index < PRIOR_SAMPLES; index += 1) {
    addSample(model, 0, PRIOR_START_MS);
    addSample(model, PRIOR_TOKENS, PRIOR_START_MS + PRIOR_TOKENS / priorTokensPerMs);
  }
  return model;
}

/** Adds the measured duration of a prefill to the model; earlier samples keep the part `decay`. */
export function recordPrefill(
  model: PrefillTimeModel,
  tokens: number,
  durationMs: number,
  decay = SAMPLE_DECAY,
): void {
  if (durationMs > MAX_SAMPLE_MS) return;
  model.count *= decay;
  model.sumTokens *= decay;
  model.sumMs *= decay;
  model.sumTokensSquared *= decay;
  model.sumTokensMs *= decay;
  addSample(model, tokens, durationMs);
}

/** Returns the predicted time to prefill the given number of tokens. */
export function predictPrefillMs(model: PrefillTimeModel, tokens: number): number {
  const scaledVariance = model.count * model.sumTokensSquared - model.sumTokens ** 2;
  const fitted = (model.count * model.sumTokensMs - model.sumTokens * model.sumMs) / scaledVariance;
  const slowest = MAX_SLOPE_RATIO / PREFILL_TOKENS_PER_MS;
  const fastest = 1 / (MAX_SLOPE_RATIO * PREFILL_TOKENS_PER_MS);
  const perTokenMs = Math.min(slowest, Math.max(fastest, scaledVariance > 0 ? fitted : fastest));
  const startMs = Math.max(0, (model.sumMs - perTokenMs * model.sumTokens) / model.count);
  return startMs + perTokenMs * tokens;
}

function addSample(model: PrefillTimeModel, tokens: number, durationMs: number): void {
  model.count += 1;
  model.sumTokens += tokens;
  model.sumMs += durationMs;
  model.sumTokensSquared += tokens * tokens;
  model.sumTokensMs += tokens * durationMs;
}
