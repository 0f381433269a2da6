/** The shapes of the authority world: processes with the real machines, engines, service, oracle. */
import type {
  ConfigOptions,
  ConfigState,
  GateOptions,
  GateState,
  Hashing,
  LeaseOptions,
  LeaseState,
  Member,
  MembershipOptions,
  MembershipState,
  OrderState,
  Random,
} from '@cassiamast/coordination';
import type { Network } from '../../kit/network.js';
import type { ProcessSlot } from '../../kit/processes.js';
import type { Scheduler } from '../../kit/scheduler.js';
import type { SimulatedEngine } from './engine.js';
import type { SimulatedService } from './key-value.js';
import type { Oracle } from './oracle.js';

/** Entries, which stand for planning. */
export const ENTRY_IDS = ['10.0.0.1:7000', '10.0.0.2:7000', '10.0.0.3:7000'];
/** Sidecars, each beside an engine; every other engine ignores fencing numbers. */
export const SIDECAR_IDS = ['10.0.1.1:7000', '10.0.1.2:7000', '10.0.1.3:7000', '10.0.1.4:7000'];
/** All processes. */
export const ALL_IDS = [...ENTRY_IDS, ...SIDECAR_IDS];
/** Failure domains, dealt out in turn. */
export const FAILURE_DOMAINS = ['fd-1', 'fd-2', 'fd-3'];
/** The key-value service as an end of a link. */
export const SERVICE_ID = 'key-value';

/** Options of all machines, guards included. */
export interface AuthorityOptions {
  readonly membership: MembershipOptions;
  readonly config: ConfigOptions;
  readonly lease: LeaseOptions;
  readonly gate: GateOptions;
  /** Whether an editor looks for its own edit before it sends one. */
  readonly editorReadsBack: boolean;
}

/** What a process loses when it is killed. */
export interface NodeMemory {
  readonly membership: MembershipState;
  /** The members that membership's effects have told of, as they were told last. */
  readonly toldMembers: Map<string, Member>;
  readonly config: ConfigState;
  readonly lease: LeaseState | null;
  readonly gate: GateState | null;
  /** Orders under way by the sidecar they go to. */
  readonly orders: Map<string, OrderState>;
}

/** One process. */
export interface SimulatedNode {
  readonly id: string;
  readonly index: number;
  readonly failureDomain: string;
  readonly slot: ProcessSlot;
  readonly engine: SimulatedEngine | null;
  memory: NodeMemory;
}

/** The whole world. */
export interface Simulation {
  readonly scheduler: Scheduler;
  readonly random: Random;
  readonly hashing: Hashing;
  readonly network: Network;
  readonly service: SimulatedService;
  readonly nodes: SimulatedNode[];
  readonly byId: Map<string, SimulatedNode>;
  readonly options: AuthorityOptions;
  readonly oracle: Oracle;
  /** Share of orders that an engine takes up seconds after they were written. */
  lateOrderRatio: number;
  /** Whether planners give orders by themselves. */
  ordersFlow: boolean;
  lastId: number;
}
