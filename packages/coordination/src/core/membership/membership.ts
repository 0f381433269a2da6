/**
 * State machine of the membership protocol: SWIM with suspicion and refutation. The cost per member
 * is the same at 14 and at 1,140 members. The host process passes in datagrams, sync pages and
 * wake-ups, and performs the returned effects. docs/design/membership.md describes the alternatives
 * and the arithmetic.
 */
import { MemberState } from '../model/member.js';
import type { MembershipContext, MembershipEffect } from './effects.js';
import { MembershipEffectKind } from './effects.js';
import type { Hints, MemberUpdate, MembershipMessage } from './messages.js';
import { MembershipMethod } from './messages.js';
import { suspectLostDomains, endDomainSuspicion } from './domain-suspicion.js';
import { gossipLeave, pushUpdates } from './gossiping.js';
import { isUpdateQueueEmpty } from './update-queue.js';
import {
  continueProbe,
  expireRelayedProbes,
  inContactSince,
  updatesFor,
  recordContact,
  ping,
  handleProbeAnswer,
  relayProbe,
  startProbe,
} from './probing.js';
import type { MemberRecord, MembershipState } from './state.js';
import { continueSync, syncWakeAtMs } from './syncing.js';
import {
  FINAL_PING_LEAD_MS,
  Propagation,
  applyUpdate,
  updateSelf,
  removeMember,
  updateOf,
} from './view.js';

/** How long dead members are probed at the full rate once a partition starts to heal. */
const PARTITION_HEALING_MS = 60_000;

/**
 * Compensates for a pause of this process, detected by a wake-up much later than requested. Drops
 * the probe in progress without a result and extends the deadlines of suspects. Without this, a
 * process that resumes after a pause finds all its timers overdue and declares all other members
 * dead.
 */
function compensateForPause(state: MembershipState, nowMs: number): void {
  const latenessMs = nowMs - state.wakeAtMs;
  if (latenessMs <= state.options.guards.pauseThresholdMs) return;
  state.probe = null;
  state.relayed.clear();
  for (const id of state.suspects) {
    const record = state.records.get(id);
    if (record === undefined) continue;
    // The suspect's refutation may still be in the receive queue, so always leave time for a final
    // ping.
    const extendedMs = record.suspectDeadlineMs + latenessMs;
    record.suspectDeadlineMs = Math.max(extendedMs, nowMs + FINAL_PING_LEAD_MS);
    record.nextPingAtMs = nowMs;
  }
  state.wakeAtMs = nowMs;
}

/**
 * Postpones a declaration of death if this member has not been in contact with others since the
 * final ping, and pings the suspect again. A gap in the answers to its own probes means that an
 * answer of the suspect may be lost too. Without this, a process that is cut off, or was paused and
 * received old updates, declares members dead that it cannot reach.
 */
function deferUntilContact(
  state: MembershipState,
  record: MemberRecord,
  context: MembershipContext,
): boolean {
  if (!state.options.guards.suspectsLocallyWhenIsolated) return false;
  const finalPingAtMs = record.suspectDeadlineMs - FINAL_PING_LEAD_MS;
  if (inContactSince(state, finalPingAtMs, context.nowMs)) return false;
  record.nextPingAtMs = context.nowMs;
  record.suspectDeadlineMs = context.nowMs + FINAL_PING_LEAD_MS;
  return true;
}

/** Reason of the change when this member itself declares a suspect dead. */
export const SUSPICION_NOT_REFUTED = 'suspicion not contradicted';

function declareDead(state: MembershipState, context: MembershipContext): MembershipEffect[] {
  const effects: MembershipEffect[] = [];
  for (const id of [...state.suspects]) {
    const record = state.records.get(id);
    if (record === undefined || record.stateBeforeLocalSuspicion !== null) continue;
    if (context.nowMs < record.suspectDeadlineMs) continue;
    if (deferUntilContact(state, record, context)) continue;
    const { incarnation } = record.member;
    const update = { id, state: MemberState.Dead, incarnation, details: null };
    // Every member that received the suspicion runs the same timer, so the death needs no gossip.
    effects.push(...applyUpdate(state, update, Propagation.None, SUSPICION_NOT_REFUTED, context));
  }
  return effects;
}

/** Minimum time between two direct pings to suspects, which take 110 bytes each. */
const SUSPECT_PING_SPACING_MS = 200;

/**
 * Pings suspects directly shortly before their deadline. The ping carries the suspicion, so the
 * answer carries the refutation. Without this, a member that receives a suspicion but misses the
 * refutation because of heavy datagram loss is the only one to declare a living member dead.
 */
function pingSuspects(state: MembershipState, context: MembershipContext): MembershipEffect[] {
  const effects: MembershipEffect[] = [];
  for (const id of state.suspects) {
    const record = state.records.get(id);
    if (record === undefined || record.stateBeforeLocalSuspicion !== null) continue;
    if (context.nowMs < record.nextPingAtMs || context.nowMs < state.suspectPingNotBeforeMs)
      continue;
    record.nextPingAtMs += FINAL_PING_LEAD_MS / 2;
    state.suspectPingNotBeforeMs = context.nowMs + SUSPECT_PING_SPACING_MS;
    state.sequence += 1;
    effects.push(ping(state, id, state.sequence, context));
  }
  return effects;
}

function evictExpiredDead(state: MembershipState, nowMs: number): void {
  for (const id of [...state.dead]) {
    const record = state.records.get(id);
    if (record !== undefined && nowMs - record.changedAtMs >= state.options.deadRetentionMs) {
      removeMember(state, id);
    }
  }
}

/** Probes a random dead member, so that the sides of a healed partition reconnect. */
function probeDeadMember(state: MembershipState, context: MembershipContext): MembershipEffect[] {
  if (context.nowMs < state.timers.deadProbeAtMs) return [];
  const isHealing = context.nowMs < state.healingUntilMs;
  const { probeIntervalMs, deadProbeIntervalMs, guards } = state.options;
  const intervalMs = isHealing ? probeIntervalMs : deadProbeIntervalMs;
  state.timers.deadProbeAtMs = context.nowMs + intervalMs * (0.5 + context.random());
  evictExpiredDead(state, context.nowMs);
  if (state.dead.size === 0 || !guards.probesDead) return [];
  const deadIds = [...state.dead];
  const id = deadIds[Math.floor(context.random() * deadIds.length)] ?? '';
  state.sequence += 1;
  return [ping(state, id, state.sequence, context)];
}

function earliestDeadline(state: MembershipState): number {
  let earliestMs = Infinity;
  for (const id of state.suspects) {
    const record = state.records.get(id);
    if (record === undefined || record.stateBeforeLocalSuspicion !== null) continue;
    const nextPingAtMs = Math.max(record.nextPingAtMs, state.suspectPingNotBeforeMs);
    earliestMs = Math.min(earliestMs, record.suspectDeadlineMs, nextPingAtMs);
  }
  for (const relayed of state.relayed.values()) earliestMs = Math.min(earliestMs, relayed.endsAtMs);
  return earliestMs;
}

/** Returns when {@link tickMembership} is due next. Calling it at other times is harmless. */
export function membershipWakeAtMs(state: MembershipState): number {
  const { probe, timers } = state;
  const probeWakeMs = probe === null ? timers.probeAtMs : (probe.indirectAtMs ?? probe.endsAtMs);
  const gossipWakeMs = isUpdateQueueEmpty(state.updateQueue) ? Infinity : timers.gossipAtMs;
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
  run: () => MembershipEffect[],
): MembershipEffect[] {
  compensateForPause(state, context.nowMs);
  const effects = run();
  state.wakeAtMs = Math.max(context.nowMs, membershipWakeAtMs(state));
  return effects;
}

function nextProbe(state: MembershipState, context: MembershipContext): MembershipEffect[] {
  if (state.probe !== null || context.nowMs < state.timers.probeAtMs) return [];
  state.timers.probeAtMs = context.nowMs + state.options.probeIntervalMs;
  return startProbe(state, context);
}

/** Runs all timers that are due. */
export function tickMembership(
  state: MembershipState,
  context: MembershipContext,
): MembershipEffect[] {
  if (state.self.state === MemberState.Dead) return [];
  return step(state, context, () => [
    ...continueProbe(state, context),
    ...nextProbe(state, context),
    ...expireRelayedProbes(state, context),
    ...pingSuspects(state, context),
    ...declareDead(state, context),
    ...suspectLostDomains(state, context),
    ...continueSync(state, context),
    ...probeDeadMember(state, context),
    ...pushUpdates(state, context),
  ]);
}

function handleReturn(state: MembershipState, from: string, context: MembershipContext): void {
  if (!state.dead.has(from)) return;
  state.returnedPeer ??= from;
  state.healingUntilMs = context.nowMs + PARTITION_HEALING_MS;
  state.timers.deadProbeAtMs = Math.min(
    state.timers.deadProbeAtMs,
    context.nowMs + state.options.probeIntervalMs * context.random(),
  );
  state.timers.syncAtMs = Math.min(
    state.timers.syncAtMs,
    context.nowMs + state.options.syncPageIntervalMs * (1 + context.random()),
  );
}

function hintsReceived(from: string, hints: Hints, askedAtMs: number | null): MembershipEffect[] {
  if (hints.length === 0) return [];
  return [{ kind: MembershipEffectKind.HintsReceived, from, hints, askedAtMs }];
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
    const effects = handleProbeAnswer(state, context);
    return [...effects, ...hintsReceived(from, hints, probe.startedAtMs)];
  }
  const relayed = state.relayed.get(sequence);
  if (relayed === undefined) return hintsReceived(from, hints, null);
  state.relayed.delete(sequence);
  const ack: MembershipMessage = {
    method: MembershipMethod.Ack,
    sequence: relayed.requesterSequence,
    hints: context.hints(),
    news: updatesFor(state, relayed.requester),
  };
  const relay = { kind: MembershipEffectKind.SendDatagram, to: relayed.requester, message: ack };
  return [...hintsReceived(from, hints, null), relay as MembershipEffect];
}

function applyUpdates(
  state: MembershipState,
  from: string,
  message: MembershipMessage,
  context: MembershipContext,
): MembershipEffect[] {
  if (!('news' in message)) return [];
  return message.news.flatMap((update) =>
    applyUpdate(state, update, Propagation.Gossip, `told by ${from}`, context),
  );
}

/**
 * Adds a refutation to an answer if the sender still reports this process as suspect or dead. The
 * sender has missed the refutation, which may already have reached its send limit.
 */
function withRefutation(
  state: MembershipState,
  received: readonly MemberUpdate[],
  updates: readonly MemberUpdate[],
): readonly MemberUpdate[] {
  const { id } = state.self;
  const isSuspectOrDead = ({ state: reported }: MemberUpdate): boolean =>
    reported === MemberState.Suspect || reported === MemberState.Dead;
  const needsRefutation = received.some((item) => item.id === id && isSuspectOrDead(item));
  if (!needsRefutation || updates.some((item) => item.id === id)) return updates;
  return [updateOf(state.self), ...updates];
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
      const news = withRefutation(state, message.news, updatesFor(state, from));
      const ack: MembershipMessage = {
        method: MembershipMethod.Ack,
        sequence,
        hints: context.hints(),
        news,
      };
      const answer = { kind: MembershipEffectKind.SendDatagram, to: from, message: ack } as const;
      return [answer, ...hintsReceived(from, message.hints, null)];
    }
    case MembershipMethod.Ack:
      return receiveAck(state, from, message.sequence, message.hints, context);
    case MembershipMethod.Probe:
      return relayProbe(state, from, message.sequence, message.target, context);
    case MembershipMethod.Nack:
      if (state.probe?.sequence !== message.sequence) return [];
      state.probe.nacks += 1;
      recordContact(state, context.nowMs);
      return [];
    case MembershipMethod.Gossip:
      return hintsReceived(from, message.hints, null);
  }
}

/** Handles one datagram. `from` is the member id derived from its source address. */
export function receiveMembershipMessage(
  state: MembershipState,
  from: string,
  message: MembershipMessage,
  context: MembershipContext,
): MembershipEffect[] {
  if (state.self.state === MemberState.Dead) return [];
  return step(state, context, () => {
    handleReturn(state, from, context);
    const reverted = endDomainSuspicion(state, from, context);
    const changes = applyUpdates(state, from, message, context);
    return [...reverted, ...changes, ...answerMessage(state, from, message, context)];
  });
}

/**
 * Announces that this process is draining: it accepts no new work and finishes its current work.
 */
export function announceLeaving(
  state: MembershipState,
  context: MembershipContext,
): MembershipEffect[] {
  if (state.self.state !== MemberState.Alive) return [];
  const incarnation = state.self.incarnation + 1;
  updateSelf(state, { ...state.self, state: MemberState.Leaving, incarnation }, context);
  return gossipLeave(state, context);
}

/**
 * Announces that this process ends, so that other members need not wait for the suspicion timeout.
 */
export function announceLeft(
  state: MembershipState,
  context: MembershipContext,
): MembershipEffect[] {
  updateSelf(state, { ...state.self, state: MemberState.Dead }, context);
  return gossipLeave(state, context);
}
