/**
 * Answers the reporting gateway about the fixed counts of windows: acknowledges those that it tells,
 * and names those that it does not know, as a store that came back from an older copy may lack them.
 */
import {
  type FixedUsage,
  UsageAcknowledgement,
  type UsageCounts,
  type UsageGuards,
  type WindowUsage,
  isSameUsage,
  rememberFixedUsage,
} from '@cassiamast/coordination';
import type { UsageTestimony } from './usage-evidence.js';
import type { TimeCorrection, UsageReading } from './usage-meter.js';

/** What the reporting gateway asks with. Gateways of earlier versions send the correction alone. */
export interface UsageQuestion extends TimeCorrection {
  /** The fencing token of its lease. */
  readonly fence: number;
  /** The windows whose fixed counts it knows. */
  readonly fixedWindows: readonly number[];
}

/** What it is answered. Gateways of earlier versions send the reading alone. */
export interface UsageAnswer extends UsageReading {
  /** Fixed counts that it does not know. */
  readonly fixed?: readonly WindowUsage[];
  readonly testimony?: UsageTestimony;
}

/** What this gateway knows of fixed counts. */
export interface UsageKnowledge {
  /** Records a question and returns the fixed counts from a window on that the asker lacks. */
  readonly onQuestion: (
    sinceWindow: number,
    question: Partial<UsageQuestion>,
  ) => readonly WindowUsage[];
  /** Remembers counts that a reporter with a fencing token has fixed. */
  readonly onFixed: (window: number, counts: UsageCounts, fence: number) => UsageAcknowledgement;
}

/** Creates the knowledge on top of the counts that the view of the fleet remembers. */
export function createUsageKnowledge(
  fixed: FixedUsage,
  guards: Pick<UsageGuards, 'refusesOutdated'>,
): UsageKnowledge {
  let highestFence = 0;
  return {
    onQuestion: (sinceWindow, { fence = 0, fixedWindows }) => {
      highestFence = Math.max(highestFence, fence);
      if (fixedWindows === undefined) return [];
      return [...fixed]
        .filter(([window]) => window >= sinceWindow && !fixedWindows.includes(window))
        .map(([window, counts]) => ({ window, counts }));
    },
    onFixed: (window, counts, fence) => {
      // The later reporter was not told these counts, so it may fix others.
      if (guards.refusesOutdated && fence < highestFence) return UsageAcknowledgement.Outdated;
      rememberFixedUsage(fixed, window, counts);
      return isSameUsage(fixed.get(window) ?? counts, counts)
        ? UsageAcknowledgement.Known
        : UsageAcknowledgement.Contradicted;
    },
  };
}
