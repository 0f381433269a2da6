/** Times one answer as its caller sees it: to the first token, and between tokens. */

/** What was measured of one answer. */
export interface LatencyFigures {
  /** From arrival to the first token; null when none came. */
  readonly firstTokenMs: number | null;
  /** The 95th percentile of the gaps between tokens; 0 with fewer than two tokens. */
  readonly interTokenP95Ms: number;
}

/** Times an answer. */
export interface LatencyWatch {
  /** Tokens arrived together: one gap before the first, none between them. */
  readonly tokens: (nowMs: number, count: number) => void;
  readonly figures: () => LatencyFigures;
}

/** Gaps kept; a longer answer is judged by its latest ones. */
const MAX_GAPS = 512;
const GOAL_SHARE = 0.95;

/** Starts timing. */
export function createLatencyWatch(arrivedAtMs: number): LatencyWatch {
  const gapsMs: number[] = [];
  let firstTokenMs: number | null = null;
  let lastAtMs = arrivedAtMs;

  return {
    tokens: (nowMs, count) => {
      if (firstTokenMs === null) firstTokenMs = nowMs - arrivedAtMs;
      else gapsMs.push(nowMs - lastAtMs);
      for (let more = 1; more < count; more += 1) gapsMs.push(0);
      if (gapsMs.length > MAX_GAPS) gapsMs.splice(0, gapsMs.length - MAX_GAPS);
      lastAtMs = nowMs;
    },
    figures: () => {
      const sorted = [...gapsMs].sort((left, right) => left - right);
      const index = Math.max(0, Math.ceil(sorted.length * GOAL_SHARE) - 1);
      return { firstTokenMs, interTokenP95Ms: sorted[index] ?? 0 };
    },
  };
}
