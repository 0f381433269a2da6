/**
 * The platform's list of VMs, which lags: a VM may be listed live when it is dead, or as leaving
 * late or early. One sign among several, never the only one.
 */
import type { Failure } from '@cassiamast/coordination';
import type { ResultAsync } from 'neverthrow';

/** What the platform says of a VM. */
export enum VmState {
  Live = 'live',
  Leaving = 'leaving',
}

/** One VM, found by its address. */
export interface VmListing {
  readonly host: string;
  readonly port: number;
  readonly failureDomain: string;
  readonly state: VmState;
}

/** Calls to the list. */
export interface VmListPort {
  readonly list: () => ResultAsync<readonly VmListing[], Failure>;
}
