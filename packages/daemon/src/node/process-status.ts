/** Builds the part of the status that all kinds of daemon processes share. */
import {
  type Member,
  type MemberKind,
  MemberState,
  type MemberStatus,
  type ProcessStatus,
  type ServiceStatus,
  type StatusQuery,
} from '@cassiamast/coordination';
import type { ConfigurationDriver } from './configuration-driver.js';
import type { MembershipDriver } from './membership-driver.js';
import type { Telemetry } from './telemetry.js';

/** Sources of the status. */
export interface ProcessStatusOptions {
  readonly memberId: string;
  readonly kind: MemberKind;
  readonly failureDomain: string;
  readonly target: string;
  readonly startedAtWallMs: number;
  readonly membership: MembershipDriver;
  readonly configuration: ConfigurationDriver;
  readonly configurationSinceWallMs: () => number;
  readonly telemetry: Telemetry;
  readonly isStopping: () => boolean;
  readonly services: () => readonly ServiceStatus[];
}

/** Returns the answer to `status.read`. */
export function readStatus(options: ProcessStatusOptions, query: StatusQuery): ProcessStatus {
  const members = options.membership.all();
  return {
    memberId: options.memberId,
    kind: options.kind,
    failureDomain: options.failureDomain,
    target: options.target,
    startedAtWallMs: options.startedAtWallMs,
    configurationVersion: options.configuration.state.inForce?.version ?? 0,
    configurationSinceWallMs: options.configurationSinceWallMs(),
    doubt: options.configuration.newWorkRejection() !== null,
    stopping: options.isStopping(),
    membersByState: countStates(members),
    ...(query.withMembers ? { members: members.map(toMemberStatus) } : {}),
    services: options.services(),
    counters: { ...options.telemetry.counters(), ...options.telemetry.gauges() },
  };
}

function countStates(members: readonly Member[]): Readonly<Record<MemberState, number>> {
  const counts = {
    [MemberState.Alive]: 0,
    [MemberState.Suspect]: 0,
    [MemberState.Leaving]: 0,
    [MemberState.Dead]: 0,
  };
  for (const member of members) counts[member.state] += 1;
  return counts;
}

function toMemberStatus({ id, kind, failureDomain, target, state }: Member): MemberStatus {
  return { id, kind, failureDomain, target, state };
}
