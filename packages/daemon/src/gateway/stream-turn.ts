/**
 * One turn of a request at engines: what it was granted, and how it may end. What happens in it is
 * reported to the gateway that schedules.
 */
import type { JobEventKind, Plan, TargetEntry } from '@cassiamast/coordination';
import type { Exchange } from './exchange.js';
import type { ForwardingServices } from './forwarding-services.js';
import type { StreamRelay } from './stream-relay.js';

/** One turn of an exchange at engines. */
export interface Turn {
  readonly exchange: Exchange;
  readonly services: ForwardingServices;
  readonly relay: StreamRelay;
  readonly jobId: string;
  readonly schedulerId: string;
  readonly plan: Plan;
}

/** How a turn ended. */
export enum TurnEnd {
  Delivered = 'delivered',
  /** Nothing ran; another turn may be taken. */
  NotRun = 'not-run',
  /** Nothing was sent: what was granted is leaving, as this gateway knows and the scheduler not. */
  NotServing = 'not-serving',
  /** The stream broke off, or may have run unseen. */
  Broken = 'broken',
  Stopped = 'stopped',
}

/** A target failed the request: it is tried no more for it, and the scheduler hears of it. */
export function noteFailed(turn: Turn, target: TargetEntry, kind: JobEventKind): void {
  turn.exchange.failedTargets.add(target.id);
  report(turn, kind, target.id);
}

/** Tells the scheduler what became of the turn at a target. */
export function report(turn: Turn, kind: JobEventKind, target: string): void {
  const { exchange, services } = turn;
  services.scheduling.report(exchange.service, turn.schedulerId, kind, turn.jobId, target);
}
