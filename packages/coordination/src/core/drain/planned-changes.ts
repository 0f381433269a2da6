/**
 * Decides which planned changes may start. The planner of a service calls this before it drains a
 * target, so that concurrent changes never take a service below its floor, the minimum number of
 * serving targets, or remove a service that others still depend on. A change that cannot be delayed,
 * such as the departure of a VM, starts at once and counts against the floor, so others wait for it.
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

/** A request to take a target out of service. */
export interface ChangeRequest {
  readonly id: string;
  readonly kind: ChangeKind;
  readonly service: string;
  readonly target: string;
  /** Whether the target leaves regardless of the decision. */
  readonly forced: boolean;
  readonly requestedAtMs: number;
}

/** The state of a target, as known to the planner. */
export interface TargetSnapshot {
  readonly name: string;
  readonly failureDomain: string;
  /** Whether the target accepts new work. */
  readonly serving: boolean;
}

/** The state of a service and its targets, as known to the planner. */
export interface ServiceSnapshot {
  readonly name: string;
  readonly dependsOn: readonly string[];
  readonly floorTargets: number;
  /** Whether the service was deleted from the configuration; it stops once no service depends on it. */
  readonly removed: boolean;
  readonly targets: readonly TargetSnapshot[];
}

/** Reasons why a change has to wait. */
export enum WaitReason {
  Floor = 'floor',
  /** A target in another failure domain of the service is being changed. */
  OtherDomain = 'other-domain',
  Dependents = 'dependents',
  UnknownTarget = 'unknown-target',
}

/** The decision on all change requests. */
export interface ChangeDecision {
  readonly admitted: readonly ChangeRequest[];
  readonly waiting: readonly { readonly request: ChangeRequest; readonly reason: WaitReason }[];
}

/** A rule that decides whether a change leaves enough serving targets. */
export type KeepsFloor = (servingAfter: number, floorTargets: number) => boolean;

/** The default rule: at least `floorTargets` targets keep serving. */
export const keepsFloor: KeepsFloor = (servingAfter, floorTargets) => servingAfter >= floorTargets;

/** Maximum number of queued change requests. */
export const MAX_CHANGES = 1_024;

/**
 * Adds a change request; a request whose id is already queued changes nothing. Errors:
 * `too-many-changes`.
 */
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

/** Returns the names of the services that depend on this one and still accept work. */
function servingDependents(service: string, services: readonly ServiceSnapshot[]): string[] {
  return services
    .filter((other) => other.dependsOn.includes(service))
    .filter((other) => other.targets.some((target) => target.serving))
    .map((other) => other.name);
}

function floorOf(service: ServiceSnapshot, services: readonly ServiceSnapshot[]): number {
  if (!service.removed) return service.floorTargets;
  // A removed service must keep serving until the last of its dependents is drained.
  return servingDependents(service.name, services).length === 0
    ? 0
    : Math.max(1, service.floorTargets);
}

/** The remaining capacity of a service while requests are admitted one by one. */
interface RemainingService {
  readonly service: ServiceSnapshot;
  readonly floorTargets: number;
  readonly serving: Set<string>;
  /** Failure domain of the changes in progress or admitted so far; null when there are none. */
  domain: string | null;
}

function admit(remaining: RemainingService, target: TargetSnapshot): void {
  remaining.serving.delete(target.name);
  remaining.domain ??= target.failureDomain;
}

function findWaitReason(
  remaining: RemainingService,
  target: TargetSnapshot,
  guard: KeepsFloor,
): WaitReason | null {
  if (!remaining.serving.has(target.name)) return null;
  const { service, floorTargets, domain } = remaining;
  if (!guard(remaining.serving.size - 1, floorTargets)) {
    const isHeldByDependents = service.removed && floorTargets > 0;
    return isHeldByDependents ? WaitReason.Dependents : WaitReason.Floor;
  }
  // Concurrent changes in two failure domains could leave no intact domain to fail over to.
  if (!service.removed && domain !== null && domain !== target.failureDomain) {
    return WaitReason.OtherDomain;
  }
  return null;
}

function compareUrgency(one: ChangeRequest, other: ChangeRequest): number {
  if (one.forced !== other.forced) return one.forced ? -1 : 1;
  return one.requestedAtMs - other.requestedAtMs || (one.id < other.id ? -1 : 1);
}

/**
 * Decides on all queued requests together. `changingTargets` names those whose change was admitted
 * earlier and is in progress: they count as not serving, and their requests are skipped.
 */
export function admitChanges(
  services: readonly ServiceSnapshot[],
  requests: readonly ChangeRequest[],
  changingTargets: ReadonlySet<string>,
  guard: KeepsFloor = keepsFloor,
): ChangeDecision {
  const remaining = new Map<string, RemainingService>();
  for (const service of services) {
    const serving = service.targets.filter(
      ({ name, serving: isServing }) => isServing && !changingTargets.has(name),
    );
    const firstChanging = service.targets.find((target) => changingTargets.has(target.name));
    remaining.set(service.name, {
      service,
      floorTargets: floorOf(service, services),
      serving: new Set(serving.map((target) => target.name)),
      domain: firstChanging?.failureDomain ?? null,
    });
  }
  const admitted: ChangeRequest[] = [];
  const waiting: { request: ChangeRequest; reason: WaitReason }[] = [];
  const pendingRequests = requests.filter((request) => !changingTargets.has(request.target));
  for (const request of pendingRequests.sort(compareUrgency)) {
    const remainingService = remaining.get(request.service);
    const target = remainingService?.service.targets.find((known) => known.name === request.target);
    if (remainingService === undefined || target === undefined) {
      waiting.push({ request, reason: WaitReason.UnknownTarget });
      continue;
    }
    const reason = request.forced ? null : findWaitReason(remainingService, target, guard);
    if (reason !== null) {
      waiting.push({ request, reason });
      continue;
    }
    admit(remainingService, target);
    admitted.push(request);
  }
  return { admitted, waiting };
}
