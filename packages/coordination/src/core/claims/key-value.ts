/**
 * Data types for reads and transactions of the key-value service, as the claim and poison state
 * machines use it. They have the same shape as the platform's port, and are defined here as plain
 * data so that the state machines make no calls themselves.
 */

/** A stored value, with the revision of its last change. */
export interface StoredValue {
  readonly key: string;
  readonly value: string;
  readonly modRevision: number;
}

/** A condition on one key: its revision must be `modRevision`, where 0 means that it must not exist. */
export interface RevisionCompare {
  readonly key: string;
  readonly modRevision: number;
}

/** A write of one key, or its removal if the value is null. */
export interface StoredWrite {
  readonly key: string;
  readonly value: string | null;
  readonly leaseId?: string;
}

/** Outcome of a transaction. On failure, `current` has the existing entries of the compared keys. */
export interface TransactionOutcome {
  readonly succeeded: boolean;
  readonly current: readonly StoredValue[];
}
