/**
 * Tracks since when a gateway may have been cut off from the platform's store. A lost answer has two
 * causes that look alike: the store had an outage, in which entries of live targets expired, or the
 * gateway's own connection went silent while the store removed entries of targets that left. The
 * grace period for missing entries is needed in the first case. In the second case it must be over
 * when the gateway counts as in touch again.
 */

/** What one gateway knows of its contact with the store. */
export interface StoreContact {
  answeredAtMs: number;
  /** Earliest time at which the last interruption can have begun; null after an answer. */
  interruptedSinceMs: number | null;
}

/** Time for requests that were accepted before a gateway counts as in touch. */
const IN_TOUCH_MARGIN_MS = 200;

/** Creates the state of a gateway that begins to call the store now. */
export function createStoreContact(nowMs: number): StoreContact {
  return { answeredAtMs: nowMs, interruptedSinceMs: null };
}

/** Records an answer of the store. */
export function recordCallAnswered(contact: StoreContact, nowMs: number): void {
  contact.answeredAtMs = nowMs;
  contact.interruptedSinceMs = null;
}

/**
 * Records a call without an answer. The first one may have been made on a connection that went silent
 * right after the last answer. Later ones are made on new connections, which worked when the call
 * began.
 */
export function recordCallLost(contact: StoreContact, startedAtMs: number): void {
  contact.interruptedSinceMs =
    contact.interruptedSinceMs === null ? Math.min(contact.answeredAtMs, startedAtMs) : startedAtMs;
}

/**
 * Returns the time at which targets with a missing entry are no longer used, however short the grace
 * period is by then: from `contactMs` after the interruption on, the gateway may count as in touch.
 */
export function latestGraceEndMs(contact: StoreContact, contactMs: number): number {
  const { interruptedSinceMs } = contact;
  return interruptedSinceMs === null
    ? Infinity
    : interruptedSinceMs + contactMs - IN_TOUCH_MARGIN_MS;
}
