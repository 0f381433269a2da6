/**
 * The death of a failure domain at once. The news of 162 deaths takes its time within the budget of
 * bytes, and until it is through, work would go on being given to targets that are gone. Once half of
 * another failure domain is down, its other members are doubted as well: they get no new work. The
 * doubt is this member's own, told to nobody, never grows into a death, and is taken back as soon as
 * the doubted member is heard, or after a while.
 */
import { MemberState } from '../model/member.js';
import type { MembershipContext, MembershipEffect } from './effects.js';
import type { MembershipState } from './state.js';
import { replaceMember, takeBack } from './view.js';

/** Fewer members down than this are no failure domain, but single failures. */
const MIN_DOWN = 3;

/** Share of a failure domain that has to be down. */
const DOWN_RATIO = 0.5;

/** Deaths older than this belong to an earlier time. */
const RECENT_MS = 30_000;

/** How long a doubt lasts without further signs: news of a failure domain is through by then. */
const DOUBT_MS = 20_000;

/** A member whose doubt ended is not doubted again for the same failure. */
const TRUST_MS = 2 * RECENT_MS;

/** How often the failure domains are looked at while there are suspects. */
const LOOK_MS = 500;

interface Standing {
  down: number;
  readonly up: string[];
}

function standings(state: MembershipState, nowMs: number): Map<string, Standing> {
  const found = new Map<string, Standing>();
  for (const { member, changedAtMs, stateBeforeSilence } of state.records.values()) {
    if (member.failureDomain === state.self.failureDomain) continue;
    const isDead = member.state === MemberState.Dead;
    if (isDead && nowMs - changedAtMs > RECENT_MS) continue;
    const standing = found.get(member.failureDomain) ?? { down: 0, up: [] };
    found.set(member.failureDomain, standing);
    const isSuspect = member.state === MemberState.Suspect && stateBeforeSilence === null;
    if (isDead || isSuspect) standing.down += 1;
    else standing.up.push(member.id);
  }
  return found;
}

function isLost({ down, up }: Standing): boolean {
  return down >= MIN_DOWN && down >= DOWN_RATIO * (down + up.length);
}

function doubt(state: MembershipState, id: string, context: MembershipContext): MembershipEffect[] {
  const record = state.records.get(id);
  if (record === undefined || state.doubted.has(id) || state.silent.has(id)) return [];
  if (state.trusted.has(id)) return [];
  const held = record.member.state;
  const member = { ...record.member, state: MemberState.Suspect };
  const reason = 'most of its failure domain is down';
  const effect = replaceMember(state, record, member, reason, context);
  record.stateBeforeSilence = held;
  state.doubted.set(id, context.nowMs + DOUBT_MS);
  return [effect];
}

/** Ends the doubt about a member that was heard. */
export function endDoubt(
  state: MembershipState,
  id: string,
  context: MembershipContext,
): MembershipEffect[] {
  if (!state.doubted.has(id)) return [];
  state.trusted.set(id, context.nowMs + TRUST_MS);
  return takeBack(state, id, 'it was heard', context);
}

/** Looks at the failure domains, and takes back what was doubted long enough. */
export function doubtDomains(
  state: MembershipState,
  context: MembershipContext,
): MembershipEffect[] {
  if (context.nowMs < state.doubtAtMs) return [];
  const isQuiet = state.suspects.size < MIN_DOWN && state.doubted.size === 0;
  if (isQuiet && state.trusted.size === 0) return [];
  state.doubtAtMs = context.nowMs + LOOK_MS;
  const effects: MembershipEffect[] = [];
  for (const [id, untilMs] of [...state.doubted]) {
    if (context.nowMs < untilMs) continue;
    state.trusted.set(id, context.nowMs + TRUST_MS);
    effects.push(...takeBack(state, id, 'nothing more was heard against it', context));
  }
  for (const [id, untilMs] of state.trusted) if (context.nowMs >= untilMs) state.trusted.delete(id);
  for (const standing of standings(state, context.nowMs).values()) {
    if (!isLost(standing)) continue;
    effects.push(...standing.up.flatMap((id) => doubt(state, id, context)));
  }
  return effects;
}
