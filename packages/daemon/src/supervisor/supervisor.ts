/**
 * The supervisor tree. A supervisor starts its children in order, restarts one that fails, and
 * stops them in reverse order. A child that keeps failing takes its supervisor down, up to the
 * root, whose end ends the process: the platform replaces it, and a fresh process is a better bet
 * than one that limps.
 */
import type { ConsolaInstance } from 'consola';
import { type Failure, FailureError, defineFailure } from '@cassiamast/coordination';
import { ADDRESS_TAKEN } from '../node/failures.js';

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
  /** Whether what kept a child from starting passes by itself; it is waited for and not counted. */
  readonly passes: (failure: Failure) => boolean;
  /** How long such a failure is waited for. */
  readonly patienceMs: number;
}

/**
 * Enough for a passing fault, few enough that a lasting one shows within seconds. An address is waited
 * for longer than a predecessor in the same place may take to stop, 8 s on the platforms so far.
 */
export const DEFAULT_RESTART_LIMIT: RestartLimit = {
  maxRestarts: 5,
  withinMs: 10_000,
  backoffMs: 100,
  passes: (failure) => failure.name === ADDRESS_TAKEN.name,
  patienceMs: 10_000,
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

  /** Starts a child; gives what kept it from starting, or null. */
  async function tryStart(child: Child): Promise<Failure | null> {
    try {
      await child.start((failure) => void restart(child, failure));
      return null;
    } catch (error) {
      if (!(error instanceof FailureError)) throw error;
      return error.failure;
    }
  }

  async function startChild(child: Child): Promise<void> {
    const failure = await tryStart(child);
    if (failure === null) return;
    if (options.limit.passes(failure)) await waitAndStart(child, failure);
    else await restart(child, failure);
  }

  /**
   * Waits for what passes by itself. Failure guarded against: a process starts while its predecessor
   * still holds an address, or another process holds it for some seconds, and ends at once; it shows
   * as a place that stays empty after a restart. The guard holds because the address is asked for
   * until a predecessor must have stopped.
   */
  async function waitAndStart(child: Child, first: Failure): Promise<void> {
    const { log, nowMs, limit } = options;
    const sinceMs = nowMs();
    log.warn(`${options.name}: ${child.name} waits: ${first.message}`);
    let failure: Failure | null = first;
    while (failure !== null && limit.passes(failure)) {
      await child.stop();
      if (nowMs() - sinceMs >= limit.patienceMs) {
        reportUp(CHILD_KEEPS_FAILING.of({ child: child.name, last: failure.message }));
        return;
      }
      await options.sleep(limit.backoffMs);
      if (stopping) return;
      failure = await tryStart(child);
    }
    if (failure !== null) return restart(child, failure);
    const waitedMs = Math.round(nowMs() - sinceMs);
    log.warn(`${options.name}: ${child.name} starts after ${String(waitedMs)} ms`);
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
