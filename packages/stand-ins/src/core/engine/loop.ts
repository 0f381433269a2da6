/**
 * The engine's loop: one step after another while there is work, each handed on when its time has
 * passed. Steps shorter than a timer can tell are made up for at the next wake-up.
 */

/** Most steps in one wake-up, so that requests are still answered in between. */
const MAX_STEPS_AT_ONCE = 64;

/** A step that has been computed: how long it takes, and what to do when it is over. */
export interface PendingStep {
  readonly durationMs: number;
  readonly complete: () => void;
}

/** The loop's controls. */
export interface StepLoop {
  /** Looks for work; does nothing while the loop is running. */
  readonly wake: () => void;
  readonly stop: () => void;
}

/** Makes a loop at rest. `next` gives null when there is no work. */
export function createStepLoop(next: () => PendingStep | null, nowMs: () => number): StepLoop {
  let timer: NodeJS.Timeout | null = null;
  let pending: PendingStep | null = null;
  let dueMs = 0;
  let stopped = false;

  const schedule = (): void => {
    timer = setTimeout(run, Math.max(0, dueMs - nowMs()));
  };
  const begin = (): boolean => {
    pending = stopped ? null : next();
    if (pending === null) return false;
    dueMs += pending.durationMs;
    return true;
  };
  const run = (): void => {
    timer = null;
    for (let steps = 0; steps < MAX_STEPS_AT_ONCE && pending !== null; steps++) {
      if (nowMs() < dueMs) break;
      const done = pending;
      pending = null;
      done.complete();
      begin();
    }
    if (pending !== null) schedule();
  };
  return {
    wake: () => {
      if (pending !== null || timer !== null || stopped) return;
      dueMs = nowMs();
      if (begin()) schedule();
    },
    stop: () => {
      stopped = true;
      pending = null;
      if (timer !== null) clearTimeout(timer);
    },
  };
}
