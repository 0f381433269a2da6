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
  turn.drive.round = { id: nextId(turn.drive), call, replies: new Map(), young: new Set() };
  turn.drive.roundsAsked = 0;
  askMissing(turn);
}

/** Asks those present holders that have not answered yet. */
export function askMissing(turn: Turn): void {
  const { round } = turn.drive;
  if (round === null) return;
  turn.drive.roundsAsked += 1;
  for (const to of roundTargets(turn)) {
    if (round.replies.has(to)) continue;
    turn.out.push({ kind: DriveEffectKind.CallHolder, to, roundId: round.id, call: round.call });
  }
  setTimer(turn, DriveTimer.Holders, turn.context.options.holderTimeoutMs);
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
 * What a refusal's event says of the round that was under way: its step, how often it was put, and
 * the holders whose reply is missing. They tell a holder that is silent from one that is slow.
 */
export function roundFigures(turn: Turn): Readonly<Record<string, number | string>> {
  const { drive, context } = turn;
  const { round, phase, roundsAsked } = drive;
  if (round === null) return { phase };
  const missing = roundTargets(turn).filter((id) => !round.replies.has(id));
  const dead = missing.filter((id) => !context.isLive(id));
  if (missing.length === 0) return { phase };
  return { phase, roundsAsked, missing: missing.join(' '), missingDead: dead.length };
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
