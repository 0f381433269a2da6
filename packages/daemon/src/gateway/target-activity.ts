/**
 * Tracks when this gateway last received any byte from each target. The connections of a failed VM
 * stay open, so inactivity is the only sign of its failure.
 */

/** Records the activity of targets. */
export interface TargetActivity {
  readonly recordBytes: (target: string) => void;
  /** Time at which the last byte of a target was received. */
  readonly lastBytesAtMs: (target: string) => number;
  /** Whether nothing has been received from a target for `forMs`. */
  readonly isInactive: (target: string, forMs: number) => boolean;
}

/** Maximum number of tracked targets, far more than a gateway sends requests to in a minute. */
const MAX_TARGETS = 1024;

/** Creates the tracking without any recorded activity. */
export function createTargetActivity(nowMs: () => number): TargetActivity {
  const lastReceivedAtMs = new Map<string, number>();
  const lastBytesAtMs = (target: string): number => lastReceivedAtMs.get(target) ?? -Infinity;
  return {
    recordBytes: (target) => {
      lastReceivedAtMs.delete(target);
      lastReceivedAtMs.set(target, nowMs());
      const oldest = lastReceivedAtMs.keys().next().value;
      if (lastReceivedAtMs.size > MAX_TARGETS && oldest !== undefined)
        lastReceivedAtMs.delete(oldest);
    },
    lastBytesAtMs,
    isInactive: (target, forMs) => nowMs() - lastBytesAtMs(target) >= forMs,
  };
}
