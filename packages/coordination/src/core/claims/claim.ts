/**
 * Claims of calls that may not be repeated. A claim is a key that is created if absent in the
 * key-value service, the only thing that outlives all processes of the system; its value names the
 * one attempt that may run. Claims vanish with the lease of the time bucket in which they were
 * taken: after `retentionMs` at the earliest, one bucket later at the latest. A resend within the
 * retention meets the claim; one after it counts as a new call.
 */
import type { Attempt } from '../records/record.js';
import type { StoredValue } from './key-value.js';

/** What a claim's value says. */
export interface ClaimValue {
  readonly attempt: Attempt;
  readonly bodyHash: string;
}

/** Asks for a claim. */
export interface ClaimRequest extends ClaimValue {
  readonly keyText: string;
  /** Attempt that holds the claim and is known never to run, or null. */
  readonly replacesId: string | null;
}

/** How it went. */
export enum ClaimReplyKind {
  Granted = 'granted',
  /** Another attempt holds it. */
  Held = 'held',
  /** The key-value service is out, or the queue before it full. */
  Unavailable = 'unavailable',
}

/** The answer to a claim request. */
export interface ClaimReply {
  readonly kind: ClaimReplyKind;
  readonly holder: ClaimValue | null;
  readonly retryAfterMs: number;
}

/** Prefix of all claims. */
export const CLAIM_PREFIX = 'claims/';

/** The key of a request's claim. */
export function claimKeyOf(keyText: string): string {
  return `${CLAIM_PREFIX}${keyText}`;
}

/** Reads a claim's value; null when it is none. */
export function parseClaim(entry: StoredValue): ClaimValue | null {
  try {
    const value = JSON.parse(entry.value) as Partial<ClaimValue>;
    const { attempt, bodyHash } = value;
    return attempt === undefined || bodyHash === undefined ? null : { attempt, bodyHash };
  } catch {
    return null;
  }
}
