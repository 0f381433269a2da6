/**
 * Claims of calls that must not be repeated. A claim is a key in the key-value service, the only
 * component that outlives all processes of the system. It is created only if absent, and its value
 * names the one attempt that may run. Claims expire with the lease of the time bucket in which they
 * were created: after `retentionMs` at the earliest and one bucket later at the latest. A retry by
 * the caller within that time finds the claim; a later one counts as a new call.
 */
import type { Attempt } from '../records/record.js';
import type { StoredValue } from './key-value.js';

/** Value of a stored claim. */
export interface ClaimValue {
  readonly attempt: Attempt;
  readonly bodyHash: string;
}

/** Request for a claim. */
export interface ClaimRequest extends ClaimValue {
  readonly keyText: string;
  /** Id of a previous attempt that may be replaced, as it is known never to run; null if none. */
  readonly replacesId: string | null;
}

/** Outcome of a claim request. */
export enum ClaimReplyKind {
  Granted = 'granted',
  /** Another attempt holds the claim. */
  Held = 'held',
  /** The key-value service is unavailable, or a queue is full. */
  Unavailable = 'unavailable',
}

/** Reply to a claim request. */
export interface ClaimReply {
  readonly kind: ClaimReplyKind;
  /** The claim that is stored now; null if unknown. */
  readonly holder: ClaimValue | null;
  readonly retryAfterMs: number;
}

/** Key prefix of all claims. */
export const CLAIM_PREFIX = 'claims/';

/** Returns the key of a request's claim. */
export function claimKeyOf(keyText: string): string {
  return `${CLAIM_PREFIX}${keyText}`;
}

/** Parses the value of a stored claim; null if it is malformed. */
export function parseClaim(entry: StoredValue): ClaimValue | null {
  try {
    const value = JSON.parse(entry.value) as Partial<ClaimValue>;
    const { attempt, bodyHash } = value;
    return attempt === undefined || bodyHash === undefined ? null : { attempt, bodyHash };
  } catch {
    return null;
  }
}
