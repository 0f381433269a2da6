/**
 * The rate-limited store of model weights. Engines fetch from it by themselves; the planner asks
 * how much may be fetched now, so that loads are spaced rather than refused.
 */
import type { Failure } from '@cassiamast/coordination';
import type { ResultAsync } from 'neverthrow';

/** What the store allows at the moment. */
export interface WeightStoreStatus {
  readonly rateMbPerS: number;
  readonly activeFetches: number;
  /** When it last said "slow down": wait this long, else 0. */
  readonly retryAfterMs: number;
}

/** Calls to the store. */
export interface WeightStorePort {
  readonly status: () => ResultAsync<WeightStoreStatus, Failure>;
}
