/**
 * How long an engine takes to read a prompt: a start-up time and a time for each token, fitted to
 * the engine's own readings by least squares, in which old readings fade.
 */

/** Decayed sums over readings (x: tokens, y: milliseconds). */
export interface ReadTime {
  count: number;
  sumTokens: number;
  sumMs: number;
  sumTokensSquared: number;
  sumTokensMs: number;
}

/** Weight that a reading keeps when the next one comes: half after some 35 readings. */
const FADE = 0.98;
/** Readings that the prior counts as: few, so that a handful of readings outweighs it. */
const PRIOR_READINGS = 1;
/** Prior of an engine of today's kind: 22 ms to the first token, as its data sheet says. */
const PRIOR_START_MS = 22;
/** Tokens of the second point of the prior; the size of an ordinary prompt. */
const PRIOR_TOKENS = 8000;
/** No fit may be faster or slower than the prior by more than this: one odd reading fits anything. */
const MAX_SLOPE_RATIO = 6;
/** Longest reading that is believed: a stalled engine says nothing of its speed. */
const MAX_READING_MS = 5000;

/** Tokens that an engine of today's kind reads in a millisecond, as its data sheet says. */
export const FULL_TOKENS_PER_MS = 36;

/** A model that knows only the prior. */
export function createReadTime(priorTokensPerMs: number): ReadTime {
  const time: ReadTime = { count: 0, sumTokens: 0, sumMs: 0, sumTokensSquared: 0, sumTokensMs: 0 };
  for (let index = 0; index < PRIOR_READINGS; index += 1) {
    add(time, 0, PRIOR_START_MS);
    add(time, PRIOR_TOKENS, PRIOR_START_MS + PRIOR_TOKENS / priorTokensPerMs);
  }
  return time;
}

/** Takes in a reading. */
export function noteReading(time: ReadTime, tokens: number, tookMs: number): void {
  if (tookMs > MAX_READING_MS) return;
  time.count *= FADE;
  time.sumTokens *= FADE;
  time.sumMs *= FADE;
  time.sumTokensSquared *= FADE;
  time.sumTokensMs *= FADE;
  add(time, tokens, tookMs);
}

/** Time that reading so many tokens takes. */
export function predictReadMs(time: ReadTime, tokens: number): number {
  const spread = time.count * time.sumTokensSquared - time.sumTokens ** 2;
  const fitted = (time.count * time.sumTokensMs - time.sumTokens * time.sumMs) / spread;
  const slowest = MAX_SLOPE_RATIO / FULL_TOKENS_PER_MS;
  const fastest = 1 / (MAX_SLOPE_RATIO * FULL_TOKENS_PER_MS);
  const perTokenMs = Math.min(slowest, Math.max(fastest, spread > 0 ? fitted : fastest));
  const startMs = Math.max(0, (time.sumMs - perTokenMs * time.sumTokens) / time.count);
  return startMs + perTokenMs * tokens;
}

function add(time: ReadTime, tokens: number, tookMs: number): void {
  time.count += 1;
  time.sumTokens += tokens;
  time.sumMs += tookMs;
  time.sumTokensSquared += tokens * tokens;
  time.sumTokensMs += tokens * tookMs;
}
