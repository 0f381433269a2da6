/**
 * Decides from how attempts end whether their target has crashed. A crashed process closes its
 * connections, but so do targets that only lose an answer. Each broken connection is a suspicion
 * until something tells: the target accepts no connection, it answers a later request, or it sends
 * nothing for a while.
 */
import type { CrashNote } from './crash-memory.js';

/** An attempt during which the target may have crashed. */
export interface CrashSuspicion extends CrashNote {
  /** When the connection broke. */
  readonly endedAtMs: number;
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

/** Most suspicions kept; the oldest are dropped first. The crash of a full engine causes sixty. */
const MAX_SUSPICIONS = 1024;
/** A target whose connection broke has crashed if it sends nothing for this long. */
const CONFIRM_AFTER_MS = 1000;
/**
 * Bytes that are read this soon after a break were on their way when the target crashed, and are no
 * sign of life.
 */
const IN_FLIGHT_MS = 300;

/** Returns evidence without suspicions. */
export function createCrashEvidence(): CrashEvidence {
  return { suspicions: [] };
}

/** Adds a suspicion. Returns the suspicion that had to be dropped, or null. */
export function suspect(evidence: CrashEvidence, suspicion: CrashSuspicion): CrashSuspicion | null {
  const suspicions = [...evidence.suspicions, suspicion];
  const dropped = suspicions.length > MAX_SUSPICIONS ? (suspicions.shift() ?? null) : null;
  evidence.suspicions = suspicions;
  return dropped;
}

/** Records that a target accepted no connection at a time; returns the suspicions that this confirms. */
export function recordDown(
  evidence: CrashEvidence,
  target: string,
  asOfMs: number,
): readonly CrashSuspicion[] {
  return take(evidence, (each) => each.target === target && each.endedAtMs <= asOfMs);
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
  return take(evidence, (each) => each.target === target && each.endedAtMs < sentAtMs);
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
  const due = take(evidence, ({ endedAtMs }) => nowMs - endedAtMs >= CONFIRM_AFTER_MS);
  const hasCrashed = ({ target, endedAtMs }: CrashSuspicion): boolean =>
    lastBytesAtMs(target) <= endedAtMs + IN_FLIGHT_MS;
  return {
    confirmed: due.filter(hasCrashed),
    refuted: due.filter((each) => !hasCrashed(each)),
  };
}

/** Returns whether any suspicion since a time concerns a target. */
export function isSuspected(
  { suspicions }: CrashEvidence,
  target: string,
  sinceMs: number,
): boolean {
  return suspicions.some((each) => each.target === target && each.endedAtMs >= sinceMs);
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
