/**
 * Runs the attempts of one request at several targets beside each other, and stops those that must
 * not go on. The forwarding of a request begins an attempt, waits for what becomes of it, and begins
 * another one if its target has failed or fallen silent.
 */
import {
  addAttempt,
  areAllOverdue,
  createAttemptRace,
  endAttempt,
  isRunElsewhere,
  recordAttemptAccepted,
  recordAttemptAnswer,
  recordAttemptOverdue,
  recordAttemptRead,
  recordAttemptRun,
} from '@cassiamast/coordination';
import { withResolvers } from '../node/promises.js';

/**
 * Shared abort reason, because the default reason of an abort signal captures a costly stack trace.
 */
const ATTEMPT_STOPPED = new Error('the request is over, or goes on at another target');

/**
 * A target that has the request for this long has not rejected it. The users' platform tolerates two
 * targets that work on one request for 400 ms.
 */
const ACCEPTED_AFTER_MS = 300;

/** What an attempt tells of its target, and when it must stop. */
export interface AttemptProgress {
  /** Aborted when the request is over, or goes on in another attempt. */
  readonly signal: AbortSignal;
  /** Must be called right before the target is sent the request to run it. */
  readonly noteRun: () => void;
  /** The target has read the prompt. */
  readonly noteRead: () => void;
  /** Resolves when no other target may run what must not run twice, or when the signal is aborted. */
  readonly whenAloneToRun: () => Promise<void>;
  /** The target has sent a part of its answer. */
  readonly noteAnswer: () => void;
  /** Whether no other attempt of the request is open. */
  readonly isAlone: () => boolean;
  /** The answer is overdue. */
  readonly noteOverdue: () => void;
}

/** The attempts of one request. */
export interface OpenAttempts<End> {
  /** Begins an attempt. */
  readonly begin: (run: (progress: AttemptProgress) => Promise<End>) => void;
  readonly areOpen: () => boolean;
  /** Whether attempts are open and the answers of all of them are overdue. */
  readonly areAllOverdue: () => boolean;
  /** Resolves when an attempt is over or tells something, or after a time. */
  readonly changed: (withinMs: number) => Promise<void>;
  /**
   * Resolves with how the last attempt ended when none is open, or with null when the answers of all
   * open ones are overdue.
   */
  readonly next: () => Promise<End | null>;
  /** Resolves with how the last attempt ended when none is open. */
  readonly over: () => Promise<End | null>;
  /**
   * Returns a signal that is aborted when an overdue answer goes on or is over, or the request is
   * over.
   */
  readonly untilAnswer: () => AbortSignal;
}

/**
 * Creates the attempts of a request that is over when `requestSignal` is aborted.
 *
 * @param mayRepeat - Whether the request may run at several targets.
 */
export function createOpenAttempts<End>(
  requestSignal: AbortSignal,
  mayRepeat: boolean,
): OpenAttempts<End> {
  const race = createAttemptRace<AbortController>(mayRepeat);
  let lastEnd: End | null = null;
  let failure: { readonly error: unknown } | null = null;
  let changed = withResolvers<null>();
  let answered: AbortController | null = null;

  function noteChange(): void {
    changed.resolve(null);
    changed = withResolvers();
  }

  function noteSign(stopped: readonly AbortController[]): void {
    answered?.abort(ATTEMPT_STOPPED);
    answered = null;
    stop(stopped);
    noteChange();
  }

  function begin(run: (progress: AttemptProgress) => Promise<End>): void {
    const attempt = new AbortController();
    const onRequestOver = (): void => {
      stop([attempt]);
      noteChange();
    };
    if (requestSignal.aborted) onRequestOver();
    requestSignal.addEventListener('abort', onRequestOver);
    let acceptance: NodeJS.Timeout | undefined;
    addAttempt(race, attempt);
    const running = run({
      signal: attempt.signal,
      noteRun: () => {
        recordAttemptRun(race, attempt);
        acceptance = setTimeout(() => {
          stop(recordAttemptAccepted(race, attempt));
          noteChange();
        }, ACCEPTED_AFTER_MS);
      },
      noteRead: () => {
        noteSign(recordAttemptRead(race, attempt));
      },
      whenAloneToRun: async () => {
        while (isRunElsewhere(race, attempt) && !attempt.signal.aborted) await changed.promise;
      },
      noteAnswer: () => {
        noteSign(recordAttemptAnswer(race, attempt));
      },
      isAlone: () => race.open.size === 1,
      noteOverdue: () => {
        recordAttemptOverdue(race, attempt);
        noteChange();
      },
    });
    const settle = (): void => {
      clearTimeout(acceptance);
      requestSignal.removeEventListener('abort', onRequestOver);
      noteChange();
    };
    void running
      .then((end) => {
        if (endAttempt(race, attempt)) lastEnd = end;
      })
      .catch((error: unknown) => {
        failure ??= { error };
      })
      .finally(settle);
  }

  async function settled(isSettled: () => boolean): Promise<End | null> {
    while (race.open.size > 0 && !isSettled()) {
      if (failure !== null) throw failure.error;
      await changed.promise;
    }
    if (failure !== null) throw failure.error;
    return race.open.size > 0 ? null : lastEnd;
  }

  return {
    begin,
    areOpen: () => race.open.size > 0,
    areAllOverdue: () => areAllOverdue(race),
    changed: async (withinMs) => {
      const wait = withResolvers<null>();
      const timer = setTimeout(wait.resolve, withinMs, null);
      await Promise.race([changed.promise, wait.promise]);
      clearTimeout(timer);
    },
    next: () => settled(() => areAllOverdue(race)),
    over: () => settled(() => false),
    untilAnswer: () => {
      if (race.open.size === 0) return requestSignal;
      if (!areAllOverdue(race)) return AbortSignal.abort(ATTEMPT_STOPPED);
      answered ??= new AbortController();
      return AbortSignal.any([requestSignal, answered.signal]);
    },
  };
}

function stop(attempts: readonly AbortController[]): void {
  for (const attempt of attempts) attempt.abort(ATTEMPT_STOPPED);
}
