/**
 * Decides from how attempts end whether their target has crashed. A crashed process closes its
 * connections, but so do targets that only lose an answer; a lost machine closes nothing, and its
 * attempts end by silence or by their deadline. Each such end is a suspicion until something tells:
 * the target accepts no connection, its entry disappears, it answers a later request, or nothing
 * happens for a while.
 */
import type { CrashNote } from './crash-memory.js';

/** How an attempt ended without a complete answer. */
export enum AttemptEnd {
  /** The connection broke. */
  Broken = 'broken',
  /** The gateway stopped to wait for the target, or the caller's time was over. */
  Unanswered = 'unanswered',
  /** The caller left. */
  Abandoned = 'abandoned',
  /**
   * The answer ended with its connection, and nothing in it tells whether it is complete: a target
   * that crashes closes its connections, too.
   */
  Closed = 'closed',
}

/** An attempt during which the target may have crashed. */
export interface CrashSuspicion extends CrashNote {
  readonly end: AttemptEnd;
  readonly endedAtMs: number;
  /** When the last attempt with the same content, target and end was over. */
  readonly lastEndedAtMs: number;
  /** Number of these attempts. */
  readonly attempts: number;
  /**
   * Whether the target accepted a connection right after the last break, so that it had not crashed
   * then; what becomes of it later is not due to these attempts.
   */
  readonly wasReached: boolean;
}

/** The suspicions that are neither confirmed nor refuted, oldest first. */
export interface CrashEvidence {
  suspicions: readonly CrashSuspicion[];
}

/** Suspicions that were decided. */
export interface DecidedSuspicions {
  /** The targets of these have crashed. */
  readonly confirmed: readonly CrashSuspicion[];
  /** The targets of these have not. */
  readonly refuted: readonly CrashSuspicion[];
}

/** Most suspicions kept. The crash of a full engine causes sixty. */
const MAX_SUSPICIONS = 1024;
/**
 * A target that accepts connections has crashed if it breaks this many like attempts off and sends
 * nothing for a while: it may hide behind something that accepts connections in its place. Fewer may
 * be answers that a live target lost while it had nothing else to do.
 */
const CONFIRMING_BREAKS = 3;
const CONFIRM_AFTER_MS = 1000;
/**
 * Bytes that are read this soon after a break were on their way when the target crashed, and are no
 * sign of life.
 */
const IN_FLIGHT_MS = 300;
/** No target is back this soon after a crash. */
const REACHED_WITHIN_MS = 500;
/** The entry of a crashed target disappears within this time, also if nothing else tells. */
const FORGET_AFTER_MS = 10_000;

/** Returns evidence without suspicions. */
export function createCrashEvidence(): CrashEvidence {
  return { suspicions: [] };
}

/** What became of a suspicion that was added. */
export interface AddedSuspicion {
  /** Whether no like attempt was suspected before. */
  readonly isNew: boolean;
  /** The suspicion that had to be dropped, or null. */
  readonly dropped: CrashSuspicion | null;
}

/** Adds a suspicion. */
export function suspect(
  evidence: CrashEvidence,
  attempt: CrashNote & Pick<CrashSuspicion, 'end' | 'endedAtMs'>,
): AddedSuspicion {
  const same = evidence.suspicions.findIndex((each) => isSame(each, attempt));
  // A caller that repeats its request at once must not push the first suspicion out.
  if (same !== -1) {
    evidence.suspicions = evidence.suspicions.map((each, index) =>
      index === same
        ? {
            ...each,
            lastEndedAtMs: attempt.endedAtMs,
            attempts: each.attempts + 1,
            wasReached: false,
          }
        : each,
    );
    return { isNew: false, dropped: null };
  }
  const suspicion = {
    ...attempt,
    lastEndedAtMs: attempt.endedAtMs,
    attempts: 1,
    wasReached: false,
  };
  evidence.suspicions = [...evidence.suspicions, suspicion];
  const isFull = evidence.suspicions.length > MAX_SUSPICIONS;
  return { isNew: true, dropped: isFull ? dropOne(evidence) : null };
}

function isSame(
  left: CrashNote & Pick<CrashSuspicion, 'end'>,
  right: CrashNote & Pick<CrashSuspicion, 'end'>,
): boolean {
  return left.target === right.target && left.content === right.content && left.end === right.end;
}

/** Drops the weakest suspicion: the oldest that was not broken off, or else the newest. */
function dropOne(evidence: CrashEvidence): CrashSuspicion | null {
  const { suspicions } = evidence;
  const weakest =
    suspicions.find(({ end }) => end !== AttemptEnd.Broken) ?? suspicions.at(-1) ?? null;
  evidence.suspicions = suspicions.filter((each) => each !== weakest);
  return weakest;
}

/** Records that a target accepted no connection at a time; returns the suspicions that this confirms. */
export function recordDown(
  evidence: CrashEvidence,
  target: string,
  asOfMs: number,
): readonly CrashSuspicion[] {
  return take(
    evidence,
    (each) => each.target === target && each.endedAtMs <= asOfMs && !each.wasReached,
  );
}

/** Records that a target accepted a connection at a time. */
export function recordReached(evidence: CrashEvidence, target: string, asOfMs: number): void {
  evidence.suspicions = evidence.suspicions.map((each) => {
    const sinceMs = asOfMs - each.lastEndedAtMs;
    // A request that was only given up may still be running, and another start of the target may
    // accept connections after a while.
    const isMeant = each.target === target && each.end === AttemptEnd.Broken;
    return isMeant && sinceMs >= 0 && sinceMs <= REACHED_WITHIN_MS
      ? { ...each, wasReached: true }
      : each;
  });
}

/**
 * Records that a target answered a request; returns the suspicions that this refutes. An answer to a
 * request that was sent before the suspicion may have been on its way when the target crashed.
 */
export function recordLife(
  evidence: CrashEvidence,
  target: string,
  sentAtMs: number,
): readonly CrashSuspicion[] {
  return takeOutlived(
    evidence,
    (each) => each.target === target && each.endedAtMs < sentAtMs,
    sentAtMs,
  );
}

/**
 * Takes the answers without a known end whose targets have sent something since: these answers were
 * complete.
 *
 * @param lastBytesAtMs - Time at which the last byte of a target was read.
 */
export function takeSurvivedAnswers(
  evidence: CrashEvidence,
  lastBytesAtMs: (target: string) => number,
  nowMs: number,
): readonly CrashSuspicion[] {
  const hasSentSince = sentSince(lastBytesAtMs);
  return takeOutlived(
    evidence,
    (each) =>
      each.end === AttemptEnd.Closed &&
      nowMs - each.endedAtMs >= CONFIRM_AFTER_MS &&
      hasSentSince(each),
    nowMs - CONFIRM_AFTER_MS,
  );
}

function sentSince(
  lastBytesAtMs: (target: string) => number,
): (suspicion: CrashSuspicion) => boolean {
  return ({ target, endedAtMs }) => lastBytesAtMs(target) > endedAtMs + IN_FLIGHT_MS;
}

/**
 * Decides the suspicions whose time is over.
 *
 * @param lastBytesAtMs - Time at which the last byte of a target was read.
 */
export function decideSuspicions(
  evidence: CrashEvidence,
  lastBytesAtMs: (target: string) => number,
  nowMs: number,
): DecidedSuspicions {
  const ageMs = ({ endedAtMs }: CrashSuspicion): number => nowMs - endedAtMs;
  const hasSentSince = sentSince(lastBytesAtMs);
  const isBroken = ({ end }: CrashSuspicion): boolean => end === AttemptEnd.Broken;
  const refuted = takeOutlived(
    evidence,
    (each) =>
      ageMs(each) >= FORGET_AFTER_MS ||
      (isBroken(each) && ageMs(each) >= CONFIRM_AFTER_MS && hasSentSince(each)),
    nowMs - CONFIRM_AFTER_MS,
  );
  const confirmed = take(
    evidence,
    (each) =>
      isBroken(each) &&
      ageMs(each) >= CONFIRM_AFTER_MS &&
      each.attempts >= CONFIRMING_BREAKS &&
      !hasSentSince(each),
  );
  return { confirmed, refuted };
}

/** Returns whether any suspicion since a time concerns a target. */
export function isSuspected(
  { suspicions }: CrashEvidence,
  target: string,
  sinceMs: number,
): boolean {
  return suspicions.some((each) => each.target === target && each.lastEndedAtMs >= sinceMs);
}

/**
 * Takes the suspicions that a target has outlived. Those whose last attempt was over later than
 * `outlivedAtMs` remain as suspicions of that attempt.
 */
function takeOutlived(
  evidence: CrashEvidence,
  isTaken: (suspicion: CrashSuspicion) => boolean,
  outlivedAtMs: number,
): readonly CrashSuspicion[] {
  const taken = take(evidence, isTaken);
  const renewed = taken.filter(({ lastEndedAtMs }) => lastEndedAtMs > outlivedAtMs);
  if (renewed.length > 0) {
    evidence.suspicions = [
      ...evidence.suspicions,
      ...renewed.map((each) => ({
        ...each,
        endedAtMs: each.lastEndedAtMs,
        attempts: 1,
        wasReached: false,
      })),
    ];
  }
  return taken.filter(({ lastEndedAtMs }) => lastEndedAtMs <= outlivedAtMs);
}

function take(
  evidence: CrashEvidence,
  isTaken: (suspicion: CrashSuspicion) => boolean,
): readonly CrashSuspicion[] {
  const taken = evidence.suspicions.filter(isTaken);
  if (taken.length > 0) {
    evidence.suspicions = evidence.suspicions.filter((each) => !isTaken(each));
  }
  return taken;
}
