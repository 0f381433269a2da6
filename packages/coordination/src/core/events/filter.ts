/**
 * Which events a person asked for. A request is named either by the whole text of its key or by the
 * idempotency key alone, as a caller quotes it.
 */
import type { TimelineQuery } from '../status/status.js';
import type { TimelineEvent } from './event.js';

/** The conditions of a query; all given ones must hold. */
export type TimelineFilter = Omit<TimelineQuery, 'limit'>;

/** The most events that one process answers with; about 600 KB of JSON. */
export const MAX_QUERY_EVENTS = 4_000;

/** Whether the event fits every condition. */
export function matchesFilter(filter: TimelineFilter, event: TimelineEvent): boolean {
  return (
    isOrAbsent(filter.workspace, event.workspace) &&
    isOrAbsent(filter.service, event.service) &&
    isOrAbsent(filter.target, event.target) &&
    (filter.kinds === undefined || filter.kinds.includes(event.kind)) &&
    (filter.request === undefined || isRequest(filter.request, event.request))
  );
}

function isOrAbsent(wanted: string | undefined, found: string | undefined): boolean {
  return wanted === undefined || wanted === found;
}

function isRequest(wanted: string, found: string | undefined): boolean {
  if (found === undefined) return false;
  return found === wanted || idempotencyKeyIn(found) === wanted;
}

/** The idempotency key within the text of a request key; null for any other text. */
export function idempotencyKeyIn(requestText: string): string | null {
  try {
    const parsed: unknown = JSON.parse(requestText);
    const key: unknown = Array.isArray(parsed) ? parsed[1] : null;
    return typeof key === 'string' ? key : null;
  } catch {
    return null;
  }
}

/** The latest matching events, oldest first, and how many older ones were left out. */
export function queryEvents(
  events: readonly TimelineEvent[],
  query: TimelineQuery,
): { readonly events: readonly TimelineEvent[]; readonly omitted: number } {
  const matching = events.filter((event) => matchesFilter(query, event));
  const asked = Number.isFinite(query.limit) ? Math.floor(query.limit) : MAX_QUERY_EVENTS;
  const limit = Math.min(MAX_QUERY_EVENTS, Math.max(0, asked));
  const omitted = Math.max(0, matching.length - limit);
  return { events: matching.slice(omitted), omitted };
}
