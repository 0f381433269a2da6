/** One member of the pure measurement: the membership and the configuration machine of a process. */
import type {
  ConfigContext,
  ConfigState,
  Hashing,
  MembershipContext,
  MembershipState,
  Random,
} from '@cassiamast/coordination';
import {
  CONFIG_OPTIONS,
  MEMBERSHIP_OPTIONS,
  MemberKind,
  MemberState,
  answeredRatio,
  configHints,
  createConfigState,
  createMembership,
  findMember,
  membersIn,
} from '@cassiamast/coordination';

/** A member and where it stands. */
export interface VirtualMember {
  readonly index: number;
  readonly id: string;
  readonly failureDomain: string;
  readonly membership: MembershipState;
  readonly config: ConfigState;
  killed: boolean;
  /** The earliest tick of membership that is scheduled. */
  tickAtMs: number;
  /** Whether it watches for its failure domain, as last worked out. */
  isWatcher: boolean;
}

/** What the members share. */
export interface Shared {
  readonly nowMs: () => number;
  readonly random: Random;
  readonly hashing: Hashing;
}

/** The id of the member at an index; the first 730 of 1,140 are targets' sidecars. */
export function memberId(index: number): string {
  return `10.1.${String(index >> 8)}.${String(index & 255)}:7000`;
}

/** A failure domain as the configuration names it; regions carry a part of the name. */
export function domainOf(index: number, domains: number): string {
  return `region-${String((index % domains) % 3)}-fd-${String(index % domains)}`;
}

/** Starts a member. */
export function createVirtualMember(index: number, domains: number, shared: Shared): VirtualMember {
  const id = memberId(index);
  const failureDomain = domainOf(index, domains);
  const context = { nowMs: shared.nowMs(), random: shared.random, hash32: shared.hashing.hash32 };
  const self = {
    id,
    kind: MemberKind.Sidecar,
    failureDomain,
    target: `target-${String(index)}`,
    incarnation: 1_764_706_501,
  };
  const seeds = [memberId(0), memberId(1), memberId(2)];
  return {
    index,
    id,
    failureDomain,
    membership: createMembership(self, seeds, MEMBERSHIP_OPTIONS, context),
    config: createConfigState(CONFIG_OPTIONS, context),
    killed: false,
    tickAtMs: Infinity,
    isWatcher: false,
  };
}

/** The context of a member's membership. */
export function membershipContext(member: VirtualMember, shared: Shared): MembershipContext {
  const nowMs = shared.nowMs();
  return {
    nowMs,
    random: shared.random,
    hash32: shared.hashing.hash32,
    hints: () => configHints(member.config, nowMs),
  };
}

function pickPeer(member: VirtualMember, random: Random): string | null {
  const { probeOrder } = member.membership;
  for (let draw = 0; draw < 8; draw += 1) {
    const id = probeOrder[Math.floor(random() * probeOrder.length)];
    if (id !== undefined && sees(member, id)) return id;
  }
  return null;
}

function sees(member: VirtualMember, id: string): boolean {
  const state = findMember(member.membership, id)?.state;
  return state === MemberState.Alive || state === MemberState.Leaving;
}

/** The context of a member's configuration. */
export function configContext(member: VirtualMember, shared: Shared): ConfigContext {
  return {
    nowMs: shared.nowMs(),
    random: shared.random,
    hash32: shared.hashing.hash32,
    selfId: member.id,
    isWatcher: () => member.isWatcher,
    pickPeer: () => pickPeer(member, shared.random),
    sees: (id) => sees(member, id),
    answeredRatio: () => answeredRatio(member.membership),
  };
}

/** Works out whether a member watches for its failure domain: the highest hash of its members. */
export function chooseWatcher(member: VirtualMember, shared: Shared): void {
  const { hash32 } = shared.hashing;
  const own = hash32(member.id);
  member.isWatcher = membersIn(member.membership, MemberState.Alive)
    .filter((other) => other.failureDomain === member.failureDomain)
    .every((other) => hash32(other.id) <= own);
}
