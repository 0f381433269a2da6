/**
 * Aggregates the statuses of all processes into one view of the fleet: active configuration versions,
 * roles, goodput and token mix. The functions are pure. The view lists every configuration version
 * in use and counts the entries that disagree on whether a service is ready.
 */
import {
  EngineRole,
  type GoodputStatus,
  type MemberStatus,
  type ProcessStatus,
  type ServiceStatus,
  type TargetStatus,
  type UnreachableProcess,
  MemberKind,
  MemberState,
} from '@cassiamast/coordination';

/** A configuration version and the processes that have it active. */
export interface VersionShare {
  readonly version: number;
  readonly processes: readonly string[];
}

/** A service, aggregated over all entries. */
export interface ServiceView {
  readonly name: string;
  /** Number of entries that report the service as ready; `seenBy` counts all that report it. */
  readonly readyAt: number;
  readonly seenBy: number;
  /** The reason of the first entry that reports it as not ready; empty when there is none. */
  readonly reason: string;
  /** For each target, the most recent report of any entry. */
  readonly targets: readonly TargetStatus[];
  readonly roles: Readonly<Record<EngineRole, number>>;
  /** The lease holder with the highest fencing token that any entry reports. */
  readonly authority: string | null;
  readonly fence: number | null;
  readonly goodput: GoodputStatus;
  readonly promptTokens: number;
  readonly outputTokens: number;
  readonly roleChanges: number;
}

/** The state of the whole fleet. */
export interface FleetView {
  readonly processes: number;
  readonly membersByState: Readonly<Record<MemberState, number>>;
  /** Newest first; there is more than one while an edit propagates. */
  readonly versions: readonly VersionShare[];
  /** Processes that are cut off and accept no new work. */
  readonly doubtful: readonly string[];
  readonly stopping: readonly string[];
  readonly services: readonly ServiceView[];
  readonly unreachable: readonly UnreachableProcess[];
}

/** Aggregates statuses into a view of the fleet. */
export function fleetView(
  statuses: readonly ProcessStatus[],
  members: readonly MemberStatus[],
  unreachable: readonly UnreachableProcess[],
): FleetView {
  return {
    processes: statuses.length,
    membersByState: countStates(members),
    versions: versionsOf(statuses),
    doubtful: idsOf(statuses.filter(({ doubt }) => doubt)),
    stopping: idsOf(statuses.filter(({ stopping }) => stopping)),
    services: servicesOf(statuses),
    unreachable: [...unreachable].sort((a, b) => compare(a.memberId, b.memberId)),
  };
}

function compare(a: string, b: string): number {
  if (a === b) return 0;
  return a < b ? -1 : 1;
}

function idsOf(statuses: readonly ProcessStatus[]): string[] {
  return statuses.map(({ memberId }) => memberId).sort(compare);
}

function countStates(members: readonly MemberStatus[]): Record<MemberState, number> {
  const counts = {
    [MemberState.Alive]: 0,
    [MemberState.Suspect]: 0,
    [MemberState.Leaving]: 0,
    [MemberState.Dead]: 0,
  };
  for (const { state } of members) counts[state] += 1;
  return counts;
}

function versionsOf(statuses: readonly ProcessStatus[]): VersionShare[] {
  const versions = new Map<number, ProcessStatus[]>();
  for (const status of statuses) {
    const version = status.configurationVersion;
    versions.set(version, [...(versions.get(version) ?? []), status]);
  }
  return [...versions]
    .map(([version, holders]) => ({ version, processes: idsOf(holders) }))
    .sort((a, b) => b.version - a.version);
}

function servicesOf(statuses: readonly ProcessStatus[]): ServiceView[] {
  const entries = statuses.filter(({ kind }) => kind === MemberKind.Entry);
  const reports = new Map<string, ServiceStatus[]>();
  for (const service of entries.flatMap(({ services }) => services)) {
    reports.set(service.name, [...(reports.get(service.name) ?? []), service]);
  }
  return [...reports]
    .map(([name, services]) => serviceView(name, services))
    .sort((a, b) => compare(a.name, b.name));
}

function serviceView(name: string, reports: readonly ServiceStatus[]): ServiceView {
  const targets = freshestTargets(reports);
  const authority = reports
    .map((report) => report.authority)
    .reduce((best, other) => ((other.fence ?? -1) > (best.fence ?? -1) ? other : best), {
      holder: null,
      fence: null,
    });
  return {
    name,
    readyAt: reports.filter(({ ready }) => ready).length,
    seenBy: reports.length,
    reason: reports.find(({ ready }) => !ready)?.reason ?? '',
    targets,
    roles: countRoles(targets),
    authority: authority.holder,
    fence: authority.fence,
    goodput: sumGoodput(reports.map(({ goodput }) => goodput)),
    promptTokens: sum(reports.map(({ mix }) => mix.promptTokens)),
    outputTokens: sum(reports.map(({ mix }) => mix.outputTokens)),
    roleChanges: sum(reports.map(({ roleChanges }) => roleChanges)),
  };
}

function freshestTargets(reports: readonly ServiceStatus[]): TargetStatus[] {
  const freshest = new Map<string, TargetStatus>();
  for (const target of reports.flatMap(({ targets }) => targets)) {
    const known = freshest.get(target.name);
    if (known === undefined || ageOf(target) < ageOf(known)) freshest.set(target.name, target);
  }
  return [...freshest.values()].sort((a, b) => compare(a.name, b.name));
}

function ageOf({ reportAgeMs }: TargetStatus): number {
  return reportAgeMs ?? Number.POSITIVE_INFINITY;
}

function countRoles(targets: readonly TargetStatus[]): Record<EngineRole, number> {
  const counts = { [EngineRole.Prefill]: 0, [EngineRole.Decode]: 0, [EngineRole.Mixed]: 0 };
  for (const { role } of targets) if (role !== null) counts[role] += 1;
  return counts;
}

function sum(amounts: readonly number[]): number {
  return amounts.reduce((total, amount) => total + amount, 0);
}

function sumGoodput(parts: readonly GoodputStatus[]): GoodputStatus {
  return {
    answered: sum(parts.map(({ answered }) => answered)),
    answeredWithinGoals: sum(parts.map(({ answeredWithinGoals }) => answeredWithinGoals)),
    refusedNotRun: sum(parts.map(({ refusedNotRun }) => refusedNotRun)),
    failed: sum(parts.map(({ failed }) => failed)),
    outputTokens: sum(parts.map(({ outputTokens }) => outputTokens)),
  };
}

/** Rates of a service between two views, per second. */
export interface ServiceRates {
  readonly name: string;
  readonly answeredPerS: number;
  readonly goodputPerS: number;
  readonly refusedPerS: number;
  readonly outputTokensPerS: number;
}

/**
 * Computes the rates between two views. A counter that decreased belongs to a process that has
 * restarted, and is counted from 0.
 */
export function ratesBetween(
  before: FleetView,
  after: FleetView,
  elapsedMs: number,
): readonly ServiceRates[] {
  const previous = new Map(before.services.map(({ name, goodput }) => [name, goodput]));
  const perS = (count: number, previousCount: number | undefined): number =>
    elapsedMs <= 0
      ? 0
      : ((count >= (previousCount ?? 0) ? count - (previousCount ?? 0) : count) * 1_000) /
        elapsedMs;
  return after.services.map(({ name, goodput }) => {
    const previousGoodput = previous.get(name);
    return {
      name,
      answeredPerS: perS(goodput.answered, previousGoodput?.answered),
      goodputPerS: perS(goodput.answeredWithinGoals, previousGoodput?.answeredWithinGoals),
      refusedPerS: perS(goodput.refusedNotRun, previousGoodput?.refusedNotRun),
      outputTokensPerS: perS(goodput.outputTokens, previousGoodput?.outputTokens),
    };
  });
}
