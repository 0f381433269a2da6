/** Runs periodic work as a child of the supervisor tree. */
import type { Child } from '../supervisor/supervisor.js';

/**
 * Creates a child that runs `work` and waits `everyMs` after each run. Runs never overlap, so calls
 * to a slow platform service don't accumulate.
 */
export function createPeriodic(
  name: string,
  everyMs: () => number,
  work: () => Promise<void> | void,
): Child {
  let timer: NodeJS.Timeout | null = null;
  let stopped = true;

  async function runOnce(): Promise<void> {
    await work();
    if (!stopped) timer = setTimeout(() => void runOnce(), everyMs());
  }

  return {
    name,
    // The first run is not awaited: during an outage of the platform it takes seconds, which would
    // delay the start of the children after this one.
    start: () => {
      stopped = false;
      void runOnce();
      return Promise.resolve();
    },
    stop: () => {
      stopped = true;
      if (timer !== null) clearTimeout(timer);
      return Promise.resolve();
    },
  };
}
