/** The state of one caller's request, from its last received byte to the end of its answer. */
import type { ServerResponse } from 'node:http';
import type { Route, TurnVersions } from '@cassiamast/coordination';
import type { RequestHead } from '@cassiamast/ports';
import { NO_RETRIES, type RetryReservation } from './retry-budgets.js';

/** A request that was read completely, and the progress of its answer. */
export interface Exchange {
  /** The caller's attempt id, or one that the gateway generated. */
  readonly id: string;
  readonly head: RequestHead;
  readonly route: Route;
  readonly service: string;
  /** Whether the service had engines in the configuration that the route is from. */
  readonly usesEngines: boolean;
  /** IP address of the caller. */
  readonly caller: string;
  /** The workspace that holds the caller's key; null if there is none. */
  readonly workspace: string | null;
  /** Whether the caller's key is for the system, which must not pass it on. */
  readonly hidesKey: boolean;
  /** 0 is the highest priority. */
  readonly priority: number;
  readonly method: string;
  readonly path: string;
  /** Alternating header names and values, as the caller sent them. */
  readonly rawHeaders: readonly string[];
  readonly body: Buffer;
  /** Returns a hash of what the request asks a target to run. */
  readonly content: () => string;
  /** Names of the parts of its prompt that other requests may share. */
  readonly sharedParts: readonly string[];
  readonly receivedAtMs: number;
  /** The caller's deadline or the end of the route's timeout, whichever is earlier. */
  readonly endsAtMs: number;
  readonly response: ServerResponse;
  /** Aborted when the caller disconnects, the deadline passes or the request must not run any more. */
  readonly signal: AbortSignal;
  /** Whether the request must not run any more because it crashes targets. */
  isQuarantined: boolean;
  /** Whether its key was taken away; it may end where it runs, and is sent nowhere else. */
  isRevoked: boolean;
  /** Whether the request tries a rejected content once more, at one target only. */
  isTrial: boolean;
  /** Software version of the engine that brought the first event; null before that event. */
  version: string | null;
  /** Software version of the target that the request was last sent to. */
  sentVersion: string | null;
  /** Versions of the engines that its turns were assigned. */
  readonly turnVersions: TurnVersions;
  /** Whether a target may have run the request. If so, it must not be rejected as not run. */
  mayHaveRun: boolean;
  /** Whether it is counted as one that a target began to run. */
  isCounted: boolean;
  /** Number of times that the request was sent to a target. */
  sends: number;
  /** Number of times that only a prefill of its prompt was sent to a target. */
  prefills: number;
  /** Number of targets that declared that they did not run it. */
  rejections: number;
  /** Retries that are reserved for this request; null before the first one. */
  retries: RetryReservation | null;
  readonly failedTargets: Set<string>;
  /** Time from receipt to the first event of the stream; null before that event. */
  firstEventMs: number | null;
  /** When the last event of the stream was passed on; null before the first one. */
  lastEventAtMs: number | null;
  /** The last target that the request was sent to, for the log. */
  lastTarget: string;
}

/** Returns the names of all that a target runs with a request and that may crash it. */
export function contentsOf({ content, sharedParts }: Exchange): readonly string[] {
  return [content(), ...sharedParts];
}

/** Returns whether the caller's connection is closed. */
export function callerLeft(exchange: Exchange): boolean {
  return exchange.response.destroyed;
}

/** The retries that a send draws on; null for a first send. */
type RetryDraw = Pick<RetryReservation, 'open'> | null;

/** Returns what the next prefill draws on: nothing if it is the first one. */
export function retriesOfPrefill({ prefills, retries }: Exchange): RetryDraw {
  return prefills === 0 ? null : (retries ?? NO_RETRIES);
}

/**
 * Returns what the next run draws on: nothing if it is the first one, and no retry if it may have run
 * at as many targets as the route allows.
 */
export function retriesOfRun({ sends, rejections, retries, route }: Exchange): RetryDraw {
  if (sends === 0) return null;
  const mayRunAgain = sends - rejections < route.maxAttempts;
  return mayRunAgain && retries !== null ? retries : NO_RETRIES;
}

/** Replaces the reserved retries of a request; those that were not used are given back. */
export function replaceRetries(exchange: Exchange, retries: RetryReservation | null): void {
  exchange.retries?.release();
  exchange.retries = retries;
}
