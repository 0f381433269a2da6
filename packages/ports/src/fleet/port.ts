/**
 * Interface to the platform's fleet store, which holds the operators' configuration, the registered
 * targets and the live gateways. Every call can fail, and a write whose response is lost may have
 * taken effect.
 */
import type {
  CrashNote,
  Failure,
  FleetChange,
  GatewayEntry,
  RecordedVersions,
  StreamAssignment,
  VersionRecord,
} from '@cassiamast/coordination';
import type { ResultAsync } from 'neverthrow';
import type { KeyValueLease, LeaseStore, TransactionResult } from '../key-value/port.js';

/** An entry whose value does not have the form that its key requires; another program wrote it. */
export interface InvalidEntry {
  readonly key: string;
}

/** Fleet changes up to a revision of the store. */
export interface FleetChangeBatch {
  readonly changes: readonly FleetChange[];
  readonly faults: readonly InvalidEntry[];
  readonly revision: number;
}

/** Calls to the fleet store. None of them retries. */
export interface FleetPort extends LeaseStore {
  /** Returns the whole fleet in the form of changes. */
  readonly list: () => ResultAsync<FleetChangeBatch, Failure>;
  /**
   * Long poll: returns the changes after a revision as soon as there are any, at the latest after
   * `waitMs`. Fails with FLEET_HISTORY_GONE if the store no longer has them, or has come back from an
   * older copy since; `list` is needed then.
   */
  readonly changesAfter: (
    revision: number,
    waitMs: number,
  ) => ResultAsync<FleetChangeBatch, Failure>;
  /** Registers this gateway until the lease expires. */
  readonly announce: (gateway: GatewayEntry, leaseId: string) => ResultAsync<null, Failure>;
  /**
   * Publishes crash notes to all gateways until they are deleted. Returns the revision at which the
   * store has them.
   */
  readonly recordCrashes: (crashes: readonly CrashNote[]) => ResultAsync<number, Failure>;
  /** Deletes published crash notes. */
  readonly deleteCrashes: (crashes: readonly CrashNote[]) => ResultAsync<null, Failure>;
  /**
   * Publishes origins of streams to all gateways until the lease expires. Each batch needs an id of
   * its own. Fails with KEY_VALUE_LEASE_GONE if the lease has ended. If the store comes back from an
   * older copy, the origins that the copy has are not returned any more.
   */
  readonly recordStreams: (
    batchId: string,
    streams: readonly StreamAssignment[],
    lease: Pick<KeyValueLease, 'leaseId' | 'era'>,
  ) => ResultAsync<null, Failure>;
  /** Returns the version record of a service as the store has it now, or null if there is none. */
  readonly readVersions: (service: string) => ResultAsync<VersionRecord | null, Failure>;
  /**
   * Replaces the version record of a service if its revision is still `modRevision`, with 0 for a
   * record that does not exist.
   */
  readonly recordVersions: (
    service: string,
    content: RecordedVersions,
    modRevision: number,
  ) => ResultAsync<TransactionResult, Failure>;
  /** Makes further calls on new connections only, as those of now may have gone silent. */
  readonly renewConnections: () => void;
  readonly close: () => Promise<void>;
}
