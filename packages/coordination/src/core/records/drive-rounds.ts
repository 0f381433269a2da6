/**
 * Rounds of the request machine: one question put to every present holder until all have answered.
 * Calls are idempotent, so an unanswered holder is simply asked again; when the members change, the
 * round goes on with the new holders.
 */
import { DriveEffectKind } from './drive-messages.js';
import { DriveTimer } from './drive-types.js';
import { nextId, setTimer } from './drive-support.js';
import type { Turn } from './drive-support.js';
import { HolderCallKind, HolderReplyKind } from './messages.js';
import type { HolderCall, HolderReply } from './messages.js';
import { joinRecords } from './record.js';

/** Asks all present holders. */
export function beginRound(turn: Turn, call: HolderCall): void {
  turn.drive.round = {
    id: nextId(turn.drive),
    call,
    replies: new Map(),
    underWay: new Set(),
    young: new Set(),
  };
  turn.drive.roundsWaited = 0;
  askMissing(turn);
  setTimer(turn, DriveTimer.Holders, turn.context.options.holderTimeoutMs);
}

/**
 * Asks those present holders that have neither answered nor been asked. Failure guarded against: a
 * holder that is slow is asked again and again, and the repeats make it slower; it shows as calls that
 * outnumber the requests by hundreds to one, while nobody's request is recorded. The guard holds
 * because a question that is under way is put again only when its repeat is due. A holder that stood
 * still for 4 s under two fifths of its load was asked 19,215 times for 200 requests without it, and
 * less than 600 times with it (virtual time).
 */
export function askMissing(turn: Turn): void {
  const { round } = turn.drive;
  if (round === null) return;
  for (const to of roundTargets(turn)) {
    if (round.replies.has(to) || round.underWay.has(to)) continue;
    round.underWay.add(to);
    turn.out.push({ kind: DriveEffectKind.CallHolder, to, roundId: round.id, call: round.call });
  }
}

/** A wait is over: asks whom it could not reach, and now and then who is silent; false at the end. */
export function waitOn(turn: Turn): boolean {
  const { drive, context } = turn;
  const { holderRounds, holderRepeatRounds, holderTimeoutMs } = context.options;
  drive.roundsWaited += 1;
  if (drive.round === null || drive.roundsWaited >= holderRounds) return false;
  if (drive.roundsWaited % holderRepeatRounds === 0) drive.round.underWay.clear();
  askMissing(turn);
  setTimer(turn, DriveTimer.Holders, holderTimeoutMs);
  return true;
}

/** A holder that could not be reached is asked again when the wait is over. */
export function takeFailure(turn: Turn, roundId: number, from: string): void {
  const { round } = turn.drive;
  if (round?.id === roundId) round.underWay.delete(from);
}

/** Young holders in whose place others are asked too; more are a fleet that has just started. */
const MAX_YOUNG = 4;

/**
 * Members that a round asks: the present holders and, for a new record or attempt, those that held
 * the key before members came that have not been up for long. Failure: both holders are replaced, and a
 * resend finds them empty while a third member still has the record; it shows as a second run and
 * another text. The guard holds because whoever held the record without the new members is asked.
 */
export function roundTargets(turn: Turn): readonly string[] {
  const { round } = turn.drive;
  const holders = turn.context.holders();
  if (round === null || round.young.size === 0) return holders;
  return [...new Set([...holders, ...turn.context.holders(round.young)])];
}

function noteYoung(turn: Turn, from: string, reply: HolderReply): void {
  const { round } = turn.drive;
  if (round === null || round.young.size >= MAX_YOUNG) return;
  const { kind } = round.call;
  if (kind !== HolderCallKind.Create && kind !== HolderCallKind.Note) return;
  if (reply.upForMs >= turn.context.options.settleMs || round.young.has(from)) return;
  round.young.add(from);
  askMissing(turn);
}

/** Takes one reply; returns whether it belongs to the present round. */
export function takeReply(turn: Turn, roundId: number, from: string, reply: HolderReply): boolean {
  const { drive } = turn;
  if (drive.round?.id !== roundId) return false;
  drive.round.replies.set(from, reply);
  noteYoung(turn, from, reply);
  const isSameBody = reply.record?.bodyHash === drive.request.bodyHash;
  if (reply.record !== null && isSameBody) drive.known = joinRecords(drive.known, reply.record);
  return true;
}

/** Whether every present holder has answered, in whatever way. */
export function roundIsComplete(turn: Turn): boolean {
  const { round } = turn.drive;
  const holders = roundTargets(turn);
  return round !== null && holders.length > 0 && holders.every((id) => round.replies.has(id));
}

/**
 * What a refusal's event says of the round that was under way: its step, how long it has waited, and
 * the holders whose reply is missing. They tell a holder that is silent from one that is slow.
 */
export function roundFigures(turn: Turn): Readonly<Record<string, number | string>> {
  const { drive, context } = turn;
  const { round, phase, roundsWaited } = drive;
  if (round === null) return { phase };
  const missing = roundTargets(turn).filter((id) => !round.replies.has(id));
  const dead = missing.filter((id) => !context.isLive(id));
  if (missing.length === 0) return { phase };
  return { phase, roundsWaited, missing: missing.join(' '), missingDead: dead.length };
}

/** Whether some reply of the round is of this kind. */
export function someReply(turn: Turn, kind: HolderReplyKind): boolean {
  const replies = turn.drive.round?.replies.values() ?? [];
  return [...replies].some((reply) => reply.kind === kind);
}

/**
 * Guards acceptance, dispatch and the telling of an answer. Failure: one holder dies and the other
 * never had the record; it shows as a resend that runs anew and gets another text. The guard holds
 * because each present holder has acknowledged before the step is taken.
 */
export function allHoldersDone(
  replies: ReadonlyMap<string, HolderReply>,
  holders: readonly string[],
): boolean {
  if (holders.length === 0) return false;
  return holders.every((id) => replies.get(id)?.kind === HolderReplyKind.Done);
}
