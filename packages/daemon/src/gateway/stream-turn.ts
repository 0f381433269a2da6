/**
 * One turn of a request at the engines: the engines it was granted and how it may end. Its events
 * are reported to the gateway that runs the scheduler.
 */
import type { JobEventKind, Plan, TargetEntry } from '@cassiamast/coordination';
import type { Exchange } from './exchange.js';
import type { ForwardingServices } from './forwarding-services.js';
import type { AttemptProgress } from './open-attempts.js';
import type { StreamRelay } from './stream-relay.js';

/** One turn of a request at the engines that the scheduler granted it. */
export interface Turn {
  readonly exchange: Exchange;
  readonly services: ForwardingServices;
  readonly relay: StreamRelay;
  readonly jobId: string;
  readonly schedulerId: string;
  readonly plan: Plan;
  readonly progress: AttemptProgress;
}

/** How a turn ended. */
export enum TurnEnd {
  Delivered = 'delivered',
  /** The request did not run; another turn may be taken. */
  NotRun = 'not-run',
  /** Nothing was sent: a granted engine is leaving, which the scheduler did not know yet. */
  NotServing = 'not-serving',
  /** The retry budget had no room left when the request was to be sent. */
  OverBudget = 'over-budget',
  /** The stream broke off, or may have run without an answer. */
  Broken = 'broken',
  Stopped = 'stopped',
}

/** Excludes a failed target from the request's further turns and notifies the scheduler. */
export function reportFailed(turn: Turn, target: TargetEntry, kind: JobEventKind): void {
  turn.exchange.failedTargets.add(target.id);
  report(turn, kind, target.id);
}

/** Reports an event of the turn at a target to the scheduler. */
export function report(turn: Turn, kind: JobEventKind, target: string): void {
  const { exchange, services } = turn;
  services.scheduling.report(exchange.service, turn.schedulerId, kind, turn.jobId, target);
}
