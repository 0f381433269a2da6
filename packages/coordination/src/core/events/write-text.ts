/**
 * Writes the time line as lines of text and as JSON.
 */
import type { TimelineEvent } from './event.js';
import { idempotencyKeyIn } from './filter.js';
import { missingFrom, type Timeline } from './timeline.js';

/** Describes the subject of an event, such as `request r-1 · service inspect-llm`. */
export function eventSubject(event: TimelineEvent): string {
  const request =
    event.request === undefined ? undefined : (idempotencyKeyIn(event.request) ?? event.request);
  const parts: [string, string | undefined][] = [
    ['request', request],
    ['workspace', event.workspace],
    ['service', event.service],
    ['target', event.target],
  ];
  return parts
    .filter(([, value]) => value !== undefined && value !== '')
    .map(([name, value]) => `${name} ${value ?? ''}`)
    .join(' · ');
}

/** Formats the figures of an event, such as `version=3 previous=2`. */
export function eventFigures(event: TimelineEvent): string {
  return Object.entries(event.figures ?? {})
    .map(([name, value]) => `${name}=${String(value)}`)
    .join(' ');
}

/** Formats an event as one line. */
export function eventLine(event: TimelineEvent): string {
  const time = new Date(event.at.wallMs).toISOString().slice(11);
  const prefix = `${time} ${event.process.padEnd(21)} ${event.kind.padEnd(22)}`;
  return [prefix, eventSubject(event), event.reason ?? '', eventFigures(event)]
    .filter((part) => part !== '')
    .join(' | ');
}

/** Formats the time line as text. Gaps are listed first, where they are not overlooked. */
export function timelineText(timeline: Timeline): string {
  const notes = missingFrom(timeline).map((note) => `# ${note}`);
  return [...notes, ...timeline.events.map(eventLine), ''].join('\n');
}

/** Formats the time line as a JSON document. */
export function timelineJson(timeline: Timeline): string {
  return `${JSON.stringify(timeline, null, 2)}\n`;
}
