/** Repeated work as a child of the supervisor tree. */
import type { Child } from '../supervisor/supervisor.js';

/**
 * Runs `work` every `everyMs` while started. Work that is still going on when its time comes again
 * is not started twice: a slow platform service must not pile calls up.
 */
export function createPeriodic(
  name: string,
  everyMs: () => number,
  work: () => Promise<void> | void,
): Child {
  let timer: NodeJS.Timeout | null = null;
  let stopped = true;

  async function turn(): Promise<void> {
    await work();
    if (!stopped) timer = setTimeout(() => void turn(), everyMs());
  }

  return {
    name,
    // The first turn is not waited for: in an outage of the platform it takes seconds, and the parts
    // that are started after this one must not wait for it.
    start: () => {
      stopped = false;
      void turn();
      return Promise.resolve();
    },
    stop: () => {
      stopped = true;
      if (timer !== null) clearTimeout(timer);
      return Promise.resolve();
    },
  };
}
