/**
 * Interface for the platform's HTTP headers and small bodies, exchanged with callers and targets.
 * An implementation converts them to and from typed values and makes no decisions.
 */
import type { PromptPart } from '@cassiamast/coordination';

/** The parsed headers of a caller's request. */
export interface RequestHead {
  /** Differs for each attempt of a caller; null if the caller sent none. */
  readonly attemptId: string | null;
  /** How long the caller waits for the answer; null if the caller does not specify it. */
  readonly remainingTimeMs: number | null;
  /** The parts of the prompt in order; empty if there are none. */
  readonly parts: readonly PromptPart[];
  /** Maximum number of tokens in the answer. */
  readonly outputTokens: number;
  /** The last event that the caller has received; null to start at the beginning. */
  readonly lastEventId: string | null;
  /**
   * The attempt that brought the first event of the stream that the caller takes up; null if it does
   * not take one up.
   */
  readonly resumes: string | null;
  /** The header with the key of the caller's workspace. */
  readonly authorization: string | undefined;
}

/** Identifies the KV cache of a prompt that another engine keeps. */
export interface PromptHandle {
  /** `host:port` of the engine that keeps the cache. */
  readonly address: string;
  readonly handle: string;
}

/** Instructions for a target, sent in addition to the caller's headers. */
export interface TargetInstructions {
  /** Name of the addressed target; another target at the same address rejects the request. */
  readonly targetName: string;
  /** Remaining time until the caller stops waiting. */
  readonly remainingTimeMs: number;
  /** Whether to run the prefill only and keep the KV cache for another engine. */
  readonly prefillOnly: boolean;
  /** The KV cache of a prefill on another engine to decode from; null if there is none. */
  readonly from: PromptHandle | null;
  /** `host:port` of an engine from which to fetch missing prompt parts; null if there is none. */
  readonly fetchFrom: string | null;
  /** The event of the stream to continue after; null to start at the beginning. */
  readonly lastEventId: string | null;
  /** The workspace that holds the caller's key; null if there is none. */
  readonly workspace: string | null;
  /** Whether the caller's key is for the system, which must not pass it on. */
  readonly hidesKey: boolean;
  /**
   * Priority at the target, 0 being the most urgent; implementations clamp it to the range that
   * targets accept. Null if the target is not told any.
   */
  readonly priority: number | null;
}

/** What a response of a target says about the target itself. */
export interface TargetAnnouncement {
  /** Requests per second the target accepts from all gateways together; null if not announced. */
  readonly limitPerS: number | null;
  /** Whether the target is shutting down and should receive no further requests. */
  readonly isLeaving: boolean;
  /** Time in which the target wants no requests of this gateway; null if not announced. */
  readonly backOffMs: number | null;
}

/** The announcement of a response that says nothing about its target. */
export const NOTHING_ANNOUNCED: TargetAnnouncement = {
  limitPerS: null,
  isLeaving: false,
  backOffMs: null,
};

/** The status and the parsed headers of a target's response. */
export interface AnswerHead extends TargetAnnouncement {
  readonly status: number;
  /** The attempt that the response belongs to; null if the target does not state it. */
  readonly attemptId: string | null;
  /** Whether the target guarantees that the request has not run there. */
  readonly notRun: boolean;
  /** Whether the body was encoded in transit and differs from the one that the target sent. */
  readonly encoded: boolean;
  /**
   * Whether the headers tell where the body ends. The end of any other body is that of its connection,
   * which may be a crash.
   */
  readonly hasKnownEnd: boolean;
  /** Lower-case names of headers that the implementation does not know. */
  readonly unknownHeaders: readonly string[];
}

/** A response that the gateway generates itself. */
export interface GatewayResponse {
  readonly status: number;
  /** The response body. */
  readonly reason: string;
  /** When the caller should retry; null if a retry is not useful. */
  readonly retryAfterMs: number | null;
}

/** Converts between HTTP and typed values. Header lists alternate names and values. */
export interface CallerWire {
  readonly readinessPath: string;
  readonly readRequest: (headers: Readonly<Record<string, unknown>>) => RequestHead;
  /** Returns the caller's headers without hop-by-hop headers, plus the instructions. */
  readonly targetHeaders: (
    rawHeaders: readonly string[],
    directions: TargetInstructions,
  ) => string[];
  readonly readAnswer: (status: number, headers: Readonly<Record<string, string>>) => AnswerHead;
  /** Returns the target's headers without hop-by-hop headers. */
  readonly callerHeaders: (rawHeaders: readonly string[]) => string[];
  readonly gatewayResponseHeaders: (answer: GatewayResponse) => Readonly<Record<string, string>>;
  /** Returns the KV cache handle in the response to a prefill request; null if there is none. */
  readonly readHandle: (body: Buffer) => string | null;
  /** Returns the path for the DELETE request that releases a handle. */
  readonly handlePath: (handle: string) => string;
}
