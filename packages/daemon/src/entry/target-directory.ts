/**
 * Determines which targets of each service accept new work. Combines the leaving signs from the
 * operators' configuration, the membership and the platform's VM list.
 */
import {
  type Configuration,
  EngineRole,
  type Member,
  MemberState,
  type ServiceSpec,
  type TargetInfo,
  type TargetSpec,
  combineLeavingSigns,
} from '@cassiamast/coordination';
import { formatAddress } from '../node/address.js';

/** Sources of the leaving signs. */
export interface TargetDirectoryOptions {
  readonly configuration: () => Configuration | null;
  readonly findMember: (memberId: string) => Member | undefined;
  readonly listedLeaving: (memberId: string) => boolean | null;
}

/** Looks up the services and targets of the current configuration. */
export interface TargetDirectory {
  readonly service: (name: string) => ServiceSpec | null;
  /** Returns the targets that accept new work. */
  readonly open: (service: string) => readonly TargetSpec[];
  /** Returns all targets in the form that routers use. */
  readonly infos: (service: string) => readonly TargetInfo[];
  readonly isOpen: (target: TargetSpec) => boolean;
}

/** Creates the target directory. */
export function createTargetDirectory(options: TargetDirectoryOptions): TargetDirectory {
  function service(name: string): ServiceSpec | null {
    const services = options.configuration()?.services ?? [];
    return services.find((candidate) => candidate.name === name) ?? null;
  }

  function isOpen(target: TargetSpec): boolean {
    return hasNoLeavingSign(target, stateOf(target));
  }

  function stateOf(target: TargetSpec): MemberState | null {
    return options.findMember(formatAddress(target.sidecar))?.state ?? null;
  }

  function hasNoLeavingSign(target: TargetSpec, sidecar: MemberState | null): boolean {
    const listedLeaving = options.listedLeaving(formatAddress(target.sidecar));
    const { withdrawn } = target;
    return combineLeavingSigns({ withdrawn, sidecar, listedLeaving }).length === 0;
  }

  /**
   * Returns the targets that accept new work, or the suspects when there are none. An event loop
   * stall of this entry can make it suspect all targets although they work. Trying a suspect is
   * better than rejecting every request.
   */
  function openTargets(name: string): readonly TargetSpec[] {
    const targets = service(name)?.targets ?? [];
    const open = targets.filter(isOpen);
    if (open.length > 0) return open;
    const suspects = targets.filter((target) => stateOf(target) === MemberState.Suspect);
    return suspects.filter((target) => hasNoLeavingSign(target, MemberState.Alive));
  }

  return {
    service,
    isOpen,
    open: openTargets,
    infos: (name) => {
      const open = new Set(openTargets(name).map((target) => target.name));
      return (service(name)?.targets ?? []).map((target) => ({
        name: target.name,
        failureDomain: target.failureDomain,
        // A role that suits any request, until the first load report provides the actual role.
        role: EngineRole.Mixed,
        accepting: open.has(target.name),
      }));
    },
  };
}
