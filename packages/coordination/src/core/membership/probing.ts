/**
 * The probe: ping one member a second, ask a few others when it does not answer, suspect it when
 * they get no answer either. A probe that nobody at all answers says more about the prober than
 * about the probed, and is not held against the probed member in public.
 */
import { MemberState } from '../model/member.js';
import { randomBelow } from '../random/random.js';
import type { MembershipContext, MembershipEffect } from './effects.js';
import { MembershipEffectKind } from './effects.js';
import type { MemberNews } from './messages.js';
import { MembershipMethod } from './messages.js';
import { newsCount, takeNews } from './news-queue.js';
import type { MembershipState, PendingProbe } from './state.js';
import { Spread, applyNews, findMember, pickPeer, replaceMember, takeBack } from './view.js';

/** A member's own bad health stretches its timeouts and its probes at most this many times more. */
const MAX_HEALTH_PENALTY = 2;

/** Weight of the latest probe in the share that was answered: six failures in a row make it half. */
const ANSWERED_WEIGHT = 1 / 8;

/** Relayed probes at a time; more are refused by silence, and the requester asks others as well. */
const MAX_RELAYED_PROBES = 64;

/** With more pieces than this waiting, each is sent less often so that all get their first turn. */
const LONG_QUEUE = 64;

/**
 * How often each piece of news is sent by each member at the present size; a third of that while a
 * failure domain's worth of doubts waits, as what is missed then is repaired by comparing views.
 */
export function sendLimit(state: MembershipState): number {
  const members = state.records.size + 1;
  const limit = state.options.retransmitFactor * Math.ceil(Math.log(members + 1));
  const isLong = state.suspects.size > 0 && newsCount(state.news) > LONG_QUEUE;
  return isLong ? Math.ceil(limit / 3) : limit;
}

/** The news for one message. What is believed of the receiver goes first, so that it can contradict. */
export function newsFor(state: MembershipState, receiver: string): MemberNews[] {
  const record = state.records.get(receiver);
  const news = takeNews(state.news, state.options.newsBytesPerMessage, sendLimit(state));
  // What is held against it in silence would only make it contradict in vain.
  if (record === undefined || record.stateBeforeSilence !== null) return news;
  const { id, incarnation, state: held } = record.member;
  if (held === MemberState.Alive) return news;
  return [{ id, state: held, incarnation, details: null }, ...news];
}

/** A ping to one member. */
export function ping(
  state: MembershipState,
  to: string,
  sequence: number,
  context: MembershipContext,
): MembershipEffect {
  const news = newsFor(state, to);
  const message = {
    method: MembershipMethod.Ping,
    sequence,
    hints: context.hints(),
    news,
  } as const;
  return { kind: MembershipEffectKind.SendDatagram, to, message };
}

function shuffle(ids: string[], context: MembershipContext): void {
  for (let last = ids.length - 1; last > 0; last -= 1) {
    const other = randomBelow(context.random, last + 1);
    const moved = ids[last] ?? '';
    ids[last] = ids[other] ?? '';
    ids[other] = moved;
  }
}

/** The next member of the round; the dead drop out of the order here. */
function nextTarget(state: MembershipState, context: MembershipContext): string | null {
  for (let tries = state.probeOrder.length; tries > 0; tries -= 1) {
    if (state.probeIndex >= state.probeOrder.length) {
      state.probeIndex = 0;
      shuffle(state.probeOrder, context);
    }
    const id = state.probeOrder[state.probeIndex];
    if (id === undefined) return null;
    const member = findMember(state, id);
    if (member !== undefined && member.state !== MemberState.Dead) {
      state.probeIndex += 1;
      return id;
    }
    state.probeOrder.splice(state.probeIndex, 1);
  }
  return null;
}

/** Starts the next probe of the round. */
export function startProbe(state: MembershipState, context: MembershipContext): MembershipEffect[] {
  const target = nextTarget(state, context);
  if (target === null) return [];
  state.sequence += 1;
  const stretch = 1 + state.healthPenalty;
  state.probe = {
    target,
    sequence: state.sequence,
    startedAtMs: context.nowMs,
    indirectAtMs: context.nowMs + state.options.probeTimeoutMs * stretch,
    endsAtMs: context.nowMs + state.options.probeIntervalMs * stretch,
    nacks: 0,
  };
  return [ping(state, target, state.sequence, context)];
}

/** A longer gap than a stretched probe leaves is an end of contact. */
const CONTACT_GAP_MS = 4_000;

/** Notes that an own probe was answered, by its target or by a helper. */
export function noteContact(state: MembershipState, nowMs: number): void {
  if (nowMs - state.lastContactMs > CONTACT_GAP_MS) state.contactSinceMs = nowMs;
  state.lastContactMs = nowMs;
}

/** Whether this member has been in contact with others all the time since `sinceMs`. */
export function inContactSince(state: MembershipState, sinceMs: number, nowMs: number): boolean {
  return state.contactSinceMs <= sinceMs && nowMs - state.lastContactMs <= CONTACT_GAP_MS;
}

function noteOutcome(state: MembershipState, answered: number): void {
  state.answeredRatio += (answered - state.answeredRatio) * ANSWERED_WEIGHT;
}

/**
 * Share of this member's recent probes that were answered. Probes go to all members in turn, so it
 * estimates within half a minute what share of the fleet can be reached, at any size. The beliefs
 * cannot: a member that is cut off, alone or with few others, would need as many probes as there are
 * members to doubt half of them.
 */
export function answeredRatio(state: MembershipState): number {
  return state.answeredRatio;
}

function askHelpers(
  state: MembershipState,
  probe: PendingProbe,
  context: MembershipContext,
): MembershipEffect[] {
  probe.indirectAtMs = null;
  const asked: string[] = [];
  for (let helper = 0; helper < state.options.indirectProbes; helper += 1) {
    const to = pickPeer(state, [probe.target, ...asked], context);
    if (to !== null) asked.push(to);
  }
  const { sequence, target } = probe;
  const message = { method: MembershipMethod.Probe, sequence, target } as const;
  return asked.map((to) => ({ kind: MembershipEffectKind.SendDatagram, to, message }));
}

/**
 * Decides on a probe without an answer. Failure guarded against: a member that was itself cut off
 * returns and declares the whole fleet dead, and everybody has to contradict. It shows as a probe
 * that not even the helpers answered; such a suspicion is kept to oneself, never grows into a death
 * and is dropped on the first answer. Hearing others is not enough, since datagrams may be lost one
 * way only.
 */
function probeFailed(
  state: MembershipState,
  probe: PendingProbe,
  context: MembershipContext,
): MembershipEffect[] {
  state.healthPenalty = Math.min(MAX_HEALTH_PENALTY, state.healthPenalty + 1);
  noteOutcome(state, 0);
  const record = state.records.get(probe.target);
  if (record === undefined) return [];
  const connected = probe.nacks > 0;
  const { id, incarnation } = record.member;
  if (!connected && state.options.guards.silenceIsOwnFault) {
    return suspectInSilence(state, id, context);
  }
  const news = { id, state: MemberState.Suspect, incarnation, details: null };
  return applyNews(state, news, Spread.Tell, 'no answer to direct and indirect probes', context);
}

function suspectInSilence(
  state: MembershipState,
  id: string,
  context: MembershipContext,
): MembershipEffect[] {
  const record = state.records.get(id);
  if (record === undefined) return [];
  const held = record.member.state;
  if (held === MemberState.Suspect || held === MemberState.Dead) return [];
  const member = { ...record.member, state: MemberState.Suspect };
  const reason = 'no answer, and none from helpers';
  const effect = replaceMember(state, record, member, reason, context);
  record.stateBeforeSilence = held;
  state.silent.add(id);
  return [effect];
}

/** Takes suspicions back that were formed while this member was cut off. */
export function endSilence(state: MembershipState, context: MembershipContext): MembershipEffect[] {
  const effects = [...state.silent].flatMap((id) =>
    takeBack(state, id, 'contact is back', context),
  );
  state.silent.clear();
  return effects;
}

/** Moves the probe under way on. */
export function continueProbe(
  state: MembershipState,
  context: MembershipContext,
): MembershipEffect[] {
  const { probe } = state;
  if (probe === null) return [];
  if (context.nowMs >= probe.endsAtMs) {
    state.probe = null;
    return probeFailed(state, probe, context);
  }
  if (probe.indirectAtMs !== null && context.nowMs >= probe.indirectAtMs) {
    return askHelpers(state, probe, context);
  }
  return [];
}

/** The probe under way was answered. */
export function probeAnswered(
  state: MembershipState,
  context: MembershipContext,
): MembershipEffect[] {
  state.probe = null;
  noteContact(state, context.nowMs);
  state.healthPenalty = Math.max(0, state.healthPenalty - 1);
  noteOutcome(state, 1);
  return endSilence(state, context);
}

/** Pings a third member on behalf of `requester`. */
export function relayProbe(
  state: MembershipState,
  requester: string,
  requesterSequence: number,
  target: string,
  context: MembershipContext,
): MembershipEffect[] {
  if (state.relayed.size >= MAX_RELAYED_PROBES) return [];
  state.sequence += 1;
  const endsAtMs = context.nowMs + state.options.probeTimeoutMs;
  state.relayed.set(state.sequence, { requester, requesterSequence, endsAtMs });
  return [ping(state, target, state.sequence, context)];
}

/** Tells requesters whose target did not answer that at least this helper lives. */
export function endRelayedProbes(
  state: MembershipState,
  context: MembershipContext,
): MembershipEffect[] {
  const effects: MembershipEffect[] = [];
  for (const [sequence, relayed] of state.relayed) {
    if (context.nowMs < relayed.endsAtMs) continue;
    state.relayed.delete(sequence);
    const message = { method: MembershipMethod.Nack, sequence: relayed.requesterSequence } as const;
    effects.push({ kind: MembershipEffectKind.SendDatagram, to: relayed.requester, message });
  }
  return effects;
}
