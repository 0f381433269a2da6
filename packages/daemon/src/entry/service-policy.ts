/**
 * The interface of a service's placement policy, which assigns a target to each attempt of a
 * request. The result arrives immediately or when the request reaches the head of the fair queue.
 */
import type { Place } from '@cassiamast/coordination';
import type { PrefillLocation } from '../protocol/stream.js';

/** The placement granted to an attempt. */
export interface Grant {
  readonly place: Place;
  /** The prefill engine, when it differs from the decode engine. */
  readonly reader: PrefillLocation | null;
  /** Predicted time to first token, used to detect slow targets; null without a prediction. */
  readonly predictedFirstTokenMs: number | null;
}

/** A request for the placement of an attempt. */
export interface PlacementRequest {
  readonly workspace: string;
  readonly prompt: string;
  readonly maxOutputTokens: number;
  /** Targets that failed this request; avoided when others are available. */
  readonly avoidTargets: readonly string[];
  /** Time until the request's deadline. */
  readonly remainingMs: number;
  readonly onGrant: (grant: Grant) => void;
  readonly onRefusal: (reason: string, retryAfterMs: number) => void;
  /** Returns whether the requester still needs the placement. */
  readonly isWanted: () => boolean;
}

/** The outcome of an attempt. */
export interface AttemptEnd {
  readonly target: string;
  readonly workspace: string;
  readonly promptTokens: number;
  readonly outputTokens: number;
  readonly whole: boolean;
  readonly failed: boolean;
  readonly firstTokenMs: number | null;
  readonly predictedFirstTokenMs: number | null;
}

/** The policy of one service at one entry. */
export interface ServicePolicy {
  readonly requestPlacement: (question: PlacementRequest) => void;
  /**
   * Returns a target without queueing, for a lone run: an attempt of a suspected crash-causing
   * request that runs without any other request beside it. Null when no target is available.
   */
  readonly pickForLoneRun: (avoidTargets: readonly string[]) => Place | null;
  readonly recordAttemptEnd: (end: AttemptEnd) => void;
  /** Must be called every few milliseconds while requests are queued. */
  readonly pump: () => void;
  /** Returns the targets whose load reports this entry needs. */
  readonly subset: () => readonly string[];
}
