/** One request of a caller, from its last byte to the end of its answer. */
import type { ServerResponse } from 'node:http';
import type { Route } from '@cassiamast/coordination';
import type { RequestHead } from '@cassiamast/ports';

/** A request that was read whole. */
export interface Exchange {
  /** The caller's attempt id, or one of the gateway's own. */
  readonly id: string;
  readonly head: RequestHead;
  readonly route: Route;
  readonly service: string;
  /** IP address of the caller. */
  readonly caller: string;
  readonly method: string;
  readonly path: string;
  /** Names and values in turn, as the caller sent them. */
  readonly rawHeaders: readonly string[];
  readonly body: Buffer;
  readonly receivedAtMs: number;
  /** When the caller leaves or the route's time is up, whichever is first. */
  readonly endsAtMs: number;
  readonly response: ServerResponse;
  /** Aborted when the caller leaves or the time is up. */
  readonly signal: AbortSignal;
  /** Whether a target may have run it, so that no refusal may say otherwise. */
  mayHaveRun: boolean;
  /** Targets that it was sent to. */
  sends: number;
  readonly failedTargets: Set<string>;
  /** Time to the first event of a stream, null before it. */
  firstEventMs: number | null;
  /** The last target that it was sent to, for the log. */
  lastTarget: string;
}

/** Whether the exchange is over because the caller left. */
export function callerLeft(exchange: Exchange): boolean {
  return exchange.response.destroyed;
}
