/**
 * Failure detection by probes. Each member pings one other member per second, sends indirect probes
 * through a few helpers if there is no answer, and suspects the member if the helpers get no answer
 * either. If not even a helper answers, the prober itself is probably cut off, so the suspicion
 * stays local and is not gossiped.
 */
import { MemberState } from '../model/member.js';
import { randomBelow } from '../random/random.js';
import type { MembershipContext, MembershipEffect } from './effects.js';
import { MembershipEffectKind } from './effects.js';
import type { MemberUpdate } from './messages.js';
import { MembershipMethod } from './messages.js';
import { updateCount, takeUpdates } from './update-queue.js';
import type { MembershipState, PendingProbe } from './state.js';
import {
  Propagation,
  applyUpdate,
  findMember,
  pickPeer,
  replaceMember,
  revertLocalSuspicion,
} from './view.js';

/**
 * Maximum health penalty. A member whose own probes fail multiplies its probe timeouts and
 * intervals by one plus the penalty.
 */
const MAX_HEALTH_PENALTY = 2;

/**
 * Weight of the latest probe in the answered ratio: about six failures in a row halve the ratio.
 */
const ANSWERED_RATIO_WEIGHT = 1 / 8;

/**
 * Maximum number of concurrent relayed probes. Further requests are ignored; the requester has sent
 * its request to other helpers as well.
 */
const MAX_RELAYED_PROBES = 64;

/** With more queued updates than this, each is sent fewer times so that all are sent soon. */
const LONG_QUEUE_UPDATES = 64;

/**
 * Returns how many times a member sends each update at the current fleet size. While the suspicions
 * of a failing domain fill the queue, the limit is a third of that; the anti-entropy sync repairs
 * what is missed.
 */
export function sendLimit(state: MembershipState): number {
  const members = state.records.size + 1;
  const limit = state.options.retransmitFactor * Math.ceil(Math.log(members + 1));
  const isLong = state.suspects.size > 0 && updateCount(state.updateQueue) > LONG_QUEUE_UPDATES;
  return isLong ? Math.ceil(limit / 3) : limit;
}

/**
 * Returns the updates for one message. The receiver's own entry goes first if it is not alive, so
 * that the receiver can refute it.
 */
export function updatesFor(state: MembershipState, receiver: string): MemberUpdate[] {
  const record = state.records.get(receiver);
  const updates = takeUpdates(
    state.updateQueue,
    state.options.updateBytesPerMessage,
    sendLimit(state),
  );
  // A local suspicion is not sent: it was not gossiped, so there is nothing to refute.
  if (record === undefined || record.stateBeforeLocalSuspicion !== null) return updates;
  const { id, incarnation, state: current } = record.member;
  if (current === MemberState.Alive) return updates;
  return [{ id, state: current, incarnation, details: null }, ...updates];
}

/** Creates a ping to one member. */
export function ping(
  state: MembershipState,
  to: string,
  sequence: number,
  context: MembershipContext,
): MembershipEffect {
  const news = updatesFor(state, to);
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
    const swapIndex = randomBelow(context.random, last + 1);
    const lastId = ids[last] ?? '';
    ids[last] = ids[swapIndex] ?? '';
    ids[swapIndex] = lastId;
  }
}

/** Returns the next member of the round and removes dead members from the probe order. */
function nextMemberToProbe(state: MembershipState, context: MembershipContext): string | null {
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

/** Starts a probe of the next member of the round. */
export function startProbe(state: MembershipState, context: MembershipContext): MembershipEffect[] {
  const target = nextMemberToProbe(state, context);
  if (target === null) return [];
  state.sequence += 1;
  const timeoutFactor = 1 + state.healthPenalty;
  state.probe = {
    target,
    sequence: state.sequence,
    startedAtMs: context.nowMs,
    indirectAtMs: context.nowMs + state.options.probeTimeoutMs * timeoutFactor,
    endsAtMs: context.nowMs + state.options.probeIntervalMs * timeoutFactor,
    nacks: 0,
  };
  return [ping(state, target, state.sequence, context)];
}

/**
 * Maximum gap between answered probes. It is longer than a probe with the maximum health penalty.
 */
const MAX_CONTACT_GAP_MS = 4_000;

/** Records that the target or a helper answered one of this member's probes. */
export function recordContact(state: MembershipState, nowMs: number): void {
  if (nowMs - state.lastContactMs > MAX_CONTACT_GAP_MS) state.contactSinceMs = nowMs;
  state.lastContactMs = nowMs;
}

/**
 * Returns whether this member has been in contact with others without a long gap since `sinceMs`.
 */
export function inContactSince(state: MembershipState, sinceMs: number, nowMs: number): boolean {
  return state.contactSinceMs <= sinceMs && nowMs - state.lastContactMs <= MAX_CONTACT_GAP_MS;
}

function recordProbeOutcome(state: MembershipState, answered: number): void {
  state.answeredRatio += (answered - state.answeredRatio) * ANSWERED_RATIO_WEIGHT;
}

/**
 * Returns the share of this member's recent probes that were answered, 0 to 1. Probes go to all
 * members in turn, so within half a minute the ratio estimates what share of the fleet is
 * reachable, at any fleet size. Member states are too slow for this: a member that is cut off,
 * alone or with few others, needs one probe for each member that it suspects.
 */
export function answeredRatio(state: MembershipState): number {
  return state.answeredRatio;
}

function startIndirectProbes(
  state: MembershipState,
  probe: PendingProbe,
  context: MembershipContext,
): MembershipEffect[] {
  probe.indirectAtMs = null;
  const helpers: string[] = [];
  for (let count = 0; count < state.options.indirectProbes; count += 1) {
    const to = pickPeer(state, [probe.target, ...helpers], context);
    if (to !== null) helpers.push(to);
  }
  const { sequence, target } = probe;
  const message = { method: MembershipMethod.Probe, sequence, target } as const;
  return helpers.map((to) => ({ kind: MembershipEffectKind.SendDatagram, to, message }));
}

/**
 * Handles a probe that timed out. If not even a helper answered, the suspicion stays local: it is
 * not gossiped, never leads to a declaration of death, and is reverted on the first answer. Without
 * this, a member that was cut off declares the whole fleet dead when it reconnects, and every
 * member has to refute. Received datagrams do not count as contact, because loss may affect only
 * one direction.
 */
function handleProbeTimeout(
  state: MembershipState,
  probe: PendingProbe,
  context: MembershipContext,
): MembershipEffect[] {
  state.healthPenalty = Math.min(MAX_HEALTH_PENALTY, state.healthPenalty + 1);
  recordProbeOutcome(state, 0);
  const record = state.records.get(probe.target);
  if (record === undefined) return [];
  const isConnected = probe.nacks > 0;
  const { id, incarnation } = record.member;
  if (!isConnected && state.options.guards.suspectsLocallyWhenIsolated) {
    return suspectLocally(state, id, context);
  }
  const update = { id, state: MemberState.Suspect, incarnation, details: null };
  return applyUpdate(
    state,
    update,
    Propagation.Gossip,
    'no answer to direct and indirect probes',
    context,
  );
}

function suspectLocally(
  state: MembershipState,
  id: string,
  context: MembershipContext,
): MembershipEffect[] {
  const record = state.records.get(id);
  if (record === undefined) return [];
  const previous = record.member.state;
  if (previous === MemberState.Suspect || previous === MemberState.Dead) return [];
  const member = { ...record.member, state: MemberState.Suspect };
  const reason = 'no answer, and none from helpers';
  const effect = replaceMember(state, record, member, reason, context);
  record.stateBeforeLocalSuspicion = previous;
  state.silent.add(id);
  return [effect];
}

/** Reverts the suspicions that this member formed while it was cut off. */
export function revertIsolationSuspicions(
  state: MembershipState,
  context: MembershipContext,
): MembershipEffect[] {
  const effects = [...state.silent].flatMap((id) =>
    revertLocalSuspicion(state, id, 'contact is back', context),
  );
  state.silent.clear();
  return effects;
}

/** Advances the probe in progress: sends indirect probes or ends it when they are due. */
export function continueProbe(
  state: MembershipState,
  context: MembershipContext,
): MembershipEffect[] {
  const { probe } = state;
  if (probe === null) return [];
  if (context.nowMs >= probe.endsAtMs) {
    state.probe = null;
    return handleProbeTimeout(state, probe, context);
  }
  if (probe.indirectAtMs !== null && context.nowMs >= probe.indirectAtMs) {
    return startIndirectProbes(state, probe, context);
  }
  return [];
}

/** Handles an answer to the probe in progress. */
export function handleProbeAnswer(
  state: MembershipState,
  context: MembershipContext,
): MembershipEffect[] {
  state.probe = null;
  recordContact(state, context.nowMs);
  state.healthPenalty = Math.max(0, state.healthPenalty - 1);
  recordProbeOutcome(state, 1);
  return revertIsolationSuspicions(state, context);
}

/** Pings `target` on behalf of `requester`. */
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

/**
 * Sends a nack for each relayed probe without an answer, which shows that this helper is reachable.
 */
export function expireRelayedProbes(
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
