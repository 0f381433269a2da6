/**
 * What a process tells of itself: events on the time line, counters, gauges and histograms.
 * Counters come first; a log line is written only for events that change the process's state.
 */
import type { UnstampedEvent } from '@cassiamast/coordination';
import { type Histogram, build } from 'hdr-histogram-js';
import { Counter, Gauge, Registry } from 'prom-client';

const PREFIX = 'cassiamast_';
const HIGHEST_TRACKABLE_MS = 3_600_000;
const SIGNIFICANT_DIGITS = 2;
const QUANTILES = [0.5, 0.95, 0.99] as const;
const PERCENT = 100;

/** Observes one process. */
export interface Telemetry {
  readonly emit: (event: UnstampedEvent) => void;
  /** Adds to a counter; names are snake_case and end in `_total`. */
  readonly count: (name: string, by?: number) => void;
  /** Sets a value that goes up and down. */
  readonly gauge: (name: string, value: number) => void;
  /** Records a duration; names are snake_case and end in `_ms`. */
  readonly record: (name: string, valueMs: number) => void;
  readonly counters: () => Readonly<Record<string, number>>;
  readonly gauges: () => Readonly<Record<string, number>>;
  /** A quantile of a recorded duration, 0 when nothing was recorded. */
  readonly quantileMs: (name: string, quantile: number) => number;
  /** Everything in the Prometheus text exposition format. */
  readonly metricsText: () => Promise<string>;
}

/** Makes the telemetry of a process; `onEvent` puts events on the time line. */
export function createTelemetry(onEvent: (event: UnstampedEvent) => void): Telemetry {
  const counters = new Map<string, number>();
  const gauges = new Map<string, number>();
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
    record: (name, valueMs) => {
      const histogram = histograms.get(name) ?? newHistogram();
      histograms.set(name, histogram);
      histogram.recordValue(Math.min(HIGHEST_TRACKABLE_MS, Math.max(0, Math.round(valueMs))));
    },
    counters: () => Object.fromEntries(counters),
    gauges: () => Object.fromEntries(gauges),
    quantileMs: (name, quantile) =>
      histograms.get(name)?.getValueAtPercentile(quantile * PERCENT) ?? 0,
    metricsText: () => writeMetrics(counters, gauges, histograms),
  };
}

function newHistogram(): Histogram {
  return build({
    highestTrackableValue: HIGHEST_TRACKABLE_MS,
    numberOfSignificantValueDigits: SIGNIFICANT_DIGITS,
  });
}

/** Built at each scrape, so that recording costs nothing but the map and the histogram. */
function writeMetrics(
  counters: ReadonlyMap<string, number>,
  gauges: ReadonlyMap<string, number>,
  histograms: ReadonlyMap<string, Histogram>,
): Promise<string> {
  const registry = new Registry();
  const registers = [registry];
  for (const [name, value] of counters) {
    new Counter({ name: PREFIX + name, help: helpOf(name), registers }).inc(value);
  }
  for (const [name, value] of gauges) {
    new Gauge({ name: PREFIX + name, help: helpOf(name), registers }).set(value);
  }
  for (const [name, histogram] of histograms) writeQuantiles(name, histogram, registers);
  return registry.metrics();
}

function writeQuantiles(name: string, histogram: Histogram, registers: Registry[]): void {
  const quantiles = new Gauge({
    name: PREFIX + name,
    help: helpOf(name),
    labelNames: ['quantile'],
    registers,
  });
  for (const quantile of QUANTILES) {
    const value = histogram.getValueAtPercentile(quantile * PERCENT);
    quantiles.set({ quantile: String(quantile) }, value);
  }
  const count = new Counter({ name: `${PREFIX}${name}_count`, help: helpOf(name), registers });
  count.inc(histogram.totalCount);
}

function helpOf(name: string): string {
  return name.replaceAll('_', ' ');
}
