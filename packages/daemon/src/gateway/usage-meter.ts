/**
 * Counts the requests that targets began to run for each workspace, by windows of true time, and
 * tells the gateway that reports them. A request counts once, however often it was tried, in the
 * window in which it first began to run.
 */
import {
  type TrueTime,
  type WindowUsage,
  createTrueTime,
  createUsageLedger,
  recordUse,
  trueTimeMs,
  usageSince,
} from '@cassiamast/coordination';
import type { Exchange } from './exchange.js';

/** A VM that was suspended since has a wrong estimate of the true time until it is compared again. */
const COMPARED_WITHIN_MS = 5000;

/** What a gateway answers to the one that reports. */
export interface UsageReading {
  /** Identifies the process; a restarted one counts from zero. */
  readonly source: string;
  /** Its clock, in Unix milliseconds. */
  readonly wallMs: number;
  /** What it takes for the true time, in Unix milliseconds. */
  readonly trueMs: number;
  readonly usage: readonly WindowUsage[];
}

/** What a gateway must add to what it takes for the true time. */
export interface TimeCorrection {
  readonly correctionMs: number;
}

/** Counts requests. */
export interface UsageMeter {
  /** Records that a target began to run a request, at a monotonic time. */
  readonly noteBegun: (exchange: Pick<Exchange, 'workspace'> & Counted, atMs: number) => void;
  /** Returns the counts of a window and of all later ones. */
  readonly read: (sinceWindow: number) => UsageReading;
  /** Handles a question of the reporting gateway, which tells by how much the estimate is wrong. */
  readonly onRead: (
    reader: string,
    sinceWindow: number,
    question: Partial<TimeCorrection>,
  ) => UsageReading;
  /** The gateway that asked last; null before the first question. */
  readonly lastReader: () => string | null;
  /** Monotonic time of that question. */
  readonly lastReadAtMs: () => number;
  readonly time: TrueTime;
  /** Returns whether the estimate of the true time was compared lately with the clocks of others. */
  readonly isTimeCompared: () => boolean;
  readonly noteTimeCompared: () => void;
}

interface Counted {
  isCounted: boolean;
}

/** Dependencies of the meter. */
export interface UsageMeterOptions {
  readonly source: string;
  readonly windowMs: number;
  readonly nowMs: () => number;
  /** A clock that includes the time during which the VM is suspended. */
  readonly elapsedMs: () => number;
  readonly wallMs: () => number;
}

/** Creates a meter. */
export function createUsageMeter({
  source,
  windowMs,
  nowMs,
  elapsedMs,
  wallMs,
}: UsageMeterOptions): UsageMeter {
  const ledger = createUsageLedger(windowMs);
  const time = createTrueTime(wallMs(), nowMs());
  let lastReader: string | null = null;
  let lastReadAtMs = -Infinity;
  let comparedAtMs = -Infinity;

  function read(sinceWindow: number): UsageReading {
    const trueMs = trueTimeMs(time, nowMs());
    return { source, wallMs: wallMs(), trueMs, usage: usageSince(ledger, sinceWindow) };
  }

  return {
    time,
    noteBegun: (exchange, atMs) => {
      if (exchange.isCounted || exchange.workspace === null) return;
      exchange.isCounted = true;
      recordUse(ledger, exchange.workspace, trueTimeMs(time, atMs));
    },
    read,
    onRead: (reader, sinceWindow, { correctionMs = 0 }) => {
      lastReader = reader;
      lastReadAtMs = nowMs();
      time.offsetMs += correctionMs;
      comparedAtMs = elapsedMs();
      return read(sinceWindow);
    },
    lastReader: () => lastReader,
    lastReadAtMs: () => lastReadAtMs,
    isTimeCompared: () => elapsedMs() - comparedAtMs < COMPARED_WITHIN_MS,
    noteTimeCompared: () => {
      comparedAtMs = elapsedMs();
    },
  };
}
