/**
 * Step loop of the engine: runs steps one after another while there is work and completes each one
 * when its duration has passed. Steps shorter than the timer resolution are caught up at the next
 * wake-up.
 */

/** Limits the steps per wake-up so that the event loop can answer requests in between. */
const MAX_STEPS_AT_ONCE = 64;

/** A computed step: its duration and the action that completes it. */
export interface PendingStep {
  readonly durationMs: number;
  readonly complete: () => void;
}

/** Controls of the step loop. */
export interface StepLoop {
  /** Starts the loop if there is work. Does nothing while the loop is running. */
  readonly wake: () => void;
  readonly stop: () => void;
}

/** Creates an idle loop. `next` returns null when there is no work. */
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
