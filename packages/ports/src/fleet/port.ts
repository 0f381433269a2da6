/**
 * The store that holds the fleet: what operators want, which targets have registered and which
 * gateways live. Every call may fail, and a write whose answer is lost may have taken effect.
 */
import type { CrashNote, Failure, FleetChange, GatewayEntry } from '@cassiamast/coordination';
import type { ResultAsync } from 'neverthrow';
import type { LeaseStore } from '../key-value/port.js';

/** An entry of the store that is not what should lie under its key: another program wrote it. */
export interface EntryFault {
  readonly key: string;
}

/** Changes up to a revision of the store. */
export interface FleetReading {
  readonly changes: readonly FleetChange[];
  readonly faults: readonly EntryFault[];
  readonly revision: number;
}

/** Calls to the store. None retries by itself. */
export interface FleetPort extends LeaseStore {
  /** Everything, as changes. */
  readonly list: () => ResultAsync<FleetReading, Failure>;
  /**
   * The changes after a revision, as soon as there are any and at the latest after `waitMs`.
   * Fails with FLEET_HISTORY_GONE when a listing is needed.
   */
  readonly changesAfter: (revision: number, waitMs: number) => ResultAsync<FleetReading, Failure>;
  /** Announces this gateway for as long as the lease lives. */
  readonly announce: (gateway: GatewayEntry, leaseId: string) => ResultAsync<null, Failure>;
  /** Tells all gateways of crashes, for as long as the lease lives. */
  readonly recordCrashes: (
    crashes: readonly CrashNote[],
    leaseId: string,
  ) => ResultAsync<null, Failure>;
  /** Takes back what was told of crashes. */
  readonly forgetCrashes: (crashes: readonly CrashNote[]) => ResultAsync<null, Failure>;
  readonly close: () => Promise<void>;
}
