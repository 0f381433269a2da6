/** The shapes of the retries world: gateways that share the retry budget of one failing service. */
import type {
  Random,
  RetryWindow,
  RetryWindowOptions,
  ShareKnowledge,
  allowanceShare,
  closeWindowRetry,
  openWindowRetry,
  reserveWindowRetries,
} from '@cassiamast/coordination';
import type { FaultCounts } from '../../kit/faults.js';
import type { Scheduler } from '../../kit/scheduler.js';

export const PLACES = 5;
export const MAX_PLACES = 8;
export const BUDGET: RetryWindowOptions = { windowMs: 10_000, ratio: 0.2, slack: 58 };
export const LEASE_TTL_MS = 3000;

/** The guards of all gateways. */
export interface RetriesOptions {
  readonly share: typeof allowanceShare;
  readonly open: typeof openWindowRetry;
  readonly close: typeof closeWindowRetry;
  readonly reserve: typeof reserveWindowRetries;
  /** Returns whether a gateway that found the key of the first start may still take part in it. */
  readonly joinsAfterKey: boolean;
}

/** An announcement in the store. */
export interface Announcement {
  readonly revision: number;
  readonly leaseId: number;
}

/** The store: announcements with leases, and the key of the first start. */
export interface SimulatedStore {
  revision: number;
  readonly announced: Map<string, Announcement>;
  /** Ends of leases, by lease. */
  readonly leasesUntilMs: Map<number, number>;
  /** All announcements ever made, by revision. */
  readonly history: { readonly revision: number; readonly id: string }[];
  firstStartRevision: number | null;
  /** Time that each call takes. */
  delayMs: number;
  isRejecting: boolean;
}

/** One process of a gateway. */
export interface SimulatedProcess {
  readonly id: string;
  readonly knowledge: ShareKnowledge;
  readonly window: RetryWindow;
  leaseId: number | null;
  /** The revision as of which it has read the fleet. */
  readRevision: number;
  isAlive: boolean;
  pausedUntilMs: number;
  /** Time for which its monotonic clock stood still. */
  suspendedMs: number;
}

/** A VM with a gateway. */
export interface Place {
  readonly index: number;
  process: SimulatedProcess;
  isCut: boolean;
  requestsPerS: number;
}

/** The whole world. */
export interface Simulation {
  readonly scheduler: Scheduler;
  readonly random: Random;
  readonly counts: FaultCounts;
  readonly options: RetriesOptions;
  readonly store: SimulatedStore;
  readonly places: Place[];
  /** Number of processes that were replaced. */
  replaced: number;
  leases: number;
  /** Whether targets break off all answers. */
  isFailing: boolean;
  /** Whether retries that are decided on wait. */
  isHolding: boolean;
  readonly held: (() => void)[];
  readonly requestsAtMs: number[];
  readonly furtherAtMs: number[];
}
