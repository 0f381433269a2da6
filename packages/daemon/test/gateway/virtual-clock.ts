/**
 * A clock that a test advances, with the timers of the process. Node's own mock of timers loses some
 * of them once it was reset and is used again in the same process (seen with 20.20.2).
 */
import { mock } from 'node:test';

interface Timer {
  readonly atMs: number;
  readonly run: () => void;
}

/** The clock, in ms since it was started. */
export interface VirtualClock {
  readonly nowMs: () => number;
  /** Runs the timers that are due after each step, and all that follows from them. */
  readonly advanceTo: (atMs: number, stepMs: number) => Promise<void>;
  /** Gives the process its own timers back. */
  readonly stop: () => void;
}

/** Starts a clock that replaces `setTimeout` and `clearTimeout`. */
export function startVirtualClock(): VirtualClock {
  let nowMs = 0;
  const timers = new Set<Timer>();
  const mocks = [
    mock.method(globalThis, 'setTimeout', (run: () => void, afterMs = 0): Timer => {
      const timer = { atMs: nowMs + afterMs, run };
      timers.add(timer);
      return timer;
    }),
    mock.method(globalThis, 'clearTimeout', (timer: Timer): void => {
      timers.delete(timer);
    }),
  ];

  function runDue(): void {
    const due = [...timers].filter(({ atMs }) => atMs <= nowMs);
    for (const timer of due.sort((one, other) => one.atMs - other.atMs)) {
      if (timers.delete(timer)) timer.run();
    }
  }

  return {
    nowMs: () => nowMs,
    advanceTo: async (atMs, stepMs) => {
      while (nowMs < atMs) {
        nowMs += stepMs;
        runDue();
        await new Promise((resolve) => setImmediate(resolve));
      }
    },
    stop: () => {
      for (const { mock: replaced } of mocks) replaced.restore();
    },
  };
}
