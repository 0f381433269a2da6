/**
 * Makes the holders agree: on one of two competing attempts, and on one committed answer before the
 * answer is sent to the caller.
 */

import { RunState } from '../model/outcome.js';
import { startNextStep } from './request-attempts.js';
import { closeStream, deliverAnswer } from './request-delivery.js';
import { settleLoneRun, sendRefusal } from './request-refusals.js';
import { beginRound } from './request-rounds.js';
import type { Turn } from './request-support.js';
import { LoneRunEnd, RequestPhase } from './request-types.js';
import { RECORDS_UNREACHABLE } from './failures.js';
import { HolderReplyKind, HolderCallKind } from './messages.js';
import type { HolderReply } from './messages.js';
import { currentAttempt } from './record.js';
import type { Answer, Attempt } from './record.js';

/**
 * Returns whether an answer may be replicated and delivered: it is committed, or no later attempt
 * may still be running. Without this check, an uncommitted answer of an earlier attempt found on
 * one holder would be copied to the others while a later attempt runs, and the caller reading the
 * later attempt would be cut off at the end of its text.
 */
export function isAnswerUsable(turn: Turn, answer: Answer): boolean {
  const { machine } = turn;
  const current = currentAttempt(machine.known);
  if (answer.committedForMs !== null || current === null) return true;
  return current.number <= answer.attemptNumber || machine.over.has(current.id);
}

/**
 * Resolves the conflict if some holders rejected the attempt because they have another one. Of two
 * attempts that are each recorded on some holder, the one with the smaller id wins. Only current
 * holders count, not the additional members of the round; otherwise an attempt could win over one
 * that all holders have recorded and that may be running.
 */
export function resolveNoteConflict(turn: Turn): void {
  const { machine } = turn;
  const { attempt, round } = machine;
  if (attempt === null || round === null) return;
  const holders = turn.context.holders();
  const replies = [...round.replies].map(([member, reply]) => ({ member, reply }));
  const competing = replies.flatMap(({ reply }) => findCompetingAttempts(reply, attempt));
  const isNotedSomewhere = replies.some(
    ({ member, reply }) => holders.includes(member) && reply.kind === HolderReplyKind.Done,
  );
  const winsTie =
    isNotedSomewhere &&
    competing.every((other) => other.number === attempt.number && attempt.id < other.id);
  const competitor = competing[0];
  if (machine.known.answer === null && winsTie && competitor !== undefined) {
    const { known } = machine;
    beginRound(turn, {
      kind: HolderCallKind.Note,
      record: { ...known, attempts: known.attempts.filter((other) => other.id !== attempt.id) },
      attempt,
      previousId: competitor.id,
    });
    return;
  }
  abandonForCompeting(turn, attempt);
}

/** Returns the latest attempt of the record that a holder replied with, if it is not `attempt`. */
export function findCompetingAttempts(reply: HolderReply, attempt: Attempt): readonly Attempt[] {
  if (reply.kind !== HolderReplyKind.Standing || reply.record === null) return [];
  const current = currentAttempt(reply.record);
  return current === null || current.id === attempt.id ? [] : [current];
}

/** Abandons an attempt that was never dispatched, and continues with the one the holders have. */
export function abandonForCompeting(turn: Turn, attempt: Attempt): void {
  const { machine } = turn;
  machine.neverRan.add(attempt.id);
  machine.over.add(attempt.id);
  settleLoneRun(turn, attempt, LoneRunEnd.Aborted);
  machine.attempt = null;
  const attempts = machine.known.attempts.filter((other) => other.id !== attempt.id);
  machine.known = { ...machine.known, attempts };
  startNextStep(turn);
}

/**
 * Stores a known answer on every holder, then marks it as committed on every holder, then delivers
 * it. If a holder replies with a different answer, the merged answer is tried in another round.
 */
export function reconcileAnswer(turn: Turn, answer: Answer): void {
  const { machine, context } = turn;
  closeStream(turn);
  const agreeing = repliesWithAnswer(turn, (held) => held.attemptId === answer.attemptId);
  const agreed = context.options.mayDeliverAnswer(agreeing, context.holders());
  const committed = repliesWithAnswer(
    turn,
    (held) => held.attemptId === answer.attemptId && held.committedForMs !== null,
  );
  if (agreed && context.options.mayDeliverAnswer(committed, context.holders())) {
    deliverAnswer(turn, answer);
    return;
  }
  machine.phase = RequestPhase.Reconciling;
  machine.reconcileCount += 1;
  if (machine.reconcileCount > context.options.maxHolderWaits) {
    machine.pendingFailure = RECORDS_UNREACHABLE.of({ service: machine.request.service });
    machine.pendingRetryAfterMs = context.options.retryAfterMs;
    return sendRefusal(turn, RunState.Ran);
  }
  if (agreed) machine.known = { ...machine.known, answer: { ...answer, committedForMs: 0 } };
  beginRound(turn, { kind: HolderCallKind.Restore, record: machine.known });
}

/** Returns the replies whose record has an answer that satisfies `matchesAnswer`, each as done. */
export function repliesWithAnswer(
  turn: Turn,
  matchesAnswer: (answer: Answer) => boolean,
): ReadonlyMap<string, HolderReply> {
  const matchingReplies = new Map<string, HolderReply>();
  for (const [member, reply] of turn.machine.round?.replies ?? []) {
    const answer = reply.record?.answer ?? null;
    if (answer !== null && matchesAnswer(answer)) {
      matchingReplies.set(member, { ...reply, kind: HolderReplyKind.Done });
    }
  }
  return matchingReplies;
}
