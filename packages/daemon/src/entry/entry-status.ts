/** Reports the status of each service as seen by this entry: targets, planner and counters. */
import {
  type AuthorityStatus,
  type ServiceSpec,
  type ServiceStatus,
  TargetCondition,
  TargetKind,
  type TargetSpec,
  type TargetStatus,
  combineLeavingSigns,
  LeavingSign,
  type Member,
} from '@cassiamast/coordination';
import { formatAddress } from '../node/address.js';
import type { EntryCounters } from './entry-counters.js';
import type { Policies } from './policies.js';
import type { TargetDirectory } from './target-directory.js';

/** Sources of the status report. */
export interface EntryStatusOptions {
  readonly nowMs: () => number;
  readonly services: () => readonly ServiceSpec[];
  readonly directory: TargetDirectory;
  readonly policies: Policies;
  readonly figures: EntryCounters;
  readonly findMember: (memberId: string) => Member | undefined;
  readonly selfId: string;
  readonly authorityOf: (service: string) => { readonly fence: number } | null;
  readonly roleChanges: (service: string) => number;
}

/** Returns the status of all services as seen by this entry. */
export function readServices(options: EntryStatusOptions): readonly ServiceStatus[] {
  return options.services().map((spec) => readService(options, spec));
}

function readService(options: EntryStatusOptions, spec: ServiceSpec): ServiceStatus {
  const targets = spec.targets.map((target) => readTarget(options, spec, target));
  const readyCount = targets.filter((target) => target.condition === TargetCondition.Ready).length;
  const notReady = unreadyDependency(options, spec);
  const ready = readyCount > 0 && notReady === null;
  return {
    name: spec.name,
    kind: spec.kind,
    ready,
    reason: ready ? '' : (notReady ?? 'none of its targets takes work'),
    targets,
    authority: readAuthority(options, spec.name),
    goodput: options.figures.goodput(spec.name),
    mix: options.figures.mix(spec.name),
    roleChanges: options.roleChanges(spec.name),
  };
}

function unreadyDependency(options: EntryStatusOptions, spec: ServiceSpec): string | null {
  const missing = spec.dependsOn.find((name) => options.directory.open(name).length === 0);
  return missing === undefined ? null : `it depends on ${missing}, which has no ready target`;
}

function readAuthority(options: EntryStatusOptions, service: string): AuthorityStatus {
  const authority = options.authorityOf(service);
  return { holder: authority === null ? null : options.selfId, fence: authority?.fence ?? null };
}

function readTarget(
  options: EntryStatusOptions,
  spec: ServiceSpec,
  target: TargetSpec,
): TargetStatus {
  const view = options.policies.models().get(spec.name)?.router.views.get(target.name);
  const report = view?.report ?? null;
  const capacity = report?.kvCapacityTokens ?? 0;
  return {
    name: target.name,
    failureDomain: target.failureDomain,
    condition: conditionOf(options, spec, target, view?.accepting),
    role: spec.kind === TargetKind.ModelEngine ? (view?.role ?? null) : null,
    loadRatio: report === null || capacity === 0 ? null : report.kvUsedTokens / capacity,
    runningRequests: report?.runningRequests ?? 0,
    queuedRequests: report?.waitingRequests ?? 0,
    reportAgeMs: report === null ? null : options.nowMs() - report.atMs,
  };
}

function conditionOf(
  options: EntryStatusOptions,
  spec: ServiceSpec,
  target: TargetSpec,
  accepting: boolean | undefined,
): TargetCondition {
  const sidecar = options.findMember(formatAddress(target.sidecar))?.state ?? null;
  const { withdrawn } = target;
  const signs = combineLeavingSigns({ withdrawn, sidecar, listedLeaving: null });
  if (signs.includes(LeavingSign.NeverSeen) || signs.includes(LeavingSign.Failure)) {
    return TargetCondition.Unreachable;
  }
  if (!options.directory.isOpen(target)) return TargetCondition.Draining;
  const isChanging = spec.kind === TargetKind.ModelEngine && accepting === false;
  return isChanging ? TargetCondition.Changing : TargetCondition.Ready;
}
