/**
 * The simulated deployment: three entries and four sidecars with their engines in three failure
 * domains, each with the real request machines, on a virtual network and key-value service.
 */
import type {
  AggregatorOptions,
  AggregatorState,
  ClaimClientOptions,
  ClaimClientState,
  RequestMachineOptions,
  EntrySessions,
  Hashing,
  HolderOptions,
  HolderState,
  HostOptions,
  HostState,
  PlacedMembers,
  Placement,
  PoisonOptions,
  PoisonState,
  ProvesAbsence,
  Random,
  RepairOptions,
  RepairState,
  RequestMachine,
  RetryBudget,
  SuspicionTable,
} from '@cassiamast/coordination';
import type { Network } from '../../kit/network.js';
import type { ProcessSlot } from '../../kit/processes.js';
import type { Scheduler } from '../../kit/scheduler.js';
import type { SimulatedEngine } from './engine.js';
import type { SimulatedKeyValue } from './key-value.js';
import type { Oracle } from './oracle.js';

/** All options of the machines, guards included. */
export interface SimulationOptions {
  readonly drive: RequestMachineOptions;
  readonly holder: HolderOptions;
  readonly repair: RepairOptions;
  readonly host: HostOptions;
  readonly aggregator: AggregatorOptions;
  readonly claimClient: ClaimClientOptions;
  readonly poison: PoisonOptions;
  readonly provesAbsence: ProvesAbsence;
  /** How long an earlier submission of a key can matter. */
  readonly absenceHorizonMs: number;
}

/** What a process believes of a member. */
export interface ViewEntry {
  isLive: boolean;
  incarnation: number;
  seenSinceMs: number;
  lastOutOfContactAtMs: number | null;
  /** Last time at which it could be reached, directly or through others. */
  lastReachedMs: number;
}

/** An entry's end of a stream. */
export interface StreamConnection {
  readonly driveId: string;
  readonly connectionId: number;
  readonly sidecar: string;
  expectedSequence: number;
  lastHeardMs: number;
}

/** What a process loses when it dies. */
export interface NodeMemory {
  readonly incarnation: number;
  readonly holder: HolderState;
  readonly repair: RepairState;
  readonly view: Map<string, ViewEntry>;
  placement: Placement;
  readonly placed: PlacedMembers;
  readonly drives: Map<string, RequestMachine>;
  driveCount: number;
  readonly sessions: EntrySessions;
  readonly budget: RetryBudget;
  readonly claimClient: ClaimClientState;
  readonly aggregator: AggregatorState;
  readonly poison: PoisonState;
  readonly suspicions: SuspicionTable;
  readonly connections: Map<string, StreamConnection>;
  /** Only in a sidecar. */
  readonly host: HostState | null;
  readonly streamSequences: Map<string, number>;
  ticks: number;
}

/** A place for a process. */
export interface SimulatedNode {
  readonly id: string;
  readonly failureDomain: string;
  readonly isEntry: boolean;
  readonly slot: ProcessSlot;
  readonly engine: SimulatedEngine | null;
  memory: NodeMemory;
  /** Last time at which it was dead, paused or parted from others. */
  lastTroubledAtMs: number;
  /** Last time at which it was killed or paused. */
  lastDownAtMs: number;
}

/** Everything. */
export interface Simulation {
  readonly scheduler: Scheduler;
  readonly random: Random;
  readonly hashing: Hashing;
  readonly network: Network;
  readonly keyValue: SimulatedKeyValue;
  readonly nodes: readonly SimulatedNode[];
  readonly byId: ReadonlyMap<string, SimulatedNode>;
  readonly options: SimulationOptions;
  readonly oracle: Oracle;
  /** Share of admissions that the policy refuses now. */
  admissionRefusalRatio: number;
  /** Changes whenever reachability may have changed. */
  linkVersion: number;
  reachable: { version: number; readonly byId: Map<string, ReadonlySet<string>> };
}

/** Names of the one service's failure domains. */
export const FAILURE_DOMAINS = ['domain-a', 'domain-b', 'domain-c'];
export const ENTRY_IDS = ['entry-1', 'entry-2', 'entry-3'];
export const SIDECAR_IDS = ['sidecar-1', 'sidecar-2', 'sidecar-3', 'sidecar-4'];
/** The one service. */
export const SERVICE = 'inspect-llm';
