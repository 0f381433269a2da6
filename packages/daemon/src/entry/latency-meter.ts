/** Measures the latency of one answer: time to first token and gaps between tokens. */

/** The measured latency of one answer. */
export interface LatencyMeasurements {
  /** Time from the request's arrival to its first token; null when there was none. */
  readonly firstTokenMs: number | null;
  /** The 95th percentile of the gaps between tokens; 0 with fewer than two tokens. */
  readonly interTokenP95Ms: number;
}

/** Measures the latency of an answer while it is streamed. */
export interface LatencyMeter {
  /** Records `count` tokens that arrived together: one gap before the first, none between them. */
  readonly tokens: (nowMs: number, count: number) => void;
  readonly figures: () => LatencyMeasurements;
}

/** Gaps kept; longer answers are measured by their most recent gaps. */
const MAX_GAPS = 512;
const PERCENTILE_RATIO = 0.95;

/** Creates a meter for a request that arrived at `arrivedAtMs`. */
export function createLatencyMeter(arrivedAtMs: number): LatencyMeter {
  const gapsMs: number[] = [];
  let firstTokenMs: number | null = null;
  let lastAtMs = arrivedAtMs;

  return {
    tokens: (nowMs, count) => {
      if (firstTokenMs === null) firstTokenMs = nowMs - arrivedAtMs;
      else gapsMs.push(nowMs - lastAtMs);
      for (let extraToken = 1; extraToken < count; extraToken += 1) gapsMs.push(0);
      if (gapsMs.length > MAX_GAPS) gapsMs.splice(0, gapsMs.length - MAX_GAPS);
      lastAtMs = nowMs;
    },
    figures: () => {
      const sorted = [...gapsMs].sort((left, right) => left - right);
      const index = Math.max(0, Math.ceil(sorted.length * PERCENTILE_RATIO) - 1);
      return { firstTokenMs, interTokenP95Ms: sorted[index] ?? 0 };
    },
  };
}
