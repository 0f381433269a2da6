/**
 * Commits results to the holders. The complete answer, or the report of a crash, is resent until
 * every current holder has acknowledged it. The end of an answer is sent to readers only then,
 * because the answer of another run could otherwise replace the one that a caller received.
 */
import { RecordPhase } from '../model/outcome.js';
import { HostEffectKind, HostedPhase } from './host-types.js';
import type { HostedAttempt } from './host-types.js';
import { sendToAllReaders } from './host-streams.js';
import type { HostTurn } from './host-streams.js';
import { HolderCallKind, HolderReplyKind, StreamFailureReason } from './messages.js';
import type { HolderCall, HolderReply, StreamFailure } from './messages.js';
import type { Answer, AnswerEnding, RequestRecord } from './record.js';

/** Starts to store a complete answer at the holders. */
export function commitAnswer(turn: HostTurn, hosted: HostedAttempt, ending: AnswerEnding): void {
  hosted.ending = ending;
  hosted.phase = HostedPhase.Committing;
  hosted.delegateCommitAtMs = turn.context.nowMs + turn.context.options.commitTimeoutMs;
  const answer: Answer = {
    attemptId: hosted.attempt.id,
    attemptNumber: hosted.attempt.number,
    tokens: hosted.tokens.slice(),
    ending,
    committedForMs: null,
  };
  const { record } = hosted;
  hosted.holderCall = { kind: HolderCallKind.Finish, record, answer, failure: null };
  hosted.holderCallsInFlight.clear();
  callHolders(turn, hosted);
  checkCommitted(turn, hosted);
}

/** Stores at the holders that the engine crashed during the attempt. */
export function commitCrash(turn: HostTurn, hosted: HostedAttempt): void {
  const crashedAttemptIds = [
    ...new Set([...hosted.record.crashedAttemptIds, hosted.attempt.id]),
  ].sort();
  hosted.record = { ...hosted.record, crashedAttemptIds };
  hosted.holderCall = { kind: HolderCallKind.Restore, record: hosted.record };
  hosted.holderCallsInFlight.clear();
  callHolders(turn, hosted);
}

/**
 * Calls the holders that have not acknowledged. A holder that may still reply is called again only
 * after `holderRepeatMs`: each call carries a whole answer, and repeats would slow the holder down
 * further.
 */
export function callHolders(turn: HostTurn, hosted: HostedAttempt): void {
  const { nowMs, options, holdersOfKey } = turn.context;
  const { holderCall: call, holderCallsInFlight } = hosted;
  if (call === null) return;
  hosted.holdersCalledAtMs = nowMs;
  const attemptId = hosted.attempt.id;
  for (const to of holdersOfKey(hosted.record.keyText)) {
    if (hosted.holderReplies.get(to)?.kind === HolderReplyKind.Done) continue;
    const calledAtMs = holderCallsInFlight.get(to) ?? -Infinity;
    if (nowMs - calledAtMs < options.holderRepeatMs) continue;
    holderCallsInFlight.set(to, nowMs);
    turn.out.push({ kind: HostEffectKind.CallHolder, to, attemptId, call });
  }
}

/**
 * Returns whether a reply may belong to the current call. A late reply to the finish must not count
 * as an acknowledgement of the commit mark that follows it, or the end is reported while no holder
 * has the mark, and the answer of another run may replace it. The two are distinguished by the
 * record in the reply, which contains the mark once the holder has stored it.
 */
function isReplyTo(call: HolderCall, reply: HolderReply): boolean {
  const isCommitMark = call.kind === HolderCallKind.Restore && call.record.answer !== null;
  if (!isCommitMark || reply.kind !== HolderReplyKind.Done) return true;
  return reply.record?.answer?.committedForMs !== null;
}

/** Handles the reply of a holder. */
export function onHolderReply(
  turn: HostTurn,
  hosted: HostedAttempt,
  from: string,
  reply: HolderReply,
): void {
  const { holderCall } = hosted;
  if (holderCall === null || !isReplyTo(holderCall, reply)) return;
  hosted.holderReplies.set(from, reply);
  const storedAnswerId = reply.record?.answer?.attemptId ?? hosted.attempt.id;
  const isRefused =
    reply.kind === HolderReplyKind.Standing ||
    reply.kind === HolderReplyKind.Conflict ||
    storedAnswerId !== hosted.attempt.id;
  if (hosted.phase === HostedPhase.Committing && isRefused) {
    supersede(turn, hosted, reply);
    return;
  }
  checkCommitted(turn, hosted);
}

/**
 * Advances a commit once every holder has acknowledged the current call: the commit mark follows
 * the answer, and the end of the stream follows the mark.
 */
export function checkCommitted(turn: HostTurn, hosted: HostedAttempt): void {
  const { holderCall } = hosted;
  if (holderCall === null) return;
  const holders = turn.context.holdersOfKey(hosted.record.keyText);
  if (!turn.context.options.mayReportEnd(hosted.holderReplies, holders)) return;
  if (holderCall.kind === HolderCallKind.Finish && holderCall.answer !== null) {
    markCommitted(turn, hosted, holderCall.answer);
    return;
  }
  hosted.holderCall = null;
  hosted.expiresAtMs = turn.context.nowMs + turn.context.options.retentionMs;
  if (hosted.phase !== HostedPhase.Committing) return;
  hosted.phase = HostedPhase.Ended;
  sendToAllReaders(turn, hosted);
}

/**
 * Marks an answer that every holder has as committed, before its end is reported. An answer without
 * the mark is replaced by one with it. Without the mark, the late answer of a run whose record was
 * lost could replace this one at a holder, and a retry would return that text instead.
 */
function markCommitted(turn: HostTurn, hosted: HostedAttempt, answer: Answer): void {
  const record: RequestRecord = {
    ...hosted.record,
    phase: RecordPhase.Answered,
    answer: { ...answer, committedForMs: 0 },
  };
  hosted.holderReplies.clear();
  hosted.holderCallsInFlight.clear();
  hosted.holderCall = { kind: HolderCallKind.Restore, record };
  callHolders(turn, hosted);
  checkCommitted(turn, hosted);
}

/**
 * Ends the streams of the readers with the record of an answer that could not be committed from
 * here in time, so that the entry commits it over its own links. Without this, a caller that has
 * the whole text would wait for its end while the link to one holder is cut in one direction: the
 * membership protocol still reaches that holder through other members and reports it as alive.
 */
export function delegateCommit(turn: HostTurn, hosted: HostedAttempt): void {
  const { holderCall } = hosted;
  if (hosted.phase !== HostedPhase.Committing || holderCall === null) return;
  hosted.delegateCommitAtMs = turn.context.nowMs + turn.context.options.commitTimeoutMs;
  const record = recordOfCall(holderCall);
  for (const attachId of hosted.attachments.keys()) {
    const failure: StreamFailure = {
      reason: StreamFailureReason.Superseded,
      mayHaveRun: true,
      record,
      retryAfterMs: 0,
    };
    turn.out.push({ kind: HostEffectKind.FailStream, attachId, failure });
  }
  hosted.attachments.clear();
}

function recordOfCall(call: HolderCall): RequestRecord | null {
  if (call.kind !== HolderCallKind.Finish) return 'record' in call ? call.record : null;
  return { ...call.record, answer: call.answer, phase: RecordPhase.Answered };
}

/** Fails an attempt because a holder has another attempt, or another request, for its key. */
function supersede(turn: HostTurn, hosted: HostedAttempt, reply: HolderReply): void {
  hosted.holderCall = null;
  hosted.phase = HostedPhase.Failed;
  hosted.failure = {
    reason: StreamFailureReason.Superseded,
    mayHaveRun: true,
    record: reply.record,
    retryAfterMs: 0,
  };
  hosted.expiresAtMs = turn.context.nowMs + turn.context.options.retentionMs;
  sendToAllReaders(turn, hosted);
}
