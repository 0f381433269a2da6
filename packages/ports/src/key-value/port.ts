/**
 * The platform's key-value service as the product uses it: compare-and-swap, leases and watches.
 * The service has outages, and an answer can be lost after the write took effect; so every call may
 * fail with an uncertain outcome, and callers read back before they try again.
 */
import type { Failure } from '@cassiamast/coordination';
import type { ResultAsync } from 'neverthrow';

/** A value with the revision of its last change, which only grows over the whole service. */
export interface KeyValueEntry {
  readonly key: string;
  readonly value: string;
  /** Revision at which the key came into being; a fencing number for locks. */
  readonly createRevision: number;
  /** Revision of the key's last change; what a compare-and-swap compares. */
  readonly modRevision: number;
}

/** A condition on one key: its `modRevision` must equal this; 0 means that it must not exist. */
export interface KeyValueCompare {
  readonly key: string;
  readonly modRevision: number;
}

/** A write of one key, or its removal when the value is null. */
export interface KeyValueWrite {
  readonly key: string;
  readonly value: string | null;
  /** The lease that removes the key when it lapses. */
  readonly leaseId?: string;
}

/** What a transaction did. */
export interface TransactionResult {
  /** Whether all comparisons held and the writes took effect. */
  readonly succeeded: boolean;
  /** Revision of the service after the transaction. */
  readonly revision: number;
  /** Current entries of the compared keys, where the comparisons failed. */
  readonly current: readonly KeyValueEntry[];
}

/** A lease: keys bound to it vanish when it is not kept alive for `ttlMs`. */
export interface KeyValueLease {
  readonly leaseId: string;
  readonly ttlMs: number;
}

/** One change seen by a watch; `entry` is null when the key was removed. */
export interface KeyValueChange {
  readonly key: string;
  readonly entry: KeyValueEntry | null;
  readonly revision: number;
}

/** Ends a running watch. */
export type StopWatch = () => void;

/** Calls to the service. None retries by itself. */
export interface KeyValuePort {
  readonly get: (key: string) => ResultAsync<KeyValueEntry | null, Failure>;
  readonly list: (prefix: string, limit: number) => ResultAsync<readonly KeyValueEntry[], Failure>;
  /**
   * The same for readers to whom an answer is of use however late, up to some seconds. Not for
   * whoever judges by it what holds now, such as a lease.
   */
  readonly getLate: KeyValuePort['get'];
  readonly listLate: KeyValuePort['list'];
  readonly transact: (
    compares: readonly KeyValueCompare[],
    writes: readonly KeyValueWrite[],
  ) => ResultAsync<TransactionResult, Failure>;
  readonly grantLease: (ttlMs: number) => ResultAsync<KeyValueLease, Failure>;
  readonly keepLeaseAlive: (leaseId: string) => ResultAsync<KeyValueLease, Failure>;
  readonly revokeLease: (leaseId: string) => ResultAsync<null, Failure>;
  /** Watches one key; misses, repeats and old revisions are the caller's to tolerate. */
  readonly watch: (
    key: string,
    fromRevision: number,
    onChange: (change: KeyValueChange) => void,
    onEnd: (failure: Failure | null) => void,
  ) => StopWatch;
}

/** The calls that a lease machine needs. */
export type LeaseStore = Pick<
  KeyValuePort,
  'get' | 'transact' | 'grantLease' | 'keepLeaseAlive' | 'revokeLease'
>;
