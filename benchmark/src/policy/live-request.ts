/** A request in a run, from its arrival to its end. */
import type { FairWaiting } from '@cassiamast/coordination';
import type { TraceRequest } from './trace.js';

/** What the run knows of one request. */
export interface LiveRequest {
  readonly trace: TraceRequest;
  /** First token at the caller; NaN until then. */
  firstTokenMs: number;
  slowGaps: number;
  /** Tokens of context when it was last (re)started: prompt and what was written. */
  contextTokens: number;
  leftTokens: number;
  /** When the answer last stood still, for the gap over a transfer or a restart; NaN if it runs. */
  stalledSinceMs: number;
  /** Its place in the queue of its entry, to go back to after a refusal. */
  place: FairWaiting<LiveRequest> | null;
  readonly excluded: Set<string>;
  ended: boolean;
}

/** Makes a request that has just arrived. */
export function liveRequest(trace: TraceRequest): LiveRequest {
  return {
    trace,
    firstTokenMs: Number.NaN,
    slowGaps: 0,
    contextTokens: trace.promptTokens,
    leftTokens: trace.outputTokens,
    stalledSinceMs: Number.NaN,
    place: null,
    excluded: new Set(),
    ended: false,
  };
}
