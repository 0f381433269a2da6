/**
 * The membership machine: SWIM with suspicion and refutation, sized so that a member costs the
 * same at 14 and at 1,140 members. Its process feeds it datagrams, page answers and wake-ups, and
 * performs the effects. See docs/design/membership.md for the ways weighed and the arithmetic.
 */
import { MemberState } from '../model/member.js';
import type { MembershipContext, MembershipEffect } from './effects.js';
import { MembershipEffectKind } from './effects.js';
import type { Hints, MemberNews, MembershipMessage } from './messages.js';
import { MembershipMethod } from './messages.js';
import { doubtDomains, endDoubt } from './doubting.js';
import { farewell, pushNews } from './gossiping.js';
import { newsIsEmpty } from './news-queue.js';
import {
  continueProbe,
  endRelayedProbes,
  inContactSince,
  newsFor,
  noteContact,
  ping,
  probeAnswered,
  relayProbe,
  startProbe,
} from './probing.js';
import type { MemberRecord, MembershipState } from './state.js';
import { continueSync, syncWakeAtMs } from './syncing.js';
import { LAST_CALL_MS, Spread, applyNews, changeSelf, forget, newsOf } from './view.js';

/** A partition that was seen to heal is probed across at full rate for this long. */
const HEALING_MS = 60_000;

/**
 * Failure guarded against: a process that stood still wakes up, finds all its timers overdue and
 * takes everybody for dead. It shows as a wake-up much later than asked for. The probe under way is
 * dropped without a verdict, and suspects get the lost time back.
 */
function noticePause(state: MembershipState, nowMs: number): void {
  const latenessMs = nowMs - state.wakeAtMs;
  if (latenessMs <= state.options.guards.pauseThresholdMs) return;
  state.probe = null;
  state.relayed.clear();
  for (const id of state.suspects) {
    const record = state.records.get(id);
    if (record === undefined) continue;
    // What it has to say may wait behind this wake-up: time for a last call is left in any case.
    const extendedMs = record.suspectDeadlineMs + latenessMs;
    record.suspectDeadlineMs = Math.max(extendedMs, nowMs + LAST_CALL_MS);
    record.lastCallAtMs = nowMs;
  }
  state.wakeAtMs = nowMs;
}

/**
 * Failure guarded against: a process that is cut off, or was paused and got old news, condemns a
 * member that it cannot ask. It shows as a gap in the answers to its own probes since the last call,
 * which a suspect that lives would have answered as well; it is then called again.
 */
function waitsForContact(
  state: MembershipState,
  record: MemberRecord,
  context: MembershipContext,
): boolean {
  if (!state.options.guards.silenceIsOwnFault) return false;
  const lastCallMs = record.suspectDeadlineMs - LAST_CALL_MS;
  if (inContactSince(state, lastCallMs, context.nowMs)) return false;
  record.lastCallAtMs = context.nowMs;
  record.suspectDeadlineMs = context.nowMs + LAST_CALL_MS;
  return true;
}

/** The reason of a death that this member concluded itself. */
export const NOT_CONTRADICTED = 'suspicion not contradicted';

function declareDead(state: MembershipState, context: MembershipContext): MembershipEffect[] {
  const effects: MembershipEffect[] = [];
  for (const id of [...state.suspects]) {
    const record = state.records.get(id);
    if (record === undefined || record.stateBeforeSilence !== null) continue;
    if (context.nowMs < record.suspectDeadlineMs) continue;
    if (waitsForContact(state, record, context)) continue;
    const { incarnation } = record.member;
    const news = { id, state: MemberState.Dead, incarnation, details: null };
    // Everybody who heard of the suspicion runs the same timer: the verdict needs no spreading.
    effects.push(...applyNews(state, news, Spread.Keep, NOT_CONTRADICTED, context));
  }
  return effects;
}

/** Time between two last calls to any suspects, 110 bytes each. */
const LAST_CALL_PACE_MS = 200;

/**
 * Asks suspects themselves before their time is over. Failure guarded against: with many datagrams
 * lost, one member hears of the suspicion and misses the contradiction, and alone declares a living
 * member dead. The call carries the suspicion, so its answer carries the contradiction.
 */
function lastCalls(state: MembershipState, context: MembershipContext): MembershipEffect[] {
  const effects: MembershipEffect[] = [];
  for (const id of state.suspects) {
    const record = state.records.get(id);
    if (record === undefined || record.stateBeforeSilence !== null) continue;
    if (context.nowMs < record.lastCallAtMs || context.nowMs < state.nextLastCallMs) continue;
    record.lastCallAtMs += LAST_CALL_MS / 2;
    state.nextLastCallMs = context.nowMs + LAST_CALL_PACE_MS;
    state.sequence += 1;
    effects.push(ping(state, id, state.sequence, context));
  }
  return effects;
}

function forgetLongDead(state: MembershipState, nowMs: number): void {
  for (const id of [...state.dead]) {
    const record = state.records.get(id);
    if (record !== undefined && nowMs - record.changedAtMs >= state.options.deadRetentionMs) {
      forget(state, id);
    }
  }
}

/** Probes one remembered dead member, so that parted halves find each other again. */
function probeOneDead(state: MembershipState, context: MembershipContext): MembershipEffect[] {
  if (context.nowMs < state.timers.deadProbeAtMs) return [];
  const healing = context.nowMs < state.healingUntilMs;
  const { probeIntervalMs, deadProbeIntervalMs, guards } = state.options;
  const intervalMs = healing ? probeIntervalMs : deadProbeIntervalMs;
  state.timers.deadProbeAtMs = context.nowMs + intervalMs * (0.5 + context.random());
  forgetLongDead(state, context.nowMs);
  if (state.dead.size === 0 || !guards.probesDead) return [];
  const dead = [...state.dead];
  const id = dead[Math.floor(context.random() * dead.length)] ?? '';
  state.sequence += 1;
  return [ping(state, id, state.sequence, context)];
}

function earliestDeadline(state: MembershipState): number {
  let earliestMs = Infinity;
  for (const id of state.suspects) {
    const record = state.records.get(id);
    if (record === undefined || record.stateBeforeSilence !== null) continue;
    const lastCallMs = Math.max(record.lastCallAtMs, state.nextLastCallMs);
    earliestMs = Math.min(earliestMs, record.suspectDeadlineMs, lastCallMs);
  }
  for (const relayed of state.relayed.values()) earliestMs = Math.min(earliestMs, relayed.endsAtMs);
  return earliestMs;
}

/** When the machine wants its next {@link tickMembership}; wakes at any other time do no harm. */
export function membershipWakeAtMs(state: MembershipState): number {
  const { probe, timers } = state;
  const probeWakeMs = probe === null ? timers.probeAtMs : (probe.indirectAtMs ?? probe.endsAtMs);
  const gossipWakeMs = newsIsEmpty(state.news) ? Infinity : timers.gossipAtMs;
  return Math.min(
    probeWakeMs,
    gossipWakeMs,
    timers.deadProbeAtMs,
    syncWakeAtMs(state),
    earliestDeadline(state),
  );
}

function step(
  state: MembershipState,
  context: MembershipContext,
  act: () => MembershipEffect[],
): MembershipEffect[] {
  noticePause(state, context.nowMs);
  const effects = act();
  state.wakeAtMs = Math.max(context.nowMs, membershipWakeAtMs(state));
  return effects;
}

function nextProbe(state: MembershipState, context: MembershipContext): MembershipEffect[] {
  if (state.probe !== null || context.nowMs < state.timers.probeAtMs) return [];
  state.timers.probeAtMs = context.nowMs + state.options.probeIntervalMs;
  return startProbe(state, context);
}

/** Does whatever is due. */
export function tickMembership(
  state: MembershipState,
  context: MembershipContext,
): MembershipEffect[] {
  if (state.self.state === MemberState.Dead) return [];
  return step(state, context, () => [
    ...continueProbe(state, context),
    ...nextProbe(state, context),
    ...endRelayedProbes(state, context),
    ...lastCalls(state, context),
    ...declareDead(state, context),
    ...doubtDomains(state, context),
    ...continueSync(state, context),
    ...probeOneDead(state, context),
    ...pushNews(state, context),
  ]);
}

function noteReturn(state: MembershipState, from: string, context: MembershipContext): void {
  if (!state.dead.has(from)) return;
  state.returnedPeer ??= from;
  state.healingUntilMs = context.nowMs + HEALING_MS;
  state.timers.deadProbeAtMs = Math.min(
    state.timers.deadProbeAtMs,
    context.nowMs + state.options.probeIntervalMs * context.random(),
  );
  state.timers.syncAtMs = Math.min(
    state.timers.syncAtMs,
    context.nowMs + state.options.syncPageIntervalMs * (1 + context.random()),
  );
}

function hintsHeard(from: string, hints: Hints, askedAtMs: number | null): MembershipEffect[] {
  if (hints.length === 0) return [];
  return [{ kind: MembershipEffectKind.HintsHeard, from, hints, askedAtMs }];
}

function receiveAck(
  state: MembershipState,
  from: string,
  sequence: number,
  hints: Hints,
  context: MembershipContext,
): MembershipEffect[] {
  const { probe } = state;
  if (probe?.sequence === sequence) {
    const effects = probeAnswered(state, context);
    return [...effects, ...hintsHeard(from, hints, probe.startedAtMs)];
  }
  const relayed = state.relayed.get(sequence);
  if (relayed === undefined) return hintsHeard(from, hints, null);
  state.relayed.delete(sequence);
  const ack: MembershipMessage = {
    method: MembershipMethod.Ack,
    sequence: relayed.requesterSequence,
    hints: context.hints(),
    news: newsFor(state, relayed.requester),
  };
  const relay = { kind: MembershipEffectKind.SendDatagram, to: relayed.requester, message: ack };
  return [...hintsHeard(from, hints, null), relay as MembershipEffect];
}

function receiveNews(
  state: MembershipState,
  from: string,
  message: MembershipMessage,
  context: MembershipContext,
): MembershipEffect[] {
  if (!('news' in message)) return [];
  return message.news.flatMap((news) =>
    applyNews(state, news, Spread.Tell, `told by ${from}`, context),
  );
}

/**
 * A sender that still doubts this process missed its contradiction, which may have been sent often
 * enough for everybody else: it is told once more.
 */
function withContradiction(
  state: MembershipState,
  heard: readonly MemberNews[],
  news: readonly MemberNews[],
): readonly MemberNews[] {
  const { id } = state.self;
  const isDoubt = ({ state: said }: MemberNews): boolean =>
    said === MemberState.Suspect || said === MemberState.Dead;
  const doubted = heard.some((item) => item.id === id && isDoubt(item));
  if (!doubted || news.some((item) => item.id === id)) return news;
  return [newsOf(state.self), ...news];
}

function answerMessage(
  state: MembershipState,
  from: string,
  message: MembershipMessage,
  context: MembershipContext,
): MembershipEffect[] {
  switch (message.method) {
    case MembershipMethod.Ping: {
      const { sequence } = message;
      const news = withContradiction(state, message.news, newsFor(state, from));
      const ack: MembershipMessage = {
        method: MembershipMethod.Ack,
        sequence,
        hints: context.hints(),
        news,
      };
      const answer = { kind: MembershipEffectKind.SendDatagram, to: from, message: ack } as const;
      return [answer, ...hintsHeard(from, message.hints, null)];
    }
    case MembershipMethod.Ack:
      return receiveAck(state, from, message.sequence, message.hints, context);
    case MembershipMethod.Probe:
      return relayProbe(state, from, message.sequence, message.target, context);
    case MembershipMethod.Nack:
      if (state.probe?.sequence !== message.sequence) return [];
      state.probe.nacks += 1;
      noteContact(state, context.nowMs);
      return [];
    case MembershipMethod.Gossip:
      return hintsHeard(from, message.hints, null);
  }
}

/** Takes one datagram in; `from` is the member id that its source address gives. */
export function receiveMembershipMessage(
  state: MembershipState,
  from: string,
  message: MembershipMessage,
  context: MembershipContext,
): MembershipEffect[] {
  if (state.self.state === MemberState.Dead) return [];
  return step(state, context, () => {
    noteReturn(state, from, context);
    const heard = endDoubt(state, from, context);
    const news = receiveNews(state, from, message, context);
    return [...heard, ...news, ...answerMessage(state, from, message, context)];
  });
}

/** Says that this process shuts down: it takes no new work but goes on with what it has. */
export function announceLeaving(
  state: MembershipState,
  context: MembershipContext,
): MembershipEffect[] {
  if (state.self.state !== MemberState.Alive) return [];
  const incarnation = state.self.incarnation + 1;
  changeSelf(state, { ...state.self, state: MemberState.Leaving, incarnation }, context);
  return farewell(state, context);
}

/** The last word before the process ends: spares the others suspicion and its timeout. */
export function announceLeft(
  state: MembershipState,
  context: MembershipContext,
): MembershipEffect[] {
  changeSelf(state, { ...state.self, state: MemberState.Dead }, context);
  return farewell(state, context);
}
