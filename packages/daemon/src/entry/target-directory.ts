/**
 * Which targets of each service take new work, from every sign there is: the operators' text, the
 * membership, the platform's list. Kept per service and worked out anew when a sign changes.
 */
import {
  type Configuration,
  EngineRole,
  type Member,
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
    const memberId = formatAddress(target.sidecar);
    const signs = combineLeavingSigns({
      withdrawn: target.withdrawn,
      sidecar: options.findMember(memberId)?.state ?? null,
      listedLeaving: options.listedLeaving(memberId),
    });
    return signs.length === 0;
  }

  return {
    service,
    isOpen,
    open: (name) => (service(name)?.targets ?? []).filter(isOpen),
    infos: (name) =>
      (service(name)?.targets ?? []).map((target) => ({
        name: target.name,
        failureDomain: target.failureDomain,
        // Taken over from the first report; until then the role that suits any request.
        role: EngineRole.Mixed,
        accepting: isOpen(target),
      })),
  };
}
