/**
 * What callers and targets say in headers and small bodies, as typed values. An adapter translates;
 * it decides nothing.
 */
import type { PromptPart } from '@cassiamast/coordination';

/** What a caller says of its request. */
export interface RequestHead {
  /** New with each attempt of a caller; null when it sent none. */
  readonly attemptId: string | null;
  /** How long the caller waits; null when it does not say. */
  readonly patienceMs: number | null;
  /** The parts of its prompt in order; empty where there are none. */
  readonly parts: readonly PromptPart[];
  /** Most tokens that the answer may have. */
  readonly outputTokens: number;
  /** Where a stream goes on; null at its beginning. */
  readonly lastEventId: string | null;
}

/** Prompt memory that another engine keeps. */
export interface PromptHandle {
  /** `host:port` of the engine that keeps it. */
  readonly address: string;
  readonly handle: string;
}

/** What a target is told beside the caller's own headers. */
export interface Directions {
  /** Name of the target that is meant; another one at the same address refuses. */
  readonly targetName: string;
  /** How long the caller still waits. */
  readonly patienceMs: number;
  /** Only read the prompt, and keep it for another engine. */
  readonly readOnly: boolean;
  /** Go on from a prompt that was read elsewhere. */
  readonly from: PromptHandle | null;
  /** `host:port` of an engine that hands over the parts that this one lacks. */
  readonly fetchFrom: string | null;
  /** Go on after this event of the stream. */
  readonly lastEventId: string | null;
}

/** What a target says of its answer. */
export interface AnswerHead {
  readonly status: number;
  /** The attempt that it answers; null when it does not say. */
  readonly attemptId: string | null;
  /** It vouches that the request did not run there. */
  readonly notRun: boolean;
  /** Whether the body was encoded on the way, so that it is not the target's own. */
  readonly encoded: boolean;
  /** Requests a second that the target takes from all gateways together; null where it names none. */
  readonly limitPerS: number | null;
  /** Names of headers that the adapter does not know, in lower case. */
  readonly unknownHeaders: readonly string[];
}

/** An answer of the gateway's own. */
export interface OwnAnswer {
  readonly status: number;
  /** Text of the body. */
  readonly reason: string;
  /** When to come back, null where that does not help. */
  readonly retryAfterMs: number | null;
}

/** Translates between headers and values. Header lists have names and values in turn. */
export interface CallerWire {
  readonly readinessPath: string;
  readonly readRequest: (headers: Readonly<Record<string, unknown>>) => RequestHead;
  /** The headers for a target: the caller's, less those of one connection, and the directions. */
  readonly targetHeaders: (rawHeaders: readonly string[], directions: Directions) => string[];
  readonly readAnswer: (status: number, headers: Readonly<Record<string, string>>) => AnswerHead;
  /** The headers for the caller: the target's, less those of one connection. */
  readonly callerHeaders: (rawHeaders: readonly string[]) => string[];
  readonly ownHeaders: (answer: OwnAnswer) => Readonly<Record<string, string>>;
  /** The handle in the answer to a request that was only read; null when it holds none. */
  readonly readHandle: (body: Buffer) => string | null;
  /** Path of the DELETE that frees a handle. */
  readonly handlePath: (handle: string) => string;
}
