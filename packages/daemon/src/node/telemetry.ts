/**
 * Records the telemetry of a process: events on the time line, counters, gauges and histograms.
 * Counters are preferred; a log line is written only for events that change the process's state.
 */
import type { UnstampedEvent } from '@cassiamast/coordination';
import type { Histogram } from 'hdr-histogram-js';

const HIGHEST_TRACKABLE_MS = 3_600_000;
const PERCENT = 100;

/** The telemetry of one process. */
export interface Telemetry {
  readonly emit: (event: UnstampedEvent) => void;
  /** Adds to a counter; names are snake_case and end in `_total`. */
  readonly count: (name: string, by?: number) => void;
  /** Sets a value that goes up and down. */
  readonly gauge: (name: string, value: number) => void;
  /** Sets the values of a gauge by target; targets that are not in the map lose their value. */
  readonly gaugeByTarget: (name: string, valueByTarget: ReadonlyMap<string, number>) => void;
  /** Records a duration; names are snake_case and end in `_ms`. */
  readonly record: (name: string, valueMs: number) => void;
  readonly counters: () => Readonly<Record<string, number>>;
  readonly gauges: () => Readonly<Record<string, number>>;
  /** Returns a quantile of a recorded duration, or 0 if none was recorded. */
  readonly quantileMs: (name: string, quantile: number) => number;
  /** Returns all metrics in the Prometheus text exposition format. */
  readonly metricsText: () => Promise<string>;
}

/** Creates an empty histogram for values up to `highestMs`. */
export type NewHistogram = (highestMs: number) => Histogram;

/**
 * Creates the telemetry of a process; `onEvent` puts events on the time line. `newHistogram` is
 * null in processes that record no durations, such as a sidecar: the library would cost megabytes.
 */
export function createTelemetry(
  onEvent: (event: UnstampedEvent) => void,
  newHistogram: NewHistogram | null,
): Telemetry {
  const counters = new Map<string, number>();
  const gauges = new Map<string, number>();
  const gaugesByTarget = new Map<string, ReadonlyMap<string, number>>();
  const histograms = new Map<string, Histogram>();

  return {
    emit: (event) => {
      counters.set('events_total', (counters.get('events_total') ?? 0) + 1);
      onEvent(event);
    },
    count: (name, by = 1) => {
      counters.set(name, (counters.get(name) ?? 0) + by);
    },
    gauge: (name, value) => {
      gauges.set(name, value);
    },
    gaugeByTarget: (name, valueByTarget) => {
      gaugesByTarget.set(name, valueByTarget);
    },
    record: (name, valueMs) => {
      if (newHistogram === null) return;
      const histogram = histograms.get(name) ?? newHistogram(HIGHEST_TRACKABLE_MS);
      histograms.set(name, histogram);
      histogram.recordValue(Math.min(HIGHEST_TRACKABLE_MS, Math.max(0, Math.round(valueMs))));
    },
    counters: () => Object.fromEntries(counters),
    gauges: () => Object.fromEntries(gauges),
    quantileMs: (name, quantile) =>
      histograms.get(name)?.getValueAtPercentile(quantile * PERCENT) ?? 0,
    metricsText: async () => {
      // Loaded at the first scrape, so a process that is not scraped doesn't load the library.
      const { writeMetrics } = await import('./metrics-text.js');
      return writeMetrics({ counters, gauges, gaugesByTarget, histograms });
    },
  };
}
