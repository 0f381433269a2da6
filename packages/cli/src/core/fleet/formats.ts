/**
 * Maps the output formats of the `timeline` command to the functions that write them.
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
  /** The Trace Event Format, which trace viewers read. */
  Trace = 'trace',
  /** A single HTML page. */
  Html = 'html',
}

/** The function that writes each format. */
export const TIMELINE_WRITERS: Readonly<Record<TimelineFormat, (timeline: Timeline) => string>> = {
  [TimelineFormat.Text]: timelineText,
  [TimelineFormat.Json]: timelineJson,
  [TimelineFormat.Trace]: timelineTrace,
  [TimelineFormat.Html]: timelinePage,
};
