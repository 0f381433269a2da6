/**
 * Bringing ends to the holders: the whole answer, or the news of a crash, is sent again until every
 * present holder has it. Only then are readers told the end, so that what a caller was told cannot
 * be replaced by another run's answer.
 */
import { RecordPhase } from '../model/outcome.js';
import { HostEffectKind, HostedPhase } from './host-types.js';
import type { HostedAttempt } from './host-types.js';
import { feedAll } from './host-streams.js';
import type { HostTurn } from './host-streams.js';
import { HolderCallKind, HolderReplyKind, StreamFailureReason } from './messages.js';
import type { HolderCall, HolderReply, StreamFailure } from './messages.js';
import type { Answer, AnswerEnding, RequestRecord } from './record.js';

/** The answer is whole: starts to bring it to the holders. */
export function commitAnswer(turn: HostTurn, hosted: HostedAttempt, ending: AnswerEnding): void {
  hosted.ending = ending;
  hosted.phase = HostedPhase.Committing;
  hosted.patienceUntilMs = turn.context.nowMs + turn.context.options.commitPatienceMs;
  const answer: Answer = {
    attemptId: hosted.attempt.id,
    attemptNumber: hosted.attempt.number,
    tokens: hosted.tokens.slice(),
    ending,
    committedForMs: null,
  };
  const { record } = hosted;
  hosted.holderCall = { kind: HolderCallKind.Finish, record, answer, failure: null };
  hosted.holdersUnderWay.clear();
  askHolders(turn, hosted);
  checkCommitted(turn, hosted);
}

/** The engine crashed under the attempt: brings the news to the record. */
export function commitCrash(turn: HostTurn, hosted: HostedAttempt): void {
  const crashedAttemptIds = [
    ...new Set([...hosted.record.crashedAttemptIds, hosted.attempt.id]),
  ].sort();
  hosted.record = { ...hosted.record, crashedAttemptIds };
  hosted.holderCall = { kind: HolderCallKind.Restore, record: hosted.record };
  hosted.holdersUnderWay.clear();
  askHolders(turn, hosted);
}

/**
 * Asks the holders that have not acknowledged. One that was reached and is silent is asked again only
 * when its repeat is due: a whole answer goes with each call, and the repeats would make it slower.
 */
export function askHolders(turn: HostTurn, hosted: HostedAttempt): void {
  const { nowMs, options, holdersOfKey } = turn.context;
  const { holderCall: call, holdersUnderWay } = hosted;
  if (call === null) return;
  hosted.holdersAskedAtMs = nowMs;
  const attemptId = hosted.attempt.id;
  for (const to of holdersOfKey(hosted.record.keyText)) {
    if (hosted.holderReplies.get(to)?.kind === HolderReplyKind.Done) continue;
    const askedAtMs = holdersUnderWay.get(to) ?? -Infinity;
    if (nowMs - askedAtMs < options.holderRepeatMs) continue;
    holdersUnderWay.set(to, nowMs);
    turn.out.push({ kind: HostEffectKind.CallHolder, to, attemptId, call });
  }
}

/**
 * Guards the commit. Failure: a holder's late reply to the finish counts for the mark that follows it;
 * it shows as an answer that was told and that gives way to another run's. The guard holds because an
 * acknowledged mark shows in the record that comes with the reply.
 */
function isReplyTo(call: HolderCall, reply: HolderReply): boolean {
  const isMark = call.kind === HolderCallKind.Restore && call.record.answer !== null;
  if (!isMark || reply.kind !== HolderReplyKind.Done) return true;
  return reply.record?.answer?.committedForMs !== null;
}

/** Takes a holder's reply. */
export function onHolderReply(
  turn: HostTurn,
  hosted: HostedAttempt,
  from: string,
  reply: HolderReply,
): void {
  const { holderCall } = hosted;
  if (holderCall === null || !isReplyTo(holderCall, reply)) return;
  hosted.holderReplies.set(from, reply);
  const otherAnswer = reply.record?.answer?.attemptId ?? hosted.attempt.id;
  const isRefused =
    reply.kind === HolderReplyKind.Standing ||
    reply.kind === HolderReplyKind.Conflict ||
    otherAnswer !== hosted.attempt.id;
  if (hosted.phase === HostedPhase.Committing && isRefused) {
    supersede(turn, hosted, reply);
    return;
  }
  checkCommitted(turn, hosted);
}

/** Goes on once every holder has acknowledged: first to the commit, then to telling the end. */
export function checkCommitted(turn: HostTurn, hosted: HostedAttempt): void {
  const { holderCall } = hosted;
  if (holderCall === null) return;
  const holders = turn.context.holdersOfKey(hosted.record.keyText);
  if (!turn.context.options.mayTellEnd(hosted.holderReplies, holders)) return;
  if (holderCall.kind === HolderCallKind.Finish && holderCall.answer !== null) {
    markCommitted(turn, hosted, holderCall.answer);
    return;
  }
  hosted.holderCall = null;
  hosted.expiresAtMs = turn.context.nowMs + turn.context.options.retentionMs;
  if (hosted.phase !== HostedPhase.Committing) return;
  hosted.phase = HostedPhase.Ended;
  feedAll(turn, hosted);
}

/**
 * Every holder has the answer: marks it as committed before anybody is told. Failure: an answer of
 * a run that was forgotten arrives late at one holder; it shows as a resend that gets that text
 * instead. The guard holds because an answer without the mark gives way to one with it.
 */
function markCommitted(turn: HostTurn, hosted: HostedAttempt, answer: Answer): void {
  const record: RequestRecord = {
    ...hosted.record,
    phase: RecordPhase.Answered,
    answer: { ...answer, committedForMs: 0 },
  };
  hosted.holderReplies.clear();
  hosted.holdersUnderWay.clear();
  hosted.holderCall = { kind: HolderCallKind.Restore, record };
  askHolders(turn, hosted);
  checkCommitted(turn, hosted);
}

/**
 * Hands readers the answer when the holders could not be brought to have it for long. Failure: the
 * link from here to one holder is cut one way, while membership reaches it through others; it shows
 * as a caller that waits for the end of a whole text. The entry, whose links are others, commits.
 */
export function handOver(turn: HostTurn, hosted: HostedAttempt): void {
  const { holderCall } = hosted;
  if (hosted.phase !== HostedPhase.Committing || holderCall === null) return;
  hosted.patienceUntilMs = turn.context.nowMs + turn.context.options.commitPatienceMs;
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

/** Another attempt, or another request with this key, stands at a holder. */
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
  feedAll(turn, hosted);
}
