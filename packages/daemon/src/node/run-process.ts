/**
 * Runs the life cycle of a process: starts it, reloads its settings on SIGHUP, and stops it exactly
 * once, whatever the number and the reasons of the stop requests. Signal handlers are installed
 * before the start and never removed, because the default action of a signal would end the process
 * in the middle of its responses.
 */
import type { EventEmitter } from 'node:events';
import { type Failure, FailureError } from '@cassiamast/coordination';

/** Exit codes of a process. */
export enum ExitCode {
  Stopped = 0,
  Failed = 1,
  BadUsage = 2,
}

/** Why a process stops. */
export enum StopReason {
  /** A stop signal arrived. */
  Requested = 'requested',
  /** A part of the process failed permanently, or an exception was not caught. */
  Failed = 'failed',
}

/** A running process. */
export interface StoppableProcess {
  /** Resolves when the process may exit. */
  readonly stop: (reason: StopReason) => Promise<void>;
  /** Reloads the settings; absent if they are read only once. */
  readonly reload?: () => void;
}

/** Called when a part of the process keeps failing. */
export type OnFailure = (failure: Failure) => void;

/** Withdraws what a process has announced to others before it finished starting. */
export type WithdrawAnnouncements = () => Promise<void>;

/** How a process starts, stops and reports. */
export interface ProcessOptions {
  /** `onTold` registers what a stop must withdraw if it comes before `start` resolves. */
  readonly start: (
    onFailure: OnFailure,
    onTold: (withdraw: WithdrawAnnouncements) => void,
  ) => Promise<StoppableProcess>;
  /** Whether the process may have work before `start` resolves; a stop then waits for the start. */
  readonly worksWhileStarting: boolean;
  readonly stopSignals: readonly NodeJS.Signals[];
  /** Writes an error message; `done` is called once it is written. */
  readonly report: (message: string, done: () => void) => void;
  readonly exit: (code: ExitCode) => void;
}

/** How long a stop during the start waits for announcements to be withdrawn. */
const WITHDRAWAL_TIMEOUT_MS = 1000;

/** Runs a process until it exits; `source` emits its signals and uncaught exceptions. */
export function runProcess(source: Pick<EventEmitter, 'on'>, options: ProcessOptions): void {
  const { start, worksWhileStarting, stopSignals, report, exit } = options;
  let running: StoppableProcess | null = null;
  let code = ExitCode.Stopped;
  let stopReason: StopReason | null = null;
  let withdraw: WithdrawAnnouncements = () => Promise.resolve();

  function stop(reason: StopReason): void {
    if (stopReason !== null) return;
    stopReason = reason;
    if (running !== null) void stopRunning(running, reason);
    else if (!worksWhileStarting) exitAfterWithdrawal();
  }

  /**
   * Withdraws announcements, then exits. Without it, others would call a process that has exited
   * until its lease expires. A process that finishes starting in the meantime is stopped as usual.
   */
  function exitAfterWithdrawal(): void {
    let hasExited = false;
    const finish = (exitProcess: () => void): void => {
      clearTimeout(timer);
      if (hasExited || running !== null) return;
      hasExited = true;
      exitProcess();
    };
    const exitProcess = (): void => {
      exit(code);
    };
    const timer = setTimeout(finish, WITHDRAWAL_TIMEOUT_MS, exitProcess);
    withdraw().then(
      () => {
        finish(exitProcess);
      },
      (error: unknown) => {
        finish(() => {
          exitAfter(error);
        });
      },
    );
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

  /** Reports the error that ends the process or prevented its start, then exits. */
  function exitAfter(error: unknown): void {
    code = ExitCode.Failed;
    report(describe(error), () => {
      exit(code);
    });
  }

  /** Stops gracefully, since a failure of one part need not interrupt the work of the others. */
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
  start(
    (failure) => {
      fail(new FailureError(failure));
    },
    (withdrawAnnouncements) => {
      withdraw = withdrawAnnouncements;
    },
  ).then((started) => {
    running = started;
    if (stopReason !== null) void stopRunning(started, stopReason);
  }, exitAfter);
}

function describe(error: unknown): string {
  if (error instanceof FailureError) return describeFailure(error.failure);
  return error instanceof Error ? (error.stack ?? error.message) : String(error);
}

/** Formats a failure: its title, its message and the hint on what to do. */
export function describeFailure({ title, message, hint }: Failure): string {
  return `${title}: ${message}\n${hint}`;
}
