/**
 * The life of a process: it is started, may be told to read its settings anew, and stops once, however
 * often and for whatever reason it is told to. Signals are handled before anything is started, and
 * their handlers stay: the default action of a signal ends a process in the middle of its answers.
 */
import type { Failure } from '@cassiamast/coordination';

/** Exit codes. */
export enum ExitCode {
  Stopped = 0,
  Failed = 1,
  BadUsage = 2,
}

/** Why a process stops. */
export enum StopReason {
  /** It was told to. */
  Told = 'told',
  /** A part of it failed for good, or an error was caught nowhere. */
  Failed = 'failed',
}

/** A process that runs. */
export interface LivingProcess {
  /** Resolves when the process may exit. */
  readonly stop: (reason: StopReason) => Promise<void>;
  /** Reads the settings anew; left out where they are read once. */
  readonly reload?: () => void;
}

/** Told when a part of the process keeps failing. */
export type OnFailure = (failure: Failure) => void;

/** What a process is. */
export interface ProcessLife {
  /** Takes no work before it resolves. */
  readonly start: (onFailure: OnFailure) => Promise<LivingProcess>;
  readonly stopSignals: readonly NodeJS.Signals[];
  /** Says what went wrong; `done` is called when it is written. */
  readonly report: (cause: string, done: () => void) => void;
}

/** Runs a process until it exits. */
export function runProcess({ start, stopSignals, report }: ProcessLife): void {
  let running: LivingProcess | null = null;
  let code = ExitCode.Stopped;
  let isStopping = false;

  const exit = (): void => {
    process.exit(code);
  };

  function stop(reason: StopReason): void {
    if (isStopping) return;
    isStopping = true;
    // Nothing has been taken yet.
    if (running === null) exit();
    else running.stop(reason).then(exit, exitAfter);
  }

  /** Reports what ends the process, or kept it from starting. */
  function exitAfter(error: unknown): void {
    code = ExitCode.Failed;
    report(describe(error), exit);
  }

  /** Lets running work end, which another part's failure need not cut. */
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
    process.on(signal, () => {
      stop(StopReason.Told);
    });
  }
  process.on('SIGHUP', () => {
    running?.reload?.();
  });
  process.on('uncaughtException', fail);
  start((failure) => {
    fail(`${failure.title}: ${failure.message}`);
  }).then((started) => {
    running = started;
  }, exitAfter);
}

function describe(error: unknown): string {
  return error instanceof Error ? (error.stack ?? error.message) : String(error);
}
