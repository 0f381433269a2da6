/**
 * The supervisor tree. A supervisor starts its children in order, restarts one that fails, and
 * stops them in reverse order. A child that keeps failing takes its supervisor down, up to the
 * root, whose end ends the process: the platform replaces it, and a fresh process is a better bet
 * than one that limps.
 */
import type { ConsolaInstance } from 'consola';
import { type Failure, FailureError, defineFailure } from '@cassiamast/coordination';

/** Part of the process: started, stopped, and able to report that it has failed meanwhile. */
export interface Child {
  readonly name: string;
  /** Resolves when the child serves; rejects with a FailureError when it can't start. */
  readonly start: (reportFailure: (failure: Failure) => void) => Promise<void>;
  /** Resolves when the child has let go of everything. */
  readonly stop: () => Promise<void>;
}

/** How often a child may fail before its supervisor gives up. */
export interface RestartLimit {
  readonly maxRestarts: number;
  readonly withinMs: number;
  readonly backoffMs: number;
}

/** Enough for a passing fault, few enough that a lasting one shows within seconds. */
export const DEFAULT_RESTART_LIMIT: RestartLimit = {
  maxRestarts: 5,
  withinMs: 10_000,
  backoffMs: 100,
};

/** What a supervisor needs from its surroundings. */
export interface SupervisorOptions {
  readonly name: string;
  readonly children: readonly Child[];
  readonly limit: RestartLimit;
  readonly log: ConsolaInstance;
  readonly nowMs: () => number;
  readonly sleep: (delayMs: number) => Promise<void>;
}

/** A child failed more often than its limit allows. */
export const CHILD_KEEPS_FAILING = defineFailure({
  name: 'child-keeps-failing',
  title: 'A part of the process keeps failing',
  message: (data: { readonly child: string; readonly last: string }) =>
    `${data.child} failed too often; last: ${data.last}`,
  hint: 'The process ends so that the platform replaces it. Look at the last failure.',
});

/** Makes a child out of a group of children. */
export function createSupervisor(options: SupervisorOptions): Child {
  const restartsAtMs = new Map<string, number[]>();
  const running: Child[] = [];
  let stopping = false;
  let reportUp: (failure: Failure) => void = () => undefined;

  function mayRestart(child: Child): boolean {
    const sinceMs = options.nowMs() - options.limit.withinMs;
    const recent = (restartsAtMs.get(child.name) ?? []).filter((atMs) => atMs > sinceMs);
    recent.push(options.nowMs());
    restartsAtMs.set(child.name, recent);
    return recent.length <= options.limit.maxRestarts;
  }

  async function restart(child: Child, failure: Failure): Promise<void> {
    if (stopping) return;
    options.log.warn(`${options.name}: ${child.name} failed: ${failure.message}`);
    if (!mayRestart(child)) {
      reportUp(CHILD_KEEPS_FAILING.of({ child: child.name, last: failure.message }));
      return;
    }
    await child.stop();
    await options.sleep(options.limit.backoffMs);
    if (stopping) return;
    await startChild(child);
  }

  async function startChild(child: Child): Promise<void> {
    try {
      await child.start((failure) => void restart(child, failure));
    } catch (error) {
      if (!(error instanceof FailureError)) throw error;
      await restart(child, error.failure);
    }
  }

  return {
    name: options.name,
    start: async (reportFailure) => {
      stopping = false;
      reportUp = reportFailure;
      for (const child of options.children) {
        await startChild(child);
        running.push(child);
      }
    },
    stop: async () => {
      stopping = true;
      for (const child of running.splice(0).reverse()) await child.stop();
    },
  };
}
