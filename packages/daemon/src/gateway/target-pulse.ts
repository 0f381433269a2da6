/**
 * When each target was last heard of by this gateway: any byte of any answer. A target that went dark
 * keeps its connections, and nothing else than its silence tells.
 */

/** Hears targets. */
export interface TargetPulse {
  readonly heard: (target: string) => void;
  /** Whether nothing was heard of a target for so long. */
  readonly isSilent: (target: string, forMs: number) => boolean;
}

/** Targets that are remembered; far more than a gateway sends to in a minute. */
const MAX_TARGETS = 1024;

/** Makes a pulse that has heard nobody. */
export function createTargetPulse(nowMs: () => number): TargetPulse {
  const heardAtMs = new Map<string, number>();
  return {
    heard: (target) => {
      heardAtMs.delete(target);
      heardAtMs.set(target, nowMs());
      const oldest = heardAtMs.keys().next().value;
      if (heardAtMs.size > MAX_TARGETS && oldest !== undefined) heardAtMs.delete(oldest);
    },
    isSilent: (target, forMs) => nowMs() - (heardAtMs.get(target) ?? -Infinity) >= forMs,
  };
}
