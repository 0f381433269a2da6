/**
 * Remembers refused requests in order to recognize their retries. During an overload each refused
 * caller retries once. Without this record the second attempt is as likely to be refused as the
 * first, and the caller has waited in vain. A request is identified by the part of its prompt that
 * is unique to it.
 */
import type { Job } from './job.js';

/** Longest time after a refusal at which a caller still retries. */
const RETRY_WINDOW_MS = 8000;
/** Upper bound on remembered refusals, far above the number that occur within the retry window. */
const MAX_REFUSED_REQUESTS = 4096;

/** Times of refusal by request key, oldest first. */
export interface RefusedRequests {
  readonly refusedAtMs: Map<string, number>;
}

/** Returns an empty record. */
export function createRefusedRequests(): RefusedRequests {
  return { refusedAtMs: new Map() };
}

/** Records that a job was refused. */
export function recordRefusal(refused: RefusedRequests, job: Job, nowMs: number): void {
  const key = requestKeyOf(job);
  if (key === null) return;
  refused.refusedAtMs.delete(key);
  refused.refusedAtMs.set(key, nowMs);
  const oldest = refused.refusedAtMs.keys().next().value;
  if (refused.refusedAtMs.size > MAX_REFUSED_REQUESTS && oldest !== undefined) {
    refused.refusedAtMs.delete(oldest);
  }
}

/** Returns whether a job's caller was refused recently. */
export function wasRecentlyRefused(refused: RefusedRequests, job: Job, nowMs: number): boolean {
  const key = requestKeyOf(job);
  const refusedAtMs = key === null ? undefined : refused.refusedAtMs.get(key);
  return refusedAtMs !== undefined && nowMs - refusedAtMs <= RETRY_WINDOW_MS;
}

function requestKeyOf(job: Job): string | null {
  const ownPart = job.parts.at(-1);
  return ownPart === undefined ? null : `${job.route}/${ownPart.id}`;
}
