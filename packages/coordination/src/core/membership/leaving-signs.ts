/**
 * Decides whether a target gets new work, based on the signs that it is leaving. The signs come
 * from four sources with different lag, and any one of them stops new work. No source can override
 * another, because new work on a leaving target ends in an interrupted request, while an idle
 * target costs little.
 */
import { MemberState } from '../model/member.js';

/** Reasons to give a target no new work. */
export enum LeavingSign {
  /** The platform's VM list marks its VM as leaving. */
  VmList = 'vm-list',
  /** The operators' configuration withdraws it. */
  Withdrawn = 'withdrawn',
  /** Its own sidecar announced that it is leaving. */
  OwnSignal = 'own-signal',
  /** Its sidecar is suspect or dead. */
  Failure = 'failure',
  /** Its sidecar is unknown. */
  NeverSeen = 'never-seen',
}

/** Latest information from the four sources. */
export interface LeavingSources {
  /** Null when the VM list is unknown or too old, or does not contain the VM. */
  readonly listedLeaving: boolean | null;
  readonly withdrawn: boolean;
  /** State of the sidecar that runs beside the target; null when it is unknown. */
  readonly sidecar: MemberState | null;
}

/** Returns all reasons against new work. New work is allowed when there is none. */
export function combineLeavingSigns(sources: LeavingSources): readonly LeavingSign[] {
  const signs: LeavingSign[] = [];
  if (sources.withdrawn) signs.push(LeavingSign.Withdrawn);
  if (sources.listedLeaving === true) signs.push(LeavingSign.VmList);
  if (sources.sidecar === MemberState.Leaving) signs.push(LeavingSign.OwnSignal);
  if (sources.sidecar === null) signs.push(LeavingSign.NeverSeen);
  if (sources.sidecar === MemberState.Suspect || sources.sidecar === MemberState.Dead) {
    signs.push(LeavingSign.Failure);
  }
  return signs;
}
