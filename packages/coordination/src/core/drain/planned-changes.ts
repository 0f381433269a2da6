/**
 * Which planned changes may begin now. The planner of a service asks before it drains a target, so
 * that several changes together never take a service below its floor, nor a service away from under
 * those that depend on it. What cannot be put off, such as a VM that leaves anyway, begins at once
 * and is counted, so that others wait for it.
 */
import type { Result } from 'neverthrow';
import { err, ok } from 'neverthrow';
import type { Failure } from '../failures/failure.js';
import { tooManyChanges } from './failures.js';

/** Why a target is taken out of service. */
export enum ChangeKind {
  RoleChange = 'role-change',
  Load = 'load',
  Withdrawal = 'withdrawal',
  Replacement = 'replacement',
}

/** A change that someone wants. */
export interface ChangeRequest {
  readonly id: string;
  readonly kind: ChangeKind;
  readonly service: string;
  readonly target: string;
  /** The target goes away whatever is decided. */
  readonly forced: boolean;
  readonly askedAtMs: number;
}

/** A target as the planner sees it. */
export interface TargetStanding {
  readonly name: string;
  readonly failureDomain: string;
  /** Takes new work now. */
  readonly serving: boolean;
}

/** A service as the planner sees it. */
export interface ServiceStanding {
  readonly name: string;
  readonly dependsOn: readonly string[];
  readonly floorTargets: number;
  /** No longer in the configuration: goes away once nobody depends on it. */
  readonly removed: boolean;
  readonly targets: readonly TargetStanding[];
}

/** Why a change waits. */
export enum WaitReason {
  Floor = 'floor',
  /** Another failure domain of the service is being changed. */
  OtherDomain = 'other-domain',
  Dependents = 'dependents',
  UnknownTarget = 'unknown-target',
}

/** The decision on all requests. */
export interface ChangeDecision {
  readonly admitted: readonly ChangeRequest[];
  readonly waiting: readonly { readonly request: ChangeRequest; readonly reason: WaitReason }[];
}

/** Whether a change leaves enough targets; a guard. */
export type KeepsFloor = (servingAfter: number, floorTargets: number) => boolean;

/** The guard in place. */
export const keepsFloor: KeepsFloor = (servingAfter, floorTargets) => servingAfter >= floorTargets;

/** Bound on the requests that are kept. */
export const MAX_CHANGES = 1_024;

/** Adds a request. Errors: `too-many-changes`. Asked for again, it keeps its place. */
export function addChange(
  requests: Map<string, ChangeRequest>,
  request: ChangeRequest,
): Result<null, Failure> {
  if (requests.has(request.id)) return ok(null);
  if (requests.size >= MAX_CHANGES) {
    return err(tooManyChanges.of({ maxChanges: MAX_CHANGES, change: request.id }));
  }
  requests.set(request.id, request);
  return ok(null);
}

/** Services that still take work and depend on this one. */
function servingDependents(service: string, services: readonly ServiceStanding[]): string[] {
  return services
    .filter((other) => other.dependsOn.includes(service))
    .filter((other) => other.targets.some((target) => target.serving))
    .map((other) => other.name);
}

function floorOf(service: ServiceStanding, services: readonly ServiceStanding[]): number {
  if (!service.removed) return service.floorTargets;
  // A removed service keeps serving until the last of its dependents has been drained.
  return servingDependents(service.name, services).length === 0
    ? 0
    : Math.max(1, service.floorTargets);
}

/** What is left of a service while requests are admitted one after the other. */
interface Remaining {
  readonly service: ServiceStanding;
  readonly floorTargets: number;
  readonly serving: Set<string>;
  /** Failure domain of the changes admitted so far. */
  domain: string | null;
}

function admit(remaining: Remaining, target: TargetStanding): void {
  remaining.serving.delete(target.name);
  remaining.domain ??= target.failureDomain;
}

function reasonToWait(
  remaining: Remaining,
  target: TargetStanding,
  guard: KeepsFloor,
): WaitReason | null {
  if (!remaining.serving.has(target.name)) return null;
  const { service, floorTargets, domain } = remaining;
  if (!guard(remaining.serving.size - 1, floorTargets)) {
    const heldByDependents = service.removed && floorTargets > 0;
    return heldByDependents ? WaitReason.Dependents : WaitReason.Floor;
  }
  // Changes in two domains at once would leave no whole domain to fail over to.
  if (!service.removed && domain !== null && domain !== target.failureDomain) {
    return WaitReason.OtherDomain;
  }
  return null;
}

function byUrgency(one: ChangeRequest, other: ChangeRequest): number {
  if (one.forced !== other.forced) return one.forced ? -1 : 1;
  return one.askedAtMs - other.askedAtMs || (one.id < other.id ? -1 : 1);
}

/**
 * Decides on all requests together, the admitted ones of earlier decisions included: ask with
 * `underWay` naming the targets whose change has begun; they are counted and not asked about again.
 */
export function admitChanges(
  services: readonly ServiceStanding[],
  requests: readonly ChangeRequest[],
  underWay: ReadonlySet<string>,
  guard: KeepsFloor = keepsFloor,
): ChangeDecision {
  const remaining = new Map<string, Remaining>();
  for (const service of services) {
    const serving = service.targets.filter(({ name, serving: is }) => is && !underWay.has(name));
    const changing = service.targets.find((target) => underWay.has(target.name));
    remaining.set(service.name, {
      service,
      floorTargets: floorOf(service, services),
      serving: new Set(serving.map((target) => target.name)),
      domain: changing?.failureDomain ?? null,
    });
  }
  const admitted: ChangeRequest[] = [];
  const waiting: { request: ChangeRequest; reason: WaitReason }[] = [];
  const open = requests.filter((request) => !underWay.has(request.target));
  for (const request of open.sort(byUrgency)) {
    const left = remaining.get(request.service);
    const target = left?.service.targets.find((known) => known.name === request.target);
    if (left === undefined || target === undefined) {
      waiting.push({ request, reason: WaitReason.UnknownTarget });
      continue;
    }
    const reason = request.forced ? null : reasonToWait(left, target, guard);
    if (reason !== null) {
      waiting.push({ request, reason });
      continue;
    }
    admit(left, target);
    admitted.push(request);
  }
  return { admitted, waiting };
}
