/** The shapes of the changes world: one service's targets, its senders, its planner, the store. */
import type {
  ChangeRequest,
  DrainOptions,
  DrainState,
  KeepsFloor,
  LoadOptions,
  LoadState,
  Random,
} from '@cassiamast/coordination';
import type { FaultCounts } from '../../kit/faults.js';
import type { Scheduler } from '../../kit/scheduler.js';

/** Targets of the service, over three failure domains. */
export const TARGET_COUNT = 6;
/** The least that planned changes leave serving. */
export const FLOOR_TARGETS = 3;
/** Entries that send work. */
export const SENDER_COUNT = 3;

/** Options of all machines, guards included. */
export interface ChangesOptions {
  readonly drain: DrainOptions;
  readonly loads: LoadOptions;
  readonly keepsFloor: KeepsFloor;
}

/** One target. */
export interface SimulatedTarget {
  readonly name: string;
  readonly failureDomain: string;
  isAlive: boolean;
  /** Whether its engine holds the model. */
  isLoaded: boolean;
  drain: DrainState;
  /** Running work by id. */
  readonly running: Set<number>;
  /** What each sender believes of its willingness, which lags. */
  readonly believedOpen: boolean[];
  /** Raised at each failure, so that nothing of an earlier life goes on. */
  life: number;
}

/** The whole world. */
export interface Simulation {
  readonly scheduler: Scheduler;
  readonly random: Random;
  readonly counts: FaultCounts;
  readonly options: ChangesOptions;
  readonly targets: SimulatedTarget[];
  readonly requests: Map<string, ChangeRequest>;
  readonly loads: LoadState;
  readonly store: {
    active: number;
    /** Concurrent fetches that it serves; further ones are told to slow down. */
    capacity: number;
    /** When it told somebody to slow down, within the last {@link REFUSAL_WINDOW_MS}. */
    refusedAtMs: number[];
  };
  lastWork: number;
}

/** Refusals of the store are counted over this time. */
export const REFUSAL_WINDOW_MS = 30_000;
