/**
 * Interface to the rate-limited store of model weights. Engines fetch weights from it directly. The
 * planner reads how much may be fetched at the moment, so that it can spread model loads over time
 * instead of having them rejected.
 */
import type { Failure } from '@cassiamast/coordination';
import type { ResultAsync } from 'neverthrow';

/** The current rate and load of the store. */
export interface WeightStoreStatus {
  readonly rateMbPerS: number;
  readonly activeFetches: number;
  /** How long to wait before the next fetch if the store is throttling, otherwise 0. */
  readonly retryAfterMs: number;
}

/** Calls to the weight store. */
export interface WeightStorePort {
  readonly status: () => ResultAsync<WeightStoreStatus, Failure>;
}
