/**
 * Callers who were refused and come back. The load pattern: an overload in which each refused caller
 * returns once; without memory the second attempt is as likely to be refused as the first, and the
 * caller has waited for nothing. A request is known by the part of its prompt that is its own.
 */
import type { Job } from './job.js';

/** Longest time after which a refused caller still comes back. */
const MEMORY_MS = 8000;
/** Refusals that are remembered; far more than come in that time. */
const MAX_REMEMBERED = 4096;

/** Refused requests by their own part, oldest first. */
export interface Returners {
  readonly refusedAtMs: Map<string, number>;
}

/** Nobody was refused. */
export function createReturners(): Returners {
  return { refusedAtMs: new Map() };
}

/** Remembers a refused job. */
export function noteRefused(returners: Returners, job: Job, nowMs: number): void {
  const key = keyOf(job);
  if (key === null) return;
  returners.refusedAtMs.delete(key);
  returners.refusedAtMs.set(key, nowMs);
  const oldest = returners.refusedAtMs.keys().next().value;
  if (returners.refusedAtMs.size > MAX_REMEMBERED && oldest !== undefined) {
    returners.refusedAtMs.delete(oldest);
  }
}

/** Whether a job's caller was refused a short while ago. */
export function isReturner(returners: Returners, job: Job, nowMs: number): boolean {
  const key = keyOf(job);
  const refusedAtMs = key === null ? undefined : returners.refusedAtMs.get(key);
  return refusedAtMs !== undefined && nowMs - refusedAtMs <= MEMORY_MS;
}

function keyOf(job: Job): string | null {
  const own = job.parts.at(-1);
  return own === undefined ? null : `${job.route}/${own.id}`;
}
