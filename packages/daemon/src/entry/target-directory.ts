/**
 * Which targets of each service take new work, from every sign there is: the operators' text, the
 * membership, the platform's list. Kept per service and worked out anew when a sign changes.
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

/** Where the signs come from. */
export interface TargetDirectoryOptions {
  readonly configuration: () => Configuration | null;
  readonly findMember: (memberId: string) => Member | undefined;
  readonly listedLeaving: (memberId: string) => boolean | null;
}

/** Answers for the services in force. */
export interface TargetDirectory {
  readonly service: (name: string) => ServiceSpec | null;
  /** Targets that take new work. */
  readonly open: (service: string) => readonly TargetSpec[];
  /** All targets as a router wants them. */
  readonly infos: (service: string) => readonly TargetInfo[];
  readonly isOpen: (target: TargetSpec) => boolean;
}

/** Makes the directory. */
export function createTargetDirectory(options: TargetDirectoryOptions): TargetDirectory {
  function service(name: string): ServiceSpec | null {
    const services = options.configuration()?.services ?? [];
    return services.find((candidate) => candidate.name === name) ?? null;
  }

  function isOpen(target: TargetSpec): boolean {
    return hasNoSign(target, stateOf(target));
  }

  function stateOf(target: TargetSpec): MemberState | null {
    return options.findMember(formatAddress(target.sidecar))?.state ?? null;
  }

  function hasNoSign(target: TargetSpec, sidecar: MemberState | null): boolean {
    const listedLeaving = options.listedLeaving(formatAddress(target.sidecar));
    const { withdrawn } = target;
    return combineLeavingSigns({ withdrawn, sidecar, listedLeaving }).length === 0;
  }

  /**
   * The targets that take new work. Guards a service whose targets are all suspect, as when this
   * entry itself stood still for a while: it would refuse everything although nothing is wrong. A
   * suspect that serves is worth a try where the alternative is to refuse.
   */
  function openTargets(name: string): readonly TargetSpec[] {
    const targets = service(name)?.targets ?? [];
    const open = targets.filter(isOpen);
    if (open.length > 0) return open;
    const suspects = targets.filter((target) => stateOf(target) === MemberState.Suspect);
    return suspects.filter((target) => hasNoSign(target, MemberState.Alive));
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
        // Taken over from the first report; until then the role that suits any request.
        role: EngineRole.Mixed,
        accepting: open.has(target.name),
      }));
    },
  };
}
