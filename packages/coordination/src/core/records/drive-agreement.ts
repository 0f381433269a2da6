/**
 * Agreement of the holders: which of two attempts goes on, and one committed answer before it is told.
 */

import { RunState } from '../model/outcome.js';
import { decide } from './drive-attempts.js';
import { closeStream, deliverAnswer } from './drive-delivery.js';
import { settleLoneRun, tellRefusal } from './drive-refusals.js';
import { beginRound } from './drive-rounds.js';
import type { Turn } from './drive-support.js';
import { LoneRunEnd, DrivePhase } from './drive-types.js';
import { RECORDS_UNREACHABLE } from './failures.js';
import { HolderReplyKind, HolderCallKind } from './messages.js';
import type { HolderReply } from './messages.js';
import { currentAttempt } from './record.js';
import type { Answer, Attempt } from './record.js';

/**
 * Guards the reader of a later attempt. Failure: an earlier attempt's answer, not committed, is
 * found at one holder and carried to the others while the later attempt runs; it shows as a caller
 * that is cut at the end of a whole text. The guard holds because such an answer is left alone as
 * long as the later attempt may come to its end.
 */
export function answerStands(turn: Turn, answer: Answer): boolean {
  const { drive } = turn;
  const current = currentAttempt(drive.known);
  if (answer.committedForMs !== null || current === null) return true;
  return current.number <= answer.attemptNumber || drive.over.has(current.id);
}

/**
 * A note was not taken by all holders since another attempt stands there. Of two attempts that each
 * have some holder the smaller id wins; only a present holder counts, and no member that is asked
 * beside the holders, or an attempt would win over one that all holders have and that may run.
 */
export function resolveNote(turn: Turn): void {
  const { drive } = turn;
  const { attempt, round } = drive;
  if (attempt === null || round === null) return;
  const holders = turn.context.holders();
  const replies = [...round.replies].map(([member, reply]) => ({ member, reply }));
  const rivals = replies.flatMap(({ reply }) => standingRival(reply, attempt));
  const isNotedSomewhere = replies.some(
    ({ member, reply }) => holders.includes(member) && reply.kind === HolderReplyKind.Done,
  );
  const winsTie =
    isNotedSomewhere &&
    rivals.every((rival) => rival.number === attempt.number && attempt.id < rival.id);
  const rival = rivals[0];
  if (drive.known.answer === null && winsTie && rival !== undefined) {
    const { known } = drive;
    beginRound(turn, {
      kind: HolderCallKind.Note,
      record: { ...known, attempts: known.attempts.filter((other) => other.id !== attempt.id) },
      attempt,
      previousId: rival.id,
    });
    return;
  }
  yieldToStanding(turn, attempt);
}

export function standingRival(reply: HolderReply, attempt: Attempt): readonly Attempt[] {
  if (reply.kind !== HolderReplyKind.Standing || reply.record === null) return [];
  const current = currentAttempt(reply.record);
  return current === null || current.id === attempt.id ? [] : [current];
}

export function yieldToStanding(turn: Turn, attempt: Attempt): void {
  const { drive } = turn;
  drive.neverRan.add(attempt.id);
  drive.over.add(attempt.id);
  settleLoneRun(turn, attempt, LoneRunEnd.Aborted);
  drive.attempt = null;
  const attempts = drive.known.attempts.filter((other) => other.id !== attempt.id);
  drive.known = { ...drive.known, attempts };
  decide(turn);
}

/**
 * An answer is known: makes every holder have it, then have it as committed, then tells it. Holders
 * that know another answer bring it in with their replies, and the joined one is tried again.
 */
export function reconcile(turn: Turn, answer: Answer): void {
  const { drive, context } = turn;
  closeStream(turn);
  const agreeing = repliesWith(turn, (held) => held.attemptId === answer.attemptId);
  const agreed = context.options.mayTellAnswer(agreeing, context.holders());
  const committed = repliesWith(
    turn,
    (held) => held.attemptId === answer.attemptId && held.committedForMs !== null,
  );
  if (agreed && context.options.mayTellAnswer(committed, context.holders())) {
    deliverAnswer(turn, answer);
    return;
  }
  drive.phase = DrivePhase.Reconciling;
  drive.reconcileCount += 1;
  if (drive.reconcileCount > context.options.holderRounds) {
    drive.pendingFailure = RECORDS_UNREACHABLE.of({ service: drive.request.service });
    drive.pendingRetryAfterMs = context.options.retryAfterMs;
    return tellRefusal(turn, RunState.Ran);
  }
  if (agreed) drive.known = { ...drive.known, answer: { ...answer, committedForMs: 0 } };
  beginRound(turn, { kind: HolderCallKind.Restore, record: drive.known });
}

export function repliesWith(
  turn: Turn,
  holdsAnswer: (answer: Answer) => boolean,
): ReadonlyMap<string, HolderReply> {
  const found = new Map<string, HolderReply>();
  for (const [member, reply] of turn.drive.round?.replies ?? []) {
    const answer = reply.record?.answer ?? null;
    if (answer !== null && holdsAnswer(answer)) {
      found.set(member, { ...reply, kind: HolderReplyKind.Done });
    }
  }
  return found;
}
