/**
 * Types of the processes in the membership, as members see each other.
 */
import type { Address } from './configuration.js';

/** The kinds of daemon processes. */
export enum MemberKind {
  Entry = 'entry',
  Sidecar = 'sidecar',
}

/** State of a member in the membership. */
export enum MemberState {
  Alive = 'alive',
  /** Has missed probes. It still counts as alive for records but gets no new work if avoidable. */
  Suspect = 'suspect',
  /** Has announced that it is shutting down and gets no new work. */
  Leaving = 'leaving',
  Dead = 'dead',
}

/** A process in the membership. */
export interface Member {
  /** Address as `host:port`. Unique, because only one process can bind it. */
  readonly id: string;
  readonly kind: MemberKind;
  readonly address: Address;
  readonly failureDomain: string;
  /** The target beside a sidecar; empty for an entry. */
  readonly target: string;
  /**
   * Chosen at each start and increased to refute a suspicion. The higher number is the newer state.
   */
  readonly incarnation: number;
  readonly state: MemberState;
}
