/**
 * Notices that this process stood still: its VM had no processor for it, it was suspended, or its own
 * work took long. What came in meanwhile is read afterwards, one thing after the other, so what is read
 * first is not what is true by then.
 */
import { setImmediate as turnLoop } from 'node:timers/promises';
import type { Child } from '../supervisor/supervisor.js';

/** How often the process notes that it runs. */
const BEAT_MS = 50;
/** A process that has not run for so long stood still. */
const STANDSTILL_MS = 150;
/** After a standstill, what had come in is read within that: connections are accepted a few a turn. */
const CATCH_UP_MS = 200;
/** Turns of the loop from a request to its caller's close: the end of the connection lies between. */
const TURNS_TO_CLOSE = 4;

/** What a process knows of its standstills. */
export interface StandstillWatch {
  readonly child: Child;
  /**
   * Since when events may have waited that are read now: the time of its last turn in a process that
   * is behind, else the present.
   */
  readonly unreadSinceMs: () => number;
  /**
   * Resolves when the close of a connection would have been read on which something was read just
   * now; null in a process that is not behind.
   */
  readonly catchUp: () => Promise<void> | null;
  /**
   * Runs what a timer has come for: at once, or when what came in meanwhile was read. A late timer
   * fires before that, and takes an answer that lies there for one that did not come.
   */
  readonly whenCaughtUp: (run: () => void) => void;
}

/** Makes the watch; `onStandstill` is told how long the process stood still. */
export function createStandstillWatch(
  nowMs: () => number,
  onStandstill: (forMs: number) => void,
): StandstillWatch {
  let timer: NodeJS.Timeout | null = null;
  let ranAtMs = nowMs();
  /** The last turn before the last standstill, and until when it is felt. */
  let standstill = { sinceMs: ranAtMs, feltUntilMs: ranAtMs };

  /** Also when no timer has fired yet: what came in may be read before timers run. */
  function look(): void {
    const now = nowMs();
    const beforeMs = ranAtMs;
    ranAtMs = now;
    if (timer === null || now - beforeMs < STANDSTILL_MS) return;
    standstill = { sinceMs: beforeMs, feltUntilMs: now + CATCH_UP_MS };
    onStandstill(now - beforeMs);
  }

  function isBehind(): boolean {
    look();
    return ranAtMs < standstill.feltUntilMs;
  }

  function catchUp(): Promise<void> | null {
    return isBehind() ? turnLoopTimes(TURNS_TO_CLOSE) : null;
  }

  return {
    child: {
      name: 'standstill-watch',
      start: () => {
        ranAtMs = nowMs();
        timer = setInterval(look, BEAT_MS).unref();
        return Promise.resolve();
      },
      stop: () => {
        if (timer !== null) clearInterval(timer);
        timer = null;
        return Promise.resolve();
      },
    },
    unreadSinceMs: () => (isBehind() ? standstill.sinceMs : ranAtMs),
    catchUp,
    whenCaughtUp: (run) => {
      const caughtUp = catchUp();
      if (caughtUp === null) run();
      else void caughtUp.then(run);
    },
  };
}

async function turnLoopTimes(times: number): Promise<void> {
  for (let turn = 0; turn < times; turn += 1) await turnLoop();
}
