/**
 * Filters events for a query. A request is identified either by its serialized key or by the
 * idempotency key alone, which is the part that a caller knows.
 */
import type { TimelineQuery } from '../status/status.js';
import type { TimelineEvent } from './event.js';

/** Conditions of a query. An event must match all given conditions. */
export type TimelineFilter = Omit<TimelineQuery, 'limit'>;

/** Maximum number of events in the answer of one process; about 600 KB of JSON. */
export const MAX_QUERY_EVENTS = 4_000;

/** Returns whether the event matches all conditions. */
export function matchesFilter(filter: TimelineFilter, event: TimelineEvent): boolean {
  return (
    matchesOrAbsent(filter.workspace, event.workspace) &&
    matchesOrAbsent(filter.service, event.service) &&
    matchesOrAbsent(filter.target, event.target) &&
    (filter.kinds === undefined || filter.kinds.includes(event.kind)) &&
    (filter.request === undefined || isRequest(filter.request, event.request))
  );
}

function matchesOrAbsent(wanted: string | undefined, found: string | undefined): boolean {
  return wanted === undefined || wanted === found;
}

function isRequest(wanted: string, found: string | undefined): boolean {
  if (found === undefined) return false;
  return found === wanted || idempotencyKeyIn(found) === wanted;
}

/** Returns the idempotency key in a serialized request key, or null for any other text. */
export function idempotencyKeyIn(requestText: string): string | null {
  try {
    const parsed: unknown = JSON.parse(requestText);
    const key: unknown = Array.isArray(parsed) ? parsed[1] : null;
    return typeof key === 'string' ? key : null;
  } catch {
    return null;
  }
}

/** Returns the latest matching events, oldest first, and the number of older ones omitted. */
export function queryEvents(
  events: readonly TimelineEvent[],
  query: TimelineQuery,
): { readonly events: readonly TimelineEvent[]; readonly omitted: number } {
  const matching = events.filter((event) => matchesFilter(query, event));
  const requestedLimit = Number.isFinite(query.limit) ? Math.floor(query.limit) : MAX_QUERY_EVENTS;
  const limit = Math.min(MAX_QUERY_EVENTS, Math.max(0, requestedLimit));
  const omitted = Math.max(0, matching.length - limit);
  return { events: matching.slice(omitted), omitted };
}
