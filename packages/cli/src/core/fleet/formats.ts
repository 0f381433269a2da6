/**
 * The formats of the time line, by the name that operators give.
 */
import {
  timelineJson,
  timelinePage,
  timelineText,
  timelineTrace,
  type Timeline,
} from '@cassiamast/coordination';

/** Formats of `cassiamast timeline`. */
export enum TimelineFormat {
  Text = 'text',
  Json = 'json',
  /** The Trace Event Format of trace viewers. */
  Trace = 'trace',
  /** One page for a browser. */
  Html = 'html',
}

/** The writer of each format. */
export const TIMELINE_WRITERS: Readonly<Record<TimelineFormat, (timeline: Timeline) => string>> = {
  [TimelineFormat.Text]: timelineText,
  [TimelineFormat.Json]: timelineJson,
  [TimelineFormat.Trace]: timelineTrace,
  [TimelineFormat.Html]: timelinePage,
};
