/**
 * Whether a target gets new work, from whichever sign of its leaving comes first. The signs come
 * from four sources that lag in different ways; none of them can take back what another says,
 * because new work on a leaving target is a cut request later, while a spared target costs little.
 */
import { MemberState } from '../model/member.js';

/** What speaks against giving a target new work. */
export enum LeavingSign {
  /** The platform's list names its VM as leaving. */
  VmList = 'vm-list',
  /** The operators' text withdraws it. */
  Withdrawn = 'withdrawn',
  /** Its own sidecar announced it. */
  OwnSignal = 'own-signal',
  /** It missed probes, or is dead. */
  Failure = 'failure',
  /** Its sidecar was never heard of. */
  NeverSeen = 'never-seen',
}

/** The four sources, each as last heard. */
export interface LeavingSources {
  /** Null when the list is unknown, does not name the VM, or is too old to be believed. */
  readonly listedLeaving: boolean | null;
  readonly withdrawn: boolean;
  /** The belief about the sidecar beside the target; null when it was never heard of. */
  readonly sidecar: MemberState | null;
}

/** All signs against new work; new work is allowed when there is none. */
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
