/**
 * Where a request may run: one policy per service, asked by the request machine for each attempt.
 * The answer comes at once or when the request's turn in the fair queue has come.
 */
import type { Place } from '@cassiamast/coordination';
import type { PrefillPlace } from '../protocol/stream.js';

/** Where an attempt may run. */
export interface Grant {
  readonly place: Place;
  /** The engine that reads the prompt, where another one writes the answer. */
  readonly reader: PrefillPlace | null;
  /** What slowness is judged against; null where nothing was predicted. */
  readonly predictedFirstTokenMs: number | null;
}

/** An attempt that wants a place. */
export interface PlaceQuestion {
  readonly workspace: string;
  readonly prompt: string;
  readonly maxOutputTokens: number;
  /** Targets that failed this request; to be avoided where others serve. */
  readonly avoidTargets: readonly string[];
  /** How long the request may still take in all. */
  readonly remainingMs: number;
  readonly onGrant: (grant: Grant) => void;
  readonly onRefusal: (reason: string, retryAfterMs: number) => void;
  /** Whether the asker still wants the place. */
  readonly isWanted: () => boolean;
}

/** How an attempt came to its end. */
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
  readonly ask: (question: PlaceQuestion) => void;
  /** A place without queueing, for a lone run of a suspect; null when no target is free. */
  readonly pickAlone: (avoidTargets: readonly string[]) => Place | null;
  readonly noteEnd: (end: AttemptEnd) => void;
  /** To be called every few milliseconds while requests wait. */
  readonly pump: () => void;
  /** Targets whose load reports this entry wants. */
  readonly subset: () => readonly string[];
}
