/** Switches for the rules of usage reports. Tests turn off one at a time to show that it is needed. */
import { LEASE_OPTIONS, type LeaseGuards } from '../authority/lease-holder.js';

/** The rules that keep reports consistent. */
export interface UsageGuards {
  readonly lease: LeaseGuards;
  /** Whether the lease is checked right before a report is sent. */
  readonly checksLeaseBeforeSend: boolean;
  /** Whether a report waits until others know its counts. */
  readonly waitsUntilKnown: boolean;
  /** Whether a new reporter waits with fixing until the one before it can send no more. */
  readonly waitsForPredecessor: boolean;
  /** Whether a reporter uses the fixed counts that other gateways know. */
  readonly learnsFixedCounts: boolean;
  /** Whether gateways acknowledge nothing to a reporter once a later one has asked. */
  readonly refusesOutdated: boolean;
  /** Whether a report is withheld if a gateway knows other counts. */
  readonly stopsOnContradiction: boolean;
  /** Whether counts are not fixed for a window whose report the store may have lost. */
  readonly leavesOutUncertain: boolean;
  /** Whether gateways write counts again that a store has lost that came back from an older copy. */
  readonly writesLostCounts: boolean;
}

/** All rules. */
export const USAGE_GUARDS: UsageGuards = {
  lease: LEASE_OPTIONS.guards,
  checksLeaseBeforeSend: true,
  waitsUntilKnown: true,
  waitsForPredecessor: true,
  learnsFixedCounts: true,
  refusesOutdated: true,
  stopsOnContradiction: true,
  leavesOutUncertain: true,
  writesLostCounts: true,
};
