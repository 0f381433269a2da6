/**
 * Implements the supervisor tree. A supervisor starts its children in order, restarts a child that
 * fails, and stops them in reverse order. When a child keeps failing, its supervisor fails too, up to
 * the root, whose failure ends the process. The platform then replaces the process, which recovers
 * more reliably than a process that continues with a broken part.
 */
import type { ConsolaInstance } from 'consola';
import { type Failure, FailureError, defineFailure } from '@cassiamast/coordination';
import { ADDRESS_TAKEN } from '../node/failures.js';

/** Part of the process that can be started and stopped, and that reports failures while it runs. */
export interface Child {
  readonly name: string;
  /** Resolves when the child is ready; rejects with a FailureError when it can't start. */
  readonly start: (reportFailure: (failure: Failure) => void) => Promise<void>;
  /** Resolves when the child has released all its resources. */
  readonly stop: () => Promise<void>;
}

/** How often a child may fail before its supervisor gives up. */
export interface RestartLimit {
  readonly maxRestarts: number;
  readonly withinMs: number;
  readonly backoffMs: number;
  /**
   * Whether a start failure goes away by itself. Such a start is retried without counting as a
   * restart.
   */
  readonly isTransient: (failure: Failure) => boolean;
  /** How long a start is retried while its failures are transient. */
  readonly transientWaitMs: number;
}

/**
 * Allows enough restarts for a transient fault, but few enough that a permanent fault is reported
 * within seconds. A taken address is retried for longer than the previous process at that address may
 * need to stop, which is up to 8 s on the platforms in use.
 */
export const DEFAULT_RESTART_LIMIT: RestartLimit = {
  maxRestarts: 5,
  withinMs: 10_000,
  backoffMs: 100,
  isTransient: (failure) => failure.name === ADDRESS_TAKEN.name,
  transientWaitMs: 10_000,
};

/** Children, restart limit and environment of a supervisor. */
export interface SupervisorOptions {
  readonly name: string;
  readonly children: readonly Child[];
  readonly limit: RestartLimit;
  readonly log: ConsolaInstance;
  readonly nowMs: () => number;
  readonly sleep: (delayMs: number) => Promise<void>;
}

/**
 * A child failed more often than the restart limit allows, or its start kept failing for too long.
 */
export const CHILD_KEEPS_FAILING = defineFailure({
  name: 'child-keeps-failing',
  title: 'A part of the process keeps failing',
  message: (data: { readonly child: string; readonly last: string }) =>
    `${data.child} failed too often; last: ${data.last}`,
  hint: 'The process ends so that the platform replaces it. Look at the last failure.',
});

/** Creates a supervisor, which is itself a child and can be nested in another supervisor. */
export function createSupervisor(options: SupervisorOptions): Child {
  const restartsAtMs = new Map<string, number[]>();
  const running: Child[] = [];
  let stopping = false;
  let reportToParent: (failure: Failure) => void = () => undefined;

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
      reportToParent(CHILD_KEEPS_FAILING.of({ child: child.name, last: failure.message }));
      return;
    }
    await child.stop();
    await options.sleep(options.limit.backoffMs);
    if (stopping) return;
    await startChild(child);
  }

  /** Starts a child; returns the failure that prevented the start, or null. */
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
    if (options.limit.isTransient(failure)) await waitAndStart(child, failure);
    else await restart(child, failure);
  }

  /**
   * Retries a start that fails for a transient reason. Without it, a process that starts while its
   * predecessor or another process still holds its address for some seconds would exit at once and
   * would not be replaced. Retrying lasts until a predecessor must have stopped.
   */
  async function waitAndStart(child: Child, first: Failure): Promise<void> {
    const { log, nowMs, limit } = options;
    const sinceMs = nowMs();
    log.warn(`${options.name}: ${child.name} waits: ${first.message}`);
    let failure: Failure | null = first;
    while (failure !== null && limit.isTransient(failure)) {
      await child.stop();
      if (nowMs() - sinceMs >= limit.transientWaitMs) {
        reportToParent(CHILD_KEEPS_FAILING.of({ child: child.name, last: failure.message }));
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
      reportToParent = reportFailure;
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
