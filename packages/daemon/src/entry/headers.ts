/**
 * Parses the request headers of the callers' API: Idempotency-Key (IETF draft), Last-Event-ID
 * (HTML), Prefer: wait (RFC 7240) for the deadline, and Priority: u (RFC 9218).
 */
import type { IncomingHttpHeaders } from 'node:http';
import { type ResumePoint, parseEventId } from '@cassiamast/coordination';

const MAX_KEY_CHARACTERS = 255;
const MS_PER_S = 1000;
/** RFC 9218 urgency: 0 is the most urgent, 7 the least, 3 the default. */
const DEFAULT_URGENCY = 3;
const LEAST_URGENT = 7;
const QUOTED_STRING = /^"((?:[^"\\]|\\["\\])*)"$/;

/** Returns the idempotency key, null when absent, undefined when malformed. */
export function readIdempotencyKey(headers: IncomingHttpHeaders): string | null | undefined {
  const header = headers['idempotency-key'];
  if (header === undefined) return null;
  if (typeof header !== 'string') return undefined;
  // The draft specifies a quoted structured string, but some clients send the bare value.
  const text = QUOTED_STRING.exec(header)?.[1]?.replace(/\\(["\\])/g, '$1') ?? header;
  return text.length > 0 && text.length <= MAX_KEY_CHARACTERS ? text : undefined;
}

/**
 * Returns the event after which a reconnecting caller resumes, null when absent, undefined when the
 * ID was not issued by an entry.
 */
export function readLastEventId(headers: IncomingHttpHeaders): ResumePoint | null | undefined {
  const header = headers['last-event-id'];
  if (header === undefined || header === '') return null;
  if (typeof header !== 'string') return undefined;
  return parseEventId(header) ?? undefined;
}

/** Returns the caller's timeout, limited by the deadline of the service. */
export function readTimeoutMs(headers: IncomingHttpHeaders, serviceDeadlineMs: number): number {
  const match = /(?:^|[,;\s])wait=(\d{1,6})/.exec(String(headers.prefer ?? ''));
  if (match === null) return serviceDeadlineMs;
  return Math.min(serviceDeadlineMs, Number(match[1]) * MS_PER_S);
}

/** Converts the caller's urgency to an engine priority, where higher is more urgent. */
export function readPriority(headers: IncomingHttpHeaders): number {
  const match = /(?:^|[,;\s])u=([0-7])/.exec(String(headers.priority ?? ''));
  return LEAST_URGENT - (match === null ? DEFAULT_URGENCY : Number(match[1]));
}
