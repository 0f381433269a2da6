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
    start: async () => {
      stopped = false;
      await turn();
    },
    stop: () => {
      stopped = true;
      if (timer !== null) clearTimeout(timer);
      return Promise.resolve();
    },
  };
}
