/**
 * Decides which of several attempts of one request goes on. An attempt at a target that has fallen
 * silent stays open, since the target may go on a moment later, while another target is tried. It is
 * stopped when the other target answers or has accepted the request. So silence alone ends no answer,
 * and no two targets answer one request.
 */

/** What is known of an attempt that is not over. */
interface OpenAttempt {
  isOverdue: boolean;
  /** Whether its target was sent the request to run it, and not only to read its prompt. */
  isSentToRun: boolean;
}

/** The attempts of one request that are not over, oldest first. */
export interface AttemptRace<Attempt> {
  /** Whether the request may run at several targets. */
  readonly mayRepeat: boolean;
  readonly open: Map<Attempt, OpenAttempt>;
}

/** Creates a race without attempts. */
export function createAttemptRace<Attempt>(mayRepeat: boolean): AttemptRace<Attempt> {
  return { mayRepeat, open: new Map() };
}

/** Adds an attempt whose target does not run the request yet, but may read its prompt. */
export function addAttempt<Attempt>({ open }: AttemptRace<Attempt>, attempt: Attempt): void {
  open.set(attempt, { isOverdue: false, isSentToRun: false });
}

/** Records that the target of an attempt is about to be sent the request to run it. */
export function recordAttemptRun<Attempt>({ open }: AttemptRace<Attempt>, attempt: Attempt): void {
  const state = open.get(attempt);
  if (state !== undefined) state.isSentToRun = true;
}

/**
 * Records that the target of an attempt has had the request to run it for so long that it has not
 * rejected it. Returns the attempts to stop: older ones, so that no two targets work on the request
 * for long.
 */
export function recordAttemptAccepted<Attempt>(
  race: AttemptRace<Attempt>,
  attempt: Attempt,
): readonly Attempt[] {
  if (!race.open.has(attempt)) return [];
  const attempts = [...race.open.keys()];
  const older = new Set(attempts.slice(0, attempts.indexOf(attempt)));
  return remove(race, (each) => older.has(each));
}

/**
 * Returns whether a request that must not run twice is at another target, which may run it. An
 * attempt whose target has read the prompt waits until that one is over.
 */
export function isRunElsewhere<Attempt>(
  { mayRepeat, open }: AttemptRace<Attempt>,
  attempt: Attempt,
): boolean {
  if (mayRepeat) return false;
  return [...open].some(([each, { isSentToRun }]) => each !== attempt && isSentToRun);
}

/** Records that the answer of a target is overdue. */
export function recordAttemptOverdue<Attempt>(
  { open }: AttemptRace<Attempt>,
  attempt: Attempt,
): void {
  const state = open.get(attempt);
  if (state !== undefined) state.isOverdue = true;
}

/**
 * Records that the target of an attempt has read the prompt. Returns the attempts to stop: those that
 * were begun because it was silent, unless one of them may have run what must not run twice. Older
 * ones may be answers that have begun.
 */
export function recordAttemptRead<Attempt>(
  race: AttemptRace<Attempt>,
  attempt: Attempt,
): readonly Attempt[] {
  const state = race.open.get(attempt);
  if (state === undefined) return [];
  state.isOverdue = false;
  const attempts = [...race.open.keys()];
  const younger = new Set(attempts.slice(attempts.indexOf(attempt) + 1));
  return remove(
    race,
    (each, { isSentToRun }) => younger.has(each) && (race.mayRepeat || !isSentToRun),
  );
}

/**
 * Records that the target of an attempt has sent a part of its answer. Returns the attempts to stop:
 * all others.
 */
export function recordAttemptAnswer<Attempt>(
  race: AttemptRace<Attempt>,
  attempt: Attempt,
): readonly Attempt[] {
  const state = race.open.get(attempt);
  if (state === undefined) return [];
  state.isOverdue = false;
  return remove(race, (each) => each !== attempt);
}

/** Records that an attempt is over. Returns whether it was still open. */
export function endAttempt<Attempt>({ open }: AttemptRace<Attempt>, attempt: Attempt): boolean {
  return open.delete(attempt);
}

/** Returns whether attempts are open and the answers of all of them are overdue. */
export function areAllOverdue<Attempt>({ open }: AttemptRace<Attempt>): boolean {
  return open.size > 0 && [...open.values()].every(({ isOverdue }) => isOverdue);
}

function remove<Attempt>(
  { open }: AttemptRace<Attempt>,
  isRemoved: (attempt: Attempt, state: OpenAttempt) => boolean,
): readonly Attempt[] {
  const removed = [...open]
    .filter(([attempt, state]) => isRemoved(attempt, state))
    .map(([attempt]) => attempt);
  for (const attempt of removed) open.delete(attempt);
  return removed;
}
