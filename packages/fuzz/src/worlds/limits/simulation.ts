/** The shapes of the limits world: gateways that share the rate limit of one target. */
import type {
  Permits,
  Random,
  RateLimiter,
  lendShare,
  recordBorrowedShare,
} from '@cassiamast/coordination';
import type { FaultCounts } from '../../kit/faults.js';
import type { Scheduler } from '../../kit/scheduler.js';

export const GATEWAY_COUNT = 5;
export const SERVICE = 'plain';
export const TARGET = { id: 'target-0', service: SERVICE };
export const LIMIT_PER_S = 3;

/** The guards of all gateways. */
export interface LimitsOptions {
  readonly lend: typeof lendShare;
  readonly noteBorrowed: typeof recordBorrowedShare;
}

/** One gateway. */
export interface SimulatedGateway {
  readonly index: number;
  limiter: RateLimiter;
  permits: Permits;
  /** The gateway that it takes for the one that decides. */
  decider: number;
  frozenUntilMs: number;
  /** Until when what it sends is excused: it was killed or stood still. */
  excusedUntilMs: number;
  /** Raised at each kill, so that nothing of an earlier life goes on. */
  life: number;
  /** Requests a second that callers send to it. */
  demandPerS: number;
}

/** A request that reached the target. */
export interface Arrival {
  readonly atMs: number;
  readonly isExcused: boolean;
}

/** The whole world. */
export interface Simulation {
  readonly scheduler: Scheduler;
  readonly random: Random;
  readonly counts: FaultCounts;
  readonly options: LimitsOptions;
  readonly gateways: SimulatedGateway[];
  /** Pairs that can't reach each other, as `from/to`. */
  readonly cut: Set<string>;
  readonly arrivals: Arrival[];
  /** What the target names; null where it names none. */
  limitPerS: number | null;
  namedAtMs: number;
  answers: number;
}
