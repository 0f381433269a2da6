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

/** Takes back what a process that has not started yet has told others. */
export type TakeBack = () => Promise<void>;

/** What a process does. */
export interface ProcessOptions {
  /** `onTold` hands over what a stop has to take back that comes before `start` resolves. */
  readonly start: (
    onFailure: OnFailure,
    onTold: (takeBack: TakeBack) => void,
  ) => Promise<StoppableProcess>;
  /** Whether it may have work before `start` resolves; a stop then waits for that. */
  readonly worksWhileStarting: boolean;
  readonly stopSignals: readonly NodeJS.Signals[];
  /** Says what went wrong; `done` is called when it is written. */
  readonly report: (message: string, done: () => void) => void;
  readonly exit: (code: ExitCode) => void;
}

/** A stop that has nothing to drain waits so long for what is taken back. */
const TAKE_BACK_MOST_MS = 1000;

/** Runs a process until it exits; `source` emits its signals and errors that nothing caught. */
export function runProcess(source: Pick<EventEmitter, 'on'>, options: ProcessOptions): void {
  const { start, worksWhileStarting, stopSignals, report, exit } = options;
  let running: StoppableProcess | null = null;
  let code = ExitCode.Stopped;
  let stopReason: StopReason | null = null;
  let takeBack: TakeBack = () => Promise.resolve();

  function stop(reason: StopReason): void {
    if (stopReason !== null) return;
    stopReason = reason;
    if (running !== null) void stopRunning(running, reason);
    else if (!worksWhileStarting) exitAfterTakingBack();
  }

  /**
   * Guards against an announcement that outlives its process: it shows as others that ask a process
   * which is gone, until its lease lapses. A process that has started meanwhile stops like any other.
   */
  function exitAfterTakingBack(): void {
    let hasEnded = false;
    const end = (leave: () => void): void => {
      clearTimeout(timer);
      if (hasEnded || running !== null) return;
      hasEnded = true;
      leave();
    };
    const leave = (): void => {
      exit(code);
    };
    const timer = setTimeout(end, TAKE_BACK_MOST_MS, leave);
    takeBack().then(
      () => {
        end(leave);
      },
      (error: unknown) => {
        end(() => {
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
  start(
    (failure) => {
      fail(new FailureError(failure));
    },
    (told) => {
      takeBack = told;
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

/** A failure in the words of its catalogue entry, and what to do. */
export function describeFailure({ title, message, hint }: Failure): string {
  return `${title}: ${message}\n${hint}`;
}
