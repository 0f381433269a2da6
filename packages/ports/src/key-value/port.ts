/**
 * Interface to the platform's key-value service: compare-and-swap, leases and watches. The service
 * has outages, and a response can be lost after the write took effect. Every call can therefore
 * fail with an unknown outcome, and callers read the key back before they retry.
 */
import type { Failure } from '@cassiamast/coordination';
import type { ResultAsync } from 'neverthrow';

/**
 * A stored value. Revisions increase monotonically across the whole service, also when it comes back
 * from an older copy of itself.
 */
export interface KeyValueEntry {
  readonly key: string;
  readonly value: string;
  /** Revision at which the key was created; serves as the fencing token of a lock. */
  readonly createRevision: number;
  /** Revision of the key's last change; used for compare-and-swap. */
  readonly modRevision: number;
}

/** A condition that a key has this `modRevision`; 0 means that the key must not exist. */
export interface KeyValueCompare {
  readonly key: string;
  readonly modRevision: number;
}

/** A write of one key, or its deletion if the value is null. */
export interface KeyValueWrite {
  readonly key: string;
  readonly value: string | null;
  /** The lease whose expiry deletes the key. */
  readonly leaseId?: string;
}

/** The outcome of a transaction. */
export interface TransactionResult {
  /** Whether all conditions were met and the writes took effect. */
  readonly succeeded: boolean;
  /** Revision of the service after the transaction. */
  readonly revision: number;
  /** Current entries of the compared keys if a condition was not met. */
  readonly current: readonly KeyValueEntry[];
}

/** A lease. Keys attached to it are deleted if it is not kept alive for `ttlMs`. */
export interface KeyValueLease {
  readonly leaseId: string;
  readonly ttlMs: number;
  /**
   * Rises when the service comes back from an older copy of itself, which may lack keys attached to the
   * lease; 0 for a service that does not.
   */
  readonly era: number;
}

/** A change reported by a watch; `entry` is null if the key was deleted. */
export interface KeyValueChange {
  readonly key: string;
  readonly entry: KeyValueEntry | null;
  readonly revision: number;
}

/** Stops a running watch. */
export type StopWatch = () => void;

/** Calls to the key-value service. None of them retries. */
export interface KeyValuePort {
  readonly get: (key: string) => ResultAsync<KeyValueEntry | null, Failure>;
  readonly list: (prefix: string, limit: number) => ResultAsync<readonly KeyValueEntry[], Failure>;
  /**
   * Like `get` and `list`, with a timeout of several seconds, for callers to which a late answer is
   * still useful. Not for decisions that depend on the current state, such as whether a lease is
   * still held.
   */
  readonly getWithLongTimeout: KeyValuePort['get'];
  readonly listWithLongTimeout: KeyValuePort['list'];
  readonly transact: (
    compares: readonly KeyValueCompare[],
    writes: readonly KeyValueWrite[],
  ) => ResultAsync<TransactionResult, Failure>;
  readonly grantLease: (ttlMs: number) => ResultAsync<KeyValueLease, Failure>;
  readonly keepLeaseAlive: (leaseId: string) => ResultAsync<KeyValueLease, Failure>;
  readonly revokeLease: (leaseId: string) => ResultAsync<null, Failure>;
  /** Watches one key. The caller must tolerate missed and repeated changes and old revisions. */
  readonly watch: (
    key: string,
    fromRevision: number,
    onChange: (change: KeyValueChange) => void,
    onEnd: (failure: Failure | null) => void,
  ) => StopWatch;
}

/** The subset of calls that a lease state machine needs. */
export type LeaseStore = Pick<
  KeyValuePort,
  'get' | 'transact' | 'grantLease' | 'keepLeaseAlive' | 'revokeLease'
>;
