/** Writes counters, gauges and histograms in the Prometheus text exposition format. */
import type { Histogram } from 'hdr-histogram-js';
import { Counter, Gauge, Registry } from 'prom-client';

const PREFIX = 'cassiamast_';
const QUANTILES = [0.5, 0.95, 0.99] as const;
const PERCENT = 100;

/** The metrics of a process, by name without the prefix. */
export interface Metrics {
  readonly counters: ReadonlyMap<string, number>;
  readonly gauges: ReadonlyMap<string, number>;
  readonly gaugesByTarget: ReadonlyMap<string, ReadonlyMap<string, number>>;
  readonly histograms: ReadonlyMap<string, Histogram>;
}

/** Builds the text at each scrape, so that recording only updates a map or a histogram. */
export function writeMetrics({
  counters,
  gauges,
  gaugesByTarget,
  histograms,
}: Metrics): Promise<string> {
  const registry = new Registry();
  const registers = [registry];
  for (const [name, value] of counters) {
    new Counter({ name: PREFIX + name, help: helpOf(name), registers }).inc(value);
  }
  for (const [name, value] of gauges) {
    new Gauge({ name: PREFIX + name, help: helpOf(name), registers }).set(value);
  }
  for (const [name, values] of gaugesByTarget) writeByTarget(name, values, registers);
  for (const [name, histogram] of histograms) writeQuantiles(name, histogram, registers);
  return registry.metrics();
}

function writeByTarget(
  name: string,
  valueByTarget: ReadonlyMap<string, number>,
  registers: Registry[],
): void {
  const labelNames = ['target'];
  const gauge = new Gauge({ name: PREFIX + name, help: helpOf(name), labelNames, registers });
  for (const [target, value] of valueByTarget) gauge.set({ target }, value);
}

function writeQuantiles(name: string, histogram: Histogram, registers: Registry[]): void {
  const labelNames = ['quantile'];
  const quantiles = new Gauge({ name: PREFIX + name, help: helpOf(name), labelNames, registers });
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
