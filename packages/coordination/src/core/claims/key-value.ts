/**
 * The key-value service as these machines use it: the same shapes as the platform's port, kept here
 * as data so that decisions stay free of calls.
 */

/** A value with the revision of its last change. */
export interface StoredValue {
  readonly key: string;
  readonly value: string;
  readonly modRevision: number;
}

/** A condition on one key: its revision must equal this; 0 means that it must not exist. */
export interface RevisionCompare {
  readonly key: string;
  readonly modRevision: number;
}

/** A write of one key, or its removal when the value is null. */
export interface StoredWrite {
  readonly key: string;
  readonly value: string | null;
  readonly leaseId?: string;
}

/** What a transaction did; `current` has the existing entries of the compared keys on failure. */
export interface TransactionOutcome {
  readonly succeeded: boolean;
  readonly current: readonly StoredValue[];
}
