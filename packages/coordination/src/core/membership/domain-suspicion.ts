/**
 * Suspicion of a whole failure domain. Within the gossip budget, the updates of 162 simultaneous
 * deaths take a while to spread, and until then work would still go to targets that are gone. So
 * once half of another failure domain is down, its remaining members are suspected too and get no
 * new work. This suspicion is local: it is not gossiped, never leads to a declaration of death, and
 * is reverted when the member sends a message or after a timeout.
 */
import { MemberState } from '../model/member.js';
import type { MembershipContext, MembershipEffect } from './effects.js';
import type { MembershipState } from './state.js';
import { replaceMember, revertLocalSuspicion } from './view.js';

/** Fewer failed members than this count as single failures. */
const MIN_DOWN_MEMBERS = 3;

/** Share of the members that must be down for the failure domain to count as lost. */
const MIN_DOWN_RATIO = 0.5;

/** Deaths older than this belong to an earlier failure and are not counted. */
const RECENT_DEATH_MS = 30_000;

/**
 * How long the suspicion lasts: by then, gossip about the failure domain has reached all members.
 */
const DOMAIN_SUSPICION_MS = 20_000;

/**
 * How long a member is exempt after its suspicion ended, so that the same failure does not renew
 * it.
 */
const EXEMPTION_MS = 2 * RECENT_DEATH_MS;

/** Interval at which failure domains are checked while there are suspects. */
const CHECK_INTERVAL_MS = 500;

interface DomainHealth {
  down: number;
  readonly up: string[];
}

function healthByDomain(state: MembershipState, nowMs: number): Map<string, DomainHealth> {
  const byDomain = new Map<string, DomainHealth>();
  for (const { member, changedAtMs, stateBeforeLocalSuspicion } of state.records.values()) {
    if (member.failureDomain === state.self.failureDomain) continue;
    const isDead = member.state === MemberState.Dead;
    if (isDead && nowMs - changedAtMs > RECENT_DEATH_MS) continue;
    const health = byDomain.get(member.failureDomain) ?? { down: 0, up: [] };
    byDomain.set(member.failureDomain, health);
    const isSuspect = member.state === MemberState.Suspect && stateBeforeLocalSuspicion === null;
    if (isDead || isSuspect) health.down += 1;
    else health.up.push(member.id);
  }
  return byDomain;
}

function isDomainLost({ down, up }: DomainHealth): boolean {
  return down >= MIN_DOWN_MEMBERS && down >= MIN_DOWN_RATIO * (down + up.length);
}

function suspectWithDomain(
  state: MembershipState,
  id: string,
  context: MembershipContext,
): MembershipEffect[] {
  const record = state.records.get(id);
  if (record === undefined || state.domainSuspects.has(id) || state.silent.has(id)) return [];
  if (state.domainSuspicionExempt.has(id)) return [];
  const previous = record.member.state;
  const member = { ...record.member, state: MemberState.Suspect };
  const reason = 'most of its failure domain is down';
  const effect = replaceMember(state, record, member, reason, context);
  record.stateBeforeLocalSuspicion = previous;
  state.domainSuspects.set(id, context.nowMs + DOMAIN_SUSPICION_MS);
  return [effect];
}

/** Ends the domain suspicion of a member that sent a message. */
export function endDomainSuspicion(
  state: MembershipState,
  id: string,
  context: MembershipContext,
): MembershipEffect[] {
  if (!state.domainSuspects.has(id)) return [];
  state.domainSuspicionExempt.set(id, context.nowMs + EXEMPTION_MS);
  return revertLocalSuspicion(state, id, 'it was heard', context);
}

/**
 * Suspects the remaining members of lost failure domains and reverts suspicions that have expired.
 */
export function suspectLostDomains(
  state: MembershipState,
  context: MembershipContext,
): MembershipEffect[] {
  if (context.nowMs < state.nextDomainCheckAtMs) return [];
  const isQuiet = state.suspects.size < MIN_DOWN_MEMBERS && state.domainSuspects.size === 0;
  if (isQuiet && state.domainSuspicionExempt.size === 0) return [];
  state.nextDomainCheckAtMs = context.nowMs + CHECK_INTERVAL_MS;
  const effects: MembershipEffect[] = [];
  for (const [id, untilMs] of [...state.domainSuspects]) {
    if (context.nowMs < untilMs) continue;
    state.domainSuspicionExempt.set(id, context.nowMs + EXEMPTION_MS);
    effects.push(...revertLocalSuspicion(state, id, 'nothing more was heard against it', context));
  }
  for (const [id, untilMs] of state.domainSuspicionExempt)
    if (context.nowMs >= untilMs) state.domainSuspicionExempt.delete(id);
  for (const health of healthByDomain(state, context.nowMs).values()) {
    if (!isDomainLost(health)) continue;
    effects.push(...health.up.flatMap((id) => suspectWithDomain(state, id, context)));
  }
  return effects;
}
