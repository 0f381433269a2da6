/**
 * Interface to the platform's list of VMs. The list lags: it can show a dead VM as live, or a VM as
 * leaving too late or too early. Callers must combine it with other signals and never rely on it
 * alone.
 */
import type { Failure } from '@cassiamast/coordination';
import type { ResultAsync } from 'neverthrow';

/** State of a VM as reported by the platform. */
export enum VmState {
  Live = 'live',
  Leaving = 'leaving',
}

/** A VM in the list, identified by its address. */
export interface VmListing {
  readonly host: string;
  readonly port: number;
  readonly failureDomain: string;
  readonly state: VmState;
}

/** Calls to the VM list. */
export interface VmListPort {
  readonly list: () => ResultAsync<readonly VmListing[], Failure>;
}
