/**
 * The types of the departures world: one gateway, the store that it polls, and targets that leave in
 * every way, or ask for a back-off.
 */
import type {
  AnnouncedAvailability,
  FleetChange,
  FleetView,
  PollInterval,
  Random,
  StoreContact,
  applyListing,
  latestGraceEndMs,
  recordBackOff,
} from '@cassiamast/coordination';
import type { FaultCounts } from '../../kit/faults.js';
import type { Scheduler } from '../../kit/scheduler.js';

export const SERVICE = 'plain';
export const TARGET_COUNT = 4;

/** The guards of the gateway. */
export interface DeparturesOptions {
  readonly recordBackOff: typeof recordBackOff;
  readonly applyListing: typeof applyListing;
  /** The era that the gateway takes the store's answers for. */
  readonly eraOfStore: (store: SimulatedStore) => number;
  readonly latestGraceEndMs: typeof latestGraceEndMs;
  /** Called when a call got no answer. */
  readonly renewConnections: (simulation: Simulation) => void;
  /** Called after each answer of the store was recorded. */
  readonly afterStoreAnswer: (simulation: Simulation) => void;
  /** Called when the store tells that an entry was removed. */
  readonly afterRemoval: (simulation: Simulation, name: string) => void;
  /** Time at which a back-off begins, from the send and the receipt of its answer. */
  readonly backOffFromMs: (sentAtMs: number, receivedAtMs: number) => number;
}

/** One start of a target. */
export interface SimulatedTarget {
  readonly name: string;
  /** Whether its answers announce that it is shutting down. */
  isLeaving: boolean;
  /** Until when it turns requests away and asks for a back-off; 0 if it never did. */
  turnsAwayUntilMs: number;
  backOffMs: number;
  /** When the store acknowledged that it is draining or gone; null while it is listed as ready. */
  leftAtMs: number | null;
  /** Whether it left without an entry that says so. */
  isVanished: boolean;
  /** Whether the gateway has used it. */
  isKnown: boolean;
  /** Whether the gateway knew from the store that it is draining or gone. */
  isKnownGone: boolean;
  /** When the gateway first received an answer that announced its departure. */
  toldLeavingAtMs: number | null;
  /** End of the last back-off that the gateway was asked for. */
  backOffUntilMs: number;
}

/** A request that the gateway sent, with what was true at that moment. */
export interface Send {
  readonly target: SimulatedTarget;
  /** Time since the gateway received an answer that announced the departure; null if none. */
  readonly toldForMs: number | null;
  /** Time that the back-off that the target asked for still lasts. */
  readonly backOffLeftMs: number;
  /** Time since the store acknowledged the departure; null if it did not, or does not answer. */
  readonly leftForMs: number | null;
  readonly isKnownGone: boolean;
}

/** The store: its changes by its own revisions, and whether it answers. */
export interface SimulatedStore {
  revision: number;
  /** Rises with each return from an older copy. */
  era: number;
  changes: FleetChange[];
  isDown: boolean;
  /** When it last began to answer. */
  upSinceMs: number;
  /** Ends the wait of the gateway's watch, if one waits. */
  notify: () => void;
}

/** A connection to the store; calls on one that is silent get no answer. */
export interface SimulatedConnection {
  isSilent: boolean;
}

/** The whole world. */
export interface Simulation {
  readonly scheduler: Scheduler;
  readonly random: Random;
  readonly counts: FaultCounts;
  readonly options: DeparturesOptions;
  readonly store: SimulatedStore;
  readonly targets: SimulatedTarget[];
  readonly view: FleetView;
  readonly availability: AnnouncedAvailability;
  readonly pace: PollInterval;
  /** Time within which a change of the store must be applied. */
  readonly applyWithinMs: number;
  /** Time after an interruption from which the gateway counts as in touch. */
  readonly contactMs: number;
  readonly contact: StoreContact;
  connection: SimulatedConnection;
  /** When the connection in use last went silent. */
  silentSinceMs: number;
  /** Pause of the gateway after its last answer of the store. */
  pauseMs: number;
  /** Sends since the last check. */
  sends: Send[];
  startedTargets: number;
}
