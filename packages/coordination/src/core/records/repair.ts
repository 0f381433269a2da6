/**
 * Restores the second copy of records after members changed. Paced: a lost failure domain touches
 * every record at once, and the copies must not crowd out the requests. A member that is no longer
 * a holder keeps its copy until both present holders have acknowledged theirs.
 */
import { HolderCallKind, HolderReplyKind } from './messages.js';
import type { HolderCall, HolderReply } from './messages.js';
import { dropRecord, handleHolderCall, recordAt } from './holder.js';
import type { HolderOptions, HolderState } from './holder.js';
import { coversRecord } from './record.js';
import type { RequestRecord } from './record.js';

/** Pace of repair. */
export interface RepairOptions {
  /** Records sent in one tick. */
  readonly repairsPerTick: number;
  /** Wait before a copy that was not acknowledged is sent again. */
  readonly resendAfterMs: number;
  /** Time without a change of members before a copy that belongs elsewhere is dropped. */
  readonly handoverGraceMs: number;
}

/** A copy on its way. */
interface PendingRepair {
  readonly missing: Set<string>;
  readonly sentAtMs: number;
  /** The record as sent: one that changed since must be sent again before it may be dropped. */
  readonly sent: RequestRecord;
}

/** What is still to be restored. Bounded by the number of records held. */
export interface RepairState {
  queue: string[];
  readonly pending: Map<string, PendingRepair>;
  /** Keys that the present holders have acknowledged and whose copy here is kept for the grace. */
  readonly handedOver: Set<string>;
  changedAtMs: number;
}

/** A copy to send. */
export interface RepairSend {
  readonly to: string;
  readonly call: HolderCall;
}

/** A holder's answer to a copy that was sent. */
export interface RepairAnswer {
  readonly from: string;
  readonly keyText: string;
  readonly reply: HolderReply;
  readonly options: RepairOptions;
  readonly nowMs: number;
  /** Joins what the holder has into the copy here. */
  readonly restore: (copy: RequestRecord) => void;
}

/** Who should hold a key. */
export type HoldersOfKey = (keyText: string) => readonly string[];

/** A member's table with what its repair needs. */
export interface HolderPlace {
  readonly holder: HolderState;
  readonly repair: RepairState;
  readonly selfId: string;
  readonly holdersOfKey: HoldersOfKey;
}

/** Nothing to restore. */
export function createRepair(): RepairState {
  return { queue: [], pending: new Map(), handedOver: new Set(), changedAtMs: 0 };
}

/** Starts over after the members changed: every record is checked against its holders. */
export function scheduleRepair(repair: RepairState, holder: HolderState, nowMs: number): void {
  repair.changedAtMs = nowMs;
  repair.handedOver.clear();
  repair.pending.clear();
  repair.queue = [...holder.records.keys()];
}

/**
 * Answers a call, and queues what it brought for repair when its place is elsewhere. Failure: a
 * sidecar whose view is old commits an answer at members that are holders to it alone; they see no
 * change of members and would keep it for themselves; it shows as a told answer that is run anew.
 * The guard holds because what a member stores and should not hold is handed to those that should.
 */
export function handleHolderCallAt(
  place: HolderPlace,
  call: HolderCall,
  options: HolderOptions,
  nowMs: number,
): HolderReply {
  const { holder, repair, selfId, holdersOfKey } = place;
  const keyText = 'record' in call ? call.record.keyText : call.keyText;
  const before = holder.records.get(keyText)?.record;
  const reply = handleHolderCall(holder, call, options, nowMs);
  const after = holder.records.get(keyText)?.record;
  const isNews = after !== undefined && after !== before;
  if (isNews && !holdersOfKey(keyText).includes(selfId)) {
    repair.handedOver.delete(keyText);
    repair.queue.push(keyText);
  }
  return reply;
}

/** Sends the next copies, and again those that were not acknowledged in time. */
export function tickRepair(
  repair: RepairState,
  holder: HolderState,
  selfId: string,
  holdersOfKey: HoldersOfKey,
  options: RepairOptions,
  nowMs: number,
): readonly RepairSend[] {
  requeueUnanswered(repair, options, nowMs);
  if (isCalm(repair, options, nowMs)) {
    repair.queue.push(...repair.handedOver);
    repair.handedOver.clear();
  }
  const sends: RepairSend[] = [];
  for (const keyText of repair.queue.splice(0, options.repairsPerTick)) {
    const held = holder.records.get(keyText);
    if (held === undefined) continue;
    const others = holdersOfKey(keyText).filter((member) => member !== selfId);
    if (others.length === 0) continue;
    repair.pending.set(keyText, {
      missing: new Set(others),
      sentAtMs: nowMs,
      sent: held.record,
    });
    const call: HolderCall = { kind: HolderCallKind.Restore, record: recordAt(held, nowMs) };
    sends.push(...others.map((to) => ({ to, call })));
  }
  return sends;
}

/**
 * Takes a holder's acknowledgement; drops the copy here when its place is elsewhere now. Failure: an
 * acknowledgement of an older copy comes late and is taken for the newer one's; it shows as an
 * answer that was told and is then run anew. The guard holds because the reply shows what the
 * holder has, and that must cover what was sent.
 */
export function onRepairReply(
  repair: RepairState,
  holder: HolderState,
  selfId: string,
  holdersOfKey: HoldersOfKey,
  answer: RepairAnswer,
): void {
  const pending = repair.pending.get(answer.keyText);
  const copy = answer.reply.record;
  if (pending === undefined || copy === null) return;
  if (answer.reply.kind !== HolderReplyKind.Done) return;
  if (!coversRecord(copy, pending.sent)) {
    answer.restore(copy);
    return;
  }
  pending.missing.delete(answer.from);
  if (pending.missing.size > 0) return;
  repair.pending.delete(answer.keyText);
  if (holder.records.get(answer.keyText)?.record !== pending.sent) {
    repair.queue.push(answer.keyText);
    return;
  }
  const holders = holdersOfKey(answer.keyText);
  if (holders.length === 0 || holders.includes(selfId)) return;
  if (isCalm(repair, answer.options, answer.nowMs)) dropRecord(holder, answer.keyText);
  else repair.handedOver.add(answer.keyText);
}

/**
 * Guards a record between two members that each believe the other is its holder, since their views
 * differ after a change. Failure: each is acknowledged by the other and drops its copy; it shows as
 * a told answer that is run anew. The guard holds because by the end of the grace views agree.
 */
function isCalm(repair: RepairState, options: RepairOptions, nowMs: number): boolean {
  return nowMs - repair.changedAtMs >= options.handoverGraceMs;
}

function requeueUnanswered(repair: RepairState, options: RepairOptions, nowMs: number): void {
  for (const [keyText, pending] of repair.pending) {
    if (nowMs - pending.sentAtMs < options.resendAfterMs) continue;
    repair.pending.delete(keyText);
    repair.queue.push(keyText);
  }
}
