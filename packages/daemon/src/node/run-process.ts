/**
 * Runs a process: it is started, may be told to read its settings anew, and stops once, however often
 * and for whatever reason. Signals are handled before anything is started, and their handlers stay:
 * the default action of a signal ends a process in the middle of its answers.
 */
import type { EventEmitter } from 'node:events';
import { type Failure, FailureError } from '@cassiamast/coordination';

/** Exit codes. */
export enum ExitCode {
  Stopped = 0,
  Failed = 1,
  BadUsage = 2,
}

/** Why a process stops. */
export enum StopReason {
  /** A signal asked for it. */
  Requested = 'requested',
  /** A part of it failed for good, or an error was caught nowhere. */
  Failed = 'failed',
}

/** A process that runs. */
export interface StoppableProcess {
  /** Resolves when the process may exit. */
  readonly stop: (reason: StopReason) => Promise<void>;
  /** Reads the settings anew; left out where they are read once. */
  readonly reload?: () => void;
}

/** Told when a part of the process keeps failing. */
export type OnFailure = (failure: Failure) => void;

/** What a process does. */
export interface ProcessOptions {
  readonly start: (onFailure: OnFailure) => Promise<StoppableProcess>;
  /** Whether it may have work before `start` resolves; a stop then waits for that. */
  readonly worksWhileStarting: boolean;
  readonly stopSignals: readonly NodeJS.Signals[];
  /** Says what went wrong; `done` is called when it is written. */
  readonly report: (message: string, done: () => void) => void;
  readonly exit: (code: ExitCode) => void;
}

/** Runs a process until it exits; `source` emits its signals and errors that nothing caught. */
export function runProcess(source: Pick<EventEmitter, 'on'>, options: ProcessOptions): void {
  const { start, worksWhileStarting, stopSignals, report, exit } = options;
  let running: StoppableProcess | null = null;
  let code = ExitCode.Stopped;
  let stopReason: StopReason | null = null;

  function stop(reason: StopReason): void {
    if (stopReason !== null) return;
    stopReason = reason;
    if (running !== null) void stopRunning(running, reason);
    else if (!worksWhileStarting) exit(code);
  }

  async function stopRunning(stopping: StoppableProcess, reason: StopReason): Promise<void> {
    try {
      await stopping.stop(reason);
    } catch (error) {
      exitAfter(error);
      return;
    }
    exit(code);
  }

  /** Reports what ends the process, or kept it from starting. */
  function exitAfter(error: unknown): void {
    code = ExitCode.Failed;
    report(describe(error), () => {
      exit(code);
    });
  }

  /** Stops gracefully: a failure of one part need not cut the work of the others. */
  function fail(error: unknown): void {
    if (running === null) {
      exitAfter(error);
      return;
    }
    code = ExitCode.Failed;
    report(describe(error), () => undefined);
    stop(StopReason.Failed);
  }

  for (const signal of stopSignals) {
    source.on(signal, () => {
      stop(StopReason.Requested);
    });
  }
  source.on('SIGHUP', () => {
    running?.reload?.();
  });
  source.on('uncaughtException', fail);
  start((failure) => {
    fail(new FailureError(failure));
  }).then((started) => {
    running = started;
    if (stopReason !== null) void stopRunning(started, stopReason);
  }, exitAfter);
}

function describe(error: unknown): string {
  if (error instanceof FailureError) return describeFailure(error.failure);
  return error instanceof Error ? (error.stack ?? error.message) : String(error);
}

/** A failure in the words of its catalogue entry, and what to do. */
export function describeFailure({ title, message, hint }: Failure): string {
  return `${title}: ${message}\n${hint}`;
}
