/**
 * Applies membership updates to the local view and reads from it. Every update from another member
 * goes through {@link applyUpdate}, which checks its order, so a stale state cannot overwrite a
 * newer one.
 */
import type { Member } from '../model/member.js';
import { MemberState } from '../model/member.js';
import { randomBelow } from '../random/random.js';
import { toggleInDigest } from './digest.js';
import type { MembershipContext, MembershipEffect } from './effects.js';
import { MembershipEffectKind } from './effects.js';
import { membersFull } from './failures.js';
import type { MemberDetails, MemberUpdate } from './messages.js';
import { enqueueUpdate } from './update-queue.js';
import type { MemberRecord, MembershipState } from './state.js';
import { detailsOf, parseMemberId } from './state.js';

/** Whether an update is gossiped on to other members. */
export enum Propagation {
  Gossip = 'tell',
  None = 'keep',
}

/** Builds an update that describes the current state of a member, with its details. */
export function updateOf(member: Member): MemberUpdate {
  const { id, state, incarnation } = member;
  return { id, state, incarnation, details: detailsOf(member) };
}

/**
 * How long before its suspicion deadline a suspect is pinged directly. A second ping follows
 * halfway to the deadline.
 */
export const FINAL_PING_LEAD_MS = 1_500;

function indexByState(state: MembershipState, record: MemberRecord, nowMs: number): void {
  const { id } = record.member;
  const memberState = record.member.state;
  state.suspects.delete(id);
  state.dead.delete(id);
  record.suspectDeadlineMs = 0;
  record.stateBeforeLocalSuspicion = null;
  state.silent.delete(id);
  state.domainSuspects.delete(id);
  if (memberState === MemberState.Suspect) {
    state.suspects.add(id);
    record.suspectDeadlineMs = nowMs + state.options.suspicionTimeoutMs;
    record.nextPingAtMs = record.suspectDeadlineMs - FINAL_PING_LEAD_MS;
  }
  if (memberState === MemberState.Dead) state.dead.add(id);
}

/** Replaces the record of a known member and updates all indexes and digests. */
export function replaceMember(
  state: MembershipState,
  record: MemberRecord,
  member: Member,
  reason: string,
  context: MembershipContext,
): MembershipEffect {
  const previous = record.member.state;
  toggleInDigest(state.digests, record.member, context.hash32);
  record.member = member;
  record.changedAtMs = context.nowMs;
  toggleInDigest(state.digests, member, context.hash32);
  indexByState(state, record, context.nowMs);
  if (previous === MemberState.Dead && member.state !== MemberState.Dead) {
    insertIntoProbeOrder(state, member.id, context);
  }
  return { kind: MembershipEffectKind.MemberChanged, member, previous, reason };
}

/** Reverts a suspicion that this member formed locally and did not gossip. */
export function revertLocalSuspicion(
  state: MembershipState,
  id: string,
  reason: string,
  context: MembershipContext,
): MembershipEffect[] {
  const record = state.records.get(id);
  if (record === undefined || record.stateBeforeLocalSuspicion === null) return [];
  const member = { ...record.member, state: record.stateBeforeLocalSuspicion };
  return [replaceMember(state, record, member, reason, context)];
}

/**
 * Inserts a new member at a random position of the probe order. This spreads the probes of members
 * that start at the same time.
 */
function insertIntoProbeOrder(
  state: MembershipState,
  id: string,
  context: MembershipContext,
): void {
  if (state.probeOrder.includes(id)) return;
  state.probeOrder.splice(randomBelow(context.random, state.probeOrder.length + 1), 0, id);
}

function addMember(
  state: MembershipState,
  update: MemberUpdate,
  details: MemberDetails,
  context: MembershipContext,
): MembershipEffect {
  if (state.records.size >= state.options.maxMembers && !evictOldestDead(state)) {
    const { maxMembers } = state.options;
    const failure = membersFull.of({ maxMembers, id: update.id });
    return { kind: MembershipEffectKind.Refused, failure };
  }
  const member: Member = {
    id: update.id,
    ...details,
    address: parseMemberId(update.id),
    incarnation: update.incarnation,
    state: update.state,
  };
  const record: MemberRecord = {
    member,
    changedAtMs: context.nowMs,
    suspectDeadlineMs: 0,
    nextPingAtMs: 0,
    stateBeforeLocalSuspicion: null,
  };
  state.records.set(update.id, record);
  toggleInDigest(state.digests, member, context.hash32);
  indexByState(state, record, context.nowMs);
  if (update.state !== MemberState.Dead) insertIntoProbeOrder(state, update.id, context);
  return {
    kind: MembershipEffectKind.MemberChanged,
    member,
    previous: null,
    reason: 'first heard of',
  };
}

/** Evicts the member that has been dead longest. Returns false when there is no dead member. */
function evictOldestDead(state: MembershipState): boolean {
  let oldestDead: MemberRecord | null = null;
  for (const id of state.dead) {
    const record = state.records.get(id);
    if (
      record !== undefined &&
      (oldestDead === null || record.changedAtMs < oldestDead.changedAtMs)
    ) {
      oldestDead = record;
    }
  }
  if (oldestDead === null) return false;
  removeMember(state, oldestDead.member.id);
  return true;
}

/** Removes a dead member from the table. */
export function removeMember(state: MembershipState, id: string): void {
  state.records.delete(id);
  state.dead.delete(id);
}

/**
 * Refutes an update about this process by raising its incarnation. Without this, a process that was
 * paused or unreachable, or whose predecessor at the same address died, would stay excluded. Only
 * the process itself raises its incarnation, so the refutation supersedes what other members hold.
 */
function refuteUpdate(
  state: MembershipState,
  update: MemberUpdate,
  context: MembershipContext,
): void {
  const isNewer = update.incarnation > state.self.incarnation;
  // A restarted process may get the incarnation with which its predecessor announced that it was
  // leaving.
  const differs = update.state !== state.self.state && update.state !== MemberState.Alive;
  const needsRefutation = isNewer || (differs && update.incarnation === state.self.incarnation);
  if (!needsRefutation || !state.options.guards.refutes) return;
  if (state.self.state === MemberState.Dead) return;
  updateSelf(state, { ...state.self, incarnation: update.incarnation + 1 }, context);
}

/** Replaces this process's own entry and queues an update about it for gossip. */
export function updateSelf(state: MembershipState, self: Member, context: MembershipContext): void {
  toggleInDigest(state.digests, state.self, context.hash32);
  state.self = self;
  toggleInDigest(state.digests, self, context.hash32);
  enqueueUpdate(state.updateQueue, updateOf(self));
}

/** Applies one update. Returns no effects when the update is not newer than the current state. */
export function applyUpdate(
  state: MembershipState,
  update: MemberUpdate,
  propagation: Propagation,
  reason: string,
  context: MembershipContext,
): MembershipEffect[] {
  if (update.id === state.self.id) {
    refuteUpdate(state, update, context);
    return [];
  }
  const record = state.records.get(update.id);
  if (record === undefined) return applyUpdateOfUnknownMember(state, update, propagation, context);
  // A local suspicion does not take part in the ordering of updates from other members.
  const current = {
    ...record.member,
    state: record.stateBeforeLocalSuspicion ?? record.member.state,
  };
  if (!state.options.guards.supersedes(current, update)) return [];
  const { incarnation } = update;
  const details = update.details ?? detailsOf(record.member);
  const member: Member = { ...record.member, ...details, incarnation, state: update.state };
  const effect = replaceMember(state, record, member, reason, context);
  if (propagation === Propagation.Gossip) enqueueUpdate(state.updateQueue, update);
  return [effect];
}

/**
 * Adds an unknown member. An update without details is ignored, because the member's failure domain
 * and target are unknown; the next anti-entropy sync brings them.
 */
function applyUpdateOfUnknownMember(
  state: MembershipState,
  update: MemberUpdate,
  propagation: Propagation,
  context: MembershipContext,
): MembershipEffect[] {
  if (update.details === null) return [];
  const effect = addMember(state, update, update.details, context);
  const isAdded = effect.kind === MembershipEffectKind.MemberChanged;
  if (isAdded && propagation === Propagation.Gossip) enqueueUpdate(state.updateQueue, update);
  return [effect];
}

/** Returns the current entry of a member, this process included; undefined if it is unknown. */
export function findMember(state: MembershipState, id: string): Member | undefined {
  return id === state.self.id ? state.self : state.records.get(id)?.member;
}

/**
 * Time after which a process knows the whole fleet. Fetching the full view of a fleet of the target
 * size takes 18 s: 36 pages at two pages per second.
 */
const FULL_VIEW_MS = 20_000;

/**
 * Returns whether a member may be alive, given that this process has been up for `upForMs`. An
 * unknown member counts as possibly alive until the process has had time to fetch the full view.
 * Without this, a process that has just started treats unknown members as dead and reports the
 * outcome of a call as lost while the call is still running. Dead members are not mistaken for
 * unknown ones, because other members retain them and report them like any other member.
 */
export function mayBeAlive(state: MembershipState, id: string, upForMs: number): boolean {
  const member = findMember(state, id);
  if (member === undefined) return upForMs < FULL_VIEW_MS;
  return member.state !== MemberState.Dead;
}

/** Returns all members in any of the given states, this process included. */
export function membersIn(state: MembershipState, ...states: readonly MemberState[]): Member[] {
  const members = states.includes(state.self.state) ? [state.self] : [];
  for (const { member } of state.records.values()) {
    if (states.includes(member.state)) members.push(member);
  }
  return members;
}

/** Returns all members that are not dead, this process included. */
export function presentMembers(state: MembershipState): Member[] {
  return membersIn(state, MemberState.Alive, MemberState.Suspect, MemberState.Leaving);
}

/**
 * Picks a random member that is alive or leaving and not in `except`. Returns null when a few
 * draws find none.
 */
export function pickPeer(
  state: MembershipState,
  except: readonly string[],
  context: MembershipContext,
): string | null {
  if (state.probeOrder.length === 0) return null;
  const maxDraws = Math.min(MAX_PEER_DRAWS, state.probeOrder.length * 2);
  for (let draw = 0; draw < maxDraws; draw += 1) {
    const id = state.probeOrder[randomBelow(context.random, state.probeOrder.length)];
    if (id !== undefined && !except.includes(id) && isReachable(state, id)) return id;
  }
  return null;
}

/** With two thirds of the members unreachable, 12 draws still find a peer 99 times out of 100. */
const MAX_PEER_DRAWS = 12;

function isReachable(state: MembershipState, id: string): boolean {
  const memberState = state.records.get(id)?.member.state;
  return memberState === MemberState.Alive || memberState === MemberState.Leaving;
}
