/**
 * Interface to the platform's calls that one gateway makes for all. A call whose answer is lost may
 * have been accepted.
 */
import type { Failure, UsageCounts } from '@cassiamast/coordination';
import type { ResultAsync } from 'neverthrow';

/** Who makes a call: the name of its process and the fencing token of its lease. */
export interface DutyAuthority {
  readonly holder: string;
  readonly fence: number;
}

/** Calls of duties. None of them retries. */
export interface DutyPort {
  /** Reports how many requests of each workspace began to run in a window. */
  readonly reportUsage: (
    window: number,
    counts: UsageCounts,
    authority: DutyAuthority,
  ) => ResultAsync<null, Failure>;
  readonly close: () => Promise<void>;
}
