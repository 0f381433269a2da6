/**
 * Detects event loop stalls: the VM gave the process no CPU time, the process was suspended, or its
 * own work took long. Events that arrive during a stall are read one after the other afterwards, so
 * the first ones read are already outdated.
 */
import { setImmediate as nextLoopTurn } from 'node:timers/promises';
import type { Child } from '../supervisor/supervisor.js';

/** Interval of the check for stalls. */
const CHECK_INTERVAL_MS = 50;
/** The shortest time without a turn of the event loop that counts as a stall. */
const STANDSTILL_MS = 150;
/** Time to read pending events after a stall; the loop accepts only a few connections per turn. */
const CATCH_UP_MS = 200;
/** Turns of the event loop between reading a request and reading its caller's close. */
const TURNS_TO_CLOSE = 4;

/** Detects stalls of this process. */
export interface StallWatch {
  readonly child: Child;
  /**
   * Returns since when events that are read now may have been pending: the time of the last turn
   * before the stall while the process catches up, otherwise the current time.
   */
  readonly unreadSinceMs: () => number;
  /**
   * Resolves after the event loop had enough turns to read the close of a connection on which data
   * was read just now. Returns null if the process is not catching up after a stall.
   */
  readonly catchUp: () => Promise<void> | null;
  /**
   * Runs the callback of a timer immediately, or after pending events were read if the process is
   * catching up. Timers that are late fire before pending events are read, so an answer that has
   * already arrived would otherwise be treated as missing.
   */
  readonly whenCaughtUp: (run: () => void) => void;
}

/** Creates the watch; `onStandstill` receives the duration of each stall. */
export function createStallWatch(
  nowMs: () => number,
  onStandstill: (forMs: number) => void,
): StallWatch {
  let timer: NodeJS.Timeout | null = null;
  let ranAtMs = nowMs();
  /** The time of the last turn before the last stall, and until when the process catches up. */
  let standstill = { sinceMs: ranAtMs, caughtUpAtMs: ranAtMs };

  /** Checks for a stall. Also called on reads, since events may be read before the timer fires. */
  function checkForStall(): void {
    const now = nowMs();
    const previousRunAtMs = ranAtMs;
    ranAtMs = now;
    if (timer === null || now - previousRunAtMs < STANDSTILL_MS) return;
    standstill = { sinceMs: previousRunAtMs, caughtUpAtMs: now + CATCH_UP_MS };
    onStandstill(now - previousRunAtMs);
  }

  function isCatchingUp(): boolean {
    checkForStall();
    return ranAtMs < standstill.caughtUpAtMs;
  }

  function catchUp(): Promise<void> | null {
    return isCatchingUp() ? runLoopTurns(TURNS_TO_CLOSE) : null;
  }

  return {
    child: {
      name: 'standstill-watch',
      start: () => {
        ranAtMs = nowMs();
        timer = setInterval(checkForStall, CHECK_INTERVAL_MS).unref();
        return Promise.resolve();
      },
      stop: () => {
        if (timer !== null) clearInterval(timer);
        timer = null;
        return Promise.resolve();
      },
    },
    unreadSinceMs: () => (isCatchingUp() ? standstill.sinceMs : ranAtMs),
    catchUp,
    whenCaughtUp: (run) => {
      const caughtUp = catchUp();
      if (caughtUp === null) run();
      else void caughtUp.then(run);
    },
  };
}

async function runLoopTurns(times: number): Promise<void> {
  for (let turn = 0; turn < times; turn += 1) await nextLoopTurn();
}
