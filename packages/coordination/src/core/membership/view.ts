/**
 * Taking news in, and reading the view. All changes of belief pass through {@link applyNews}, where
 * the order of news is checked, so no path can bring an old belief back.
 */
import type { Member } from '../model/member.js';
import { MemberState } from '../model/member.js';
import { randomBelow } from '../random/random.js';
import { toggleInDigest } from './digest.js';
import type { MembershipContext, MembershipEffect } from './effects.js';
import { MembershipEffectKind } from './effects.js';
import { membersFull } from './failures.js';
import type { MemberDetails, MemberNews } from './messages.js';
import { enqueueNews } from './news-queue.js';
import type { MemberRecord, MembershipState } from './state.js';
import { detailsOf, parseMemberId } from './state.js';

/** Whether news is passed on to others. */
export enum Spread {
  Tell = 'tell',
  Keep = 'keep',
}

/** News about a member as it is held, with its details. */
export function newsOf(member: Member): MemberNews {
  const { id, state, incarnation } = member;
  return { id, state, incarnation, details: detailsOf(member) };
}

/** A suspect is asked itself this long before it is declared dead, and a second time halfway. */
export const LAST_CALL_MS = 1_500;

function track(state: MembershipState, record: MemberRecord, nowMs: number): void {
  const { id } = record.member;
  const memberState = record.member.state;
  state.suspects.delete(id);
  state.dead.delete(id);
  record.suspectDeadlineMs = 0;
  record.stateBeforeSilence = null;
  state.silent.delete(id);
  state.doubted.delete(id);
  if (memberState === MemberState.Suspect) {
    state.suspects.add(id);
    record.suspectDeadlineMs = nowMs + state.options.suspicionTimeoutMs;
    record.lastCallAtMs = record.suspectDeadlineMs - LAST_CALL_MS;
  }
  if (memberState === MemberState.Dead) state.dead.add(id);
}

/** Replaces what is held of a known member. */
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
  track(state, record, context.nowMs);
  if (previous === MemberState.Dead && member.state !== MemberState.Dead) {
    insertIntoProbeOrder(state, member.id, context);
  }
  return { kind: MembershipEffectKind.MemberChanged, member, previous, reason };
}

/** Takes a suspicion back that this member kept to itself. */
export function takeBack(
  state: MembershipState,
  id: string,
  reason: string,
  context: MembershipContext,
): MembershipEffect[] {
  const record = state.records.get(id);
  if (record === undefined || record.stateBeforeSilence === null) return [];
  const member = { ...record.member, state: record.stateBeforeSilence };
  return [replaceMember(state, record, member, reason, context)];
}

/** A newcomer is probed at a random place of the round, so that starts together are spread. */
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
  news: MemberNews,
  details: MemberDetails,
  context: MembershipContext,
): MembershipEffect {
  if (state.records.size >= state.options.maxMembers && !forgetOldestDead(state)) {
    const { maxMembers } = state.options;
    const failure = membersFull.of({ maxMembers, id: news.id });
    return { kind: MembershipEffectKind.Refused, failure };
  }
  const member: Member = {
    id: news.id,
    ...details,
    address: parseMemberId(news.id),
    incarnation: news.incarnation,
    state: news.state,
  };
  const record: MemberRecord = {
    member,
    changedAtMs: context.nowMs,
    suspectDeadlineMs: 0,
    lastCallAtMs: 0,
    stateBeforeSilence: null,
  };
  state.records.set(news.id, record);
  toggleInDigest(state.digests, member, context.hash32);
  track(state, record, context.nowMs);
  if (news.state !== MemberState.Dead) insertIntoProbeOrder(state, news.id, context);
  return {
    kind: MembershipEffectKind.MemberChanged,
    member,
    previous: null,
    reason: 'first heard of',
  };
}

/** Makes room by forgetting the member that has been dead longest. */
function forgetOldestDead(state: MembershipState): boolean {
  let oldest: MemberRecord | null = null;
  for (const id of state.dead) {
    const record = state.records.get(id);
    if (record !== undefined && (oldest === null || record.changedAtMs < oldest.changedAtMs)) {
      oldest = record;
    }
  }
  if (oldest === null) return false;
  forget(state, oldest.member.id);
  return true;
}

/** Drops a dead member from memory. */
export function forget(state: MembershipState, id: string): void {
  state.records.delete(id);
  state.dead.delete(id);
}

/**
 * Contradicts news about this process itself. Failure guarded against: others take a paused or
 * unreachable process, or its predecessor at the same address, for the whole truth and keep it out
 * for good. Only the process itself raises its incarnation, so its word supersedes theirs.
 */
function answerNewsOfSelf(
  state: MembershipState,
  news: MemberNews,
  context: MembershipContext,
): void {
  const isNewer = news.incarnation > state.self.incarnation;
  // A new life may draw the number under which its predecessor said that it was leaving.
  const differs = news.state !== state.self.state && news.state !== MemberState.Alive;
  const concerns = isNewer || (differs && news.incarnation === state.self.incarnation);
  if (!concerns || !state.options.guards.refutes) return;
  if (state.self.state === MemberState.Dead) return;
  changeSelf(state, { ...state.self, incarnation: news.incarnation + 1 }, context);
}

/** Replaces what this process says of itself and tells everybody. */
export function changeSelf(state: MembershipState, self: Member, context: MembershipContext): void {
  toggleInDigest(state.digests, state.self, context.hash32);
  state.self = self;
  toggleInDigest(state.digests, self, context.hash32);
  enqueueNews(state.news, newsOf(self));
}

/** Takes one piece of news in; returns the effects, none when it is no news. */
export function applyNews(
  state: MembershipState,
  news: MemberNews,
  spread: Spread,
  reason: string,
  context: MembershipContext,
): MembershipEffect[] {
  if (news.id === state.self.id) {
    answerNewsOfSelf(state, news, context);
    return [];
  }
  const record = state.records.get(news.id);
  if (record === undefined) return applyNewsOfStranger(state, news, spread, context);
  // What this member holds against another by itself does not count against news from others.
  const held = { ...record.member, state: record.stateBeforeSilence ?? record.member.state };
  if (!state.options.guards.supersedes(held, news)) return [];
  const { incarnation } = news;
  const details = news.details ?? detailsOf(record.member);
  const member: Member = { ...record.member, ...details, incarnation, state: news.state };
  const effect = replaceMember(state, record, member, reason, context);
  if (spread === Spread.Tell) enqueueNews(state.news, news);
  return [effect];
}

/** Without its details a stranger cannot be placed; the next comparison of views brings it. */
function applyNewsOfStranger(
  state: MembershipState,
  news: MemberNews,
  spread: Spread,
  context: MembershipContext,
): MembershipEffect[] {
  if (news.details === null) return [];
  const effect = addMember(state, news, news.details, context);
  const added = effect.kind === MembershipEffectKind.MemberChanged;
  if (added && spread === Spread.Tell) enqueueNews(state.news, news);
  return [effect];
}

/** The belief about one member, this process included; undefined for a stranger. */
export function findMember(state: MembershipState, id: string): Member | undefined {
  return id === state.self.id ? state.self : state.records.get(id)?.member;
}

/** Longer than a member of the target size needs to hear of all others: 36 pages, two a second. */
const LEARNING_MS = 20_000;

/**
 * Whether a member may be alive, as far as a process can tell that has been up for `upForMs`. Failure
 * guarded against: a process that has just started takes whom it has not met for dead; it shows as a
 * caller who is told that the outcome of a call is lost while the call runs. The guard holds because a
 * member that died is remembered by the others and heard of like any other.
 */
export function mayBeAlive(state: MembershipState, id: string, upForMs: number): boolean {
  const member = findMember(state, id);
  if (member === undefined) return upForMs < LEARNING_MS;
  return member.state !== MemberState.Dead;
}

/** All members in a given state, this process included. */
export function membersIn(state: MembershipState, ...states: readonly MemberState[]): Member[] {
  const found = states.includes(state.self.state) ? [state.self] : [];
  for (const { member } of state.records.values()) {
    if (states.includes(member.state)) found.push(member);
  }
  return found;
}

/** All members that are not dead, this process included. */
export function presentMembers(state: MembershipState): Member[] {
  return membersIn(state, MemberState.Alive, MemberState.Suspect, MemberState.Leaving);
}

/** A random member that is alive or leaving, none of `except`; null when a few draws find none. */
export function pickPeer(
  state: MembershipState,
  except: readonly string[],
  context: MembershipContext,
): string | null {
  if (state.probeOrder.length === 0) return null;
  const draws = Math.min(MAX_PEER_DRAWS, state.probeOrder.length * 2);
  for (let draw = 0; draw < draws; draw += 1) {
    const id = state.probeOrder[randomBelow(context.random, state.probeOrder.length)];
    if (id !== undefined && !except.includes(id) && isReachable(state, id)) return id;
  }
  return null;
}

/** With two thirds of the order out of reach, twelve draws still find a peer in 99 of 100 tries. */
const MAX_PEER_DRAWS = 12;

function isReachable(state: MembershipState, id: string): boolean {
  const memberState = state.records.get(id)?.member.state;
  return memberState === MemberState.Alive || memberState === MemberState.Leaving;
}
