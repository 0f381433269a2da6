/**
 * Manages the stream from a sidecar that a request reads. At most one stream is open, either newly
 * dispatched or attached to a running attempt. It is paused while the caller is slow, and its
 * notifications become events of the request state machine.
 */
import {
  type RequestEffect,
  RequestEffectKind,
  type RequestEvent,
  RequestEventKind,
  type CallerRequest,
  StreamFailureReason,
  deriveInnerBudget,
} from '@cassiamast/coordination';
import type { MemberStream, MemberStreamHandlers } from '../node/rpc-client.js';
import { RpcMethod } from '../protocol/methods.js';
import {
  type Payload,
  PayloadKind,
  type PlainPayload,
  type PrefillLocation,
  type StreamOutcome,
  StreamOutcomeKind,
  type StreamTokensParams,
} from '../protocol/stream.js';
import type { RunServices } from './run-services.js';

const MS_PER_S = 1_000;

/** Events that a stream emits. */
type StreamEvent = Extract<
  RequestEvent,
  {
    kind:
      | RequestEventKind.StreamOpened
      | RequestEventKind.StreamTokens
      | RequestEventKind.StreamEnded
      | RequestEventKind.StreamFailed;
  }
>;

/** Options of a stream. */
export interface RunStreamOptions {
  readonly services: RunServices;
  readonly request: CallerRequest;
  readonly payload: Payload;
  readonly remainingMs: () => number;
  /** Returns the prefill engine of the current attempt, or null. */
  readonly reader: () => PrefillLocation | null;
  readonly onEvent: (event: StreamEvent) => void;
}

/** The stream of one request. */
export interface RunStream {
  readonly open: (
    effect: Extract<RequestEffect, { kind: RequestEffectKind.Dispatch | RequestEffectKind.Attach }>,
  ) => void;
  /** Closes the stream if it belongs to this connection. */
  readonly closeIf: (connectionId: number) => void;
  readonly close: () => void;
  /** Stops reading until `resume`, because the caller is slow. */
  readonly pause: () => void;
  readonly resume: () => void;
}

/** Failure reasons caused by the target rather than by the request or the load. */
const TARGET_FAULT_REASONS: ReadonlySet<StreamFailureReason> = new Set([
  StreamFailureReason.ConnectionLost,
  StreamFailureReason.Lost,
  StreamFailureReason.EngineFailed,
  StreamFailureReason.EngineCrashed,
]);

/** Returns whether a stream failure counts as a failure of its target. */
export function isTargetFault(reason: StreamFailureReason): boolean {
  return TARGET_FAULT_REASONS.has(reason);
}

/** Creates a stream manager without an open stream. */
export function createRunStream(options: RunStreamOptions): RunStream {
  const { services } = options;
  let current: { readonly connectionId: number; readonly memberStream: MemberStream } | null = null;
  let isPaused = false;

  function payloadFor(): Payload {
    const { payload } = options;
    if (payload.kind === PayloadKind.Plain) return withDeadline(payload, options.remainingMs());
    return { ...payload, reader: options.reader() };
  }

  function handlersOf(connectionId: number): MemberStreamHandlers {
    return {
      onNotification: (method, params) => {
        if (method === (RpcMethod.StreamOpened as string)) {
          services.acceptLoadReport(params);
          options.onEvent({ kind: RequestEventKind.StreamOpened, connectionId });
          return;
        }
        const { index, tokens } = params as StreamTokensParams;
        options.onEvent({ kind: RequestEventKind.StreamTokens, connectionId, index, tokens });
      },
      onResult: (result) => {
        const outcome = result as StreamOutcome;
        if (outcome.kind === StreamOutcomeKind.Ended) {
          const { end } = outcome;
          options.onEvent({ kind: RequestEventKind.StreamEnded, connectionId, end });
          return;
        }
        const { failure } = outcome;
        options.onEvent({ kind: RequestEventKind.StreamFailed, connectionId, failure });
      },
      onFailure: () => {
        const failure = CONNECTION_LOST;
        options.onEvent({ kind: RequestEventKind.StreamFailed, connectionId, failure });
      },
    };
  }

  return {
    open: (effect) => {
      const { connectionId, attempt, record } = effect;
      const isDispatch = effect.kind === RequestEffectKind.Dispatch;
      const method = isDispatch ? RpcMethod.StreamOpen : RpcMethod.StreamAttach;
      const { continueFrom, remainingMs } = isDispatch ? effect : NO_DISPATCH_FIELDS;
      const params = isDispatch
        ? { attempt, record, continueFrom, remainingMs, payload: payloadFor() }
        : { attempt, record, fromIndex: effect.fromIndex };
      const handlers = handlersOf(connectionId);
      const memberStream = services.rpc.stream(attempt.sidecar, method, params, handlers);
      current = { connectionId, memberStream };
      if (isPaused) memberStream.pause();
    },
    closeIf: (connectionId) => {
      if (current?.connectionId !== connectionId) return;
      current.memberStream.close();
      current = null;
    },
    close: () => {
      current?.memberStream.close();
      current = null;
    },
    pause: () => {
      isPaused = true;
      current?.memberStream.pause();
    },
    resume: () => {
      isPaused = false;
      current?.memberStream.resume();
    },
  };
}

/**
 * Sets the `prefer: wait` header to the remaining time, so that a plain service that makes further
 * calls completes before its caller's deadline.
 */
function withDeadline(payload: PlainPayload, remainingMs: number): PlainPayload {
  const forwardedBudget = deriveInnerBudget({ remainingMs, retriesLeft: 0 }, 0);
  if (forwardedBudget === null) return payload;
  const waitS = Math.max(1, Math.floor(forwardedBudget.remainingMs / MS_PER_S));
  return { ...payload, headers: { ...payload.headers, prefer: `wait=${String(waitS)}` } };
}

const NO_DISPATCH_FIELDS = { continueFrom: [], remainingMs: 0 } as const;

const CONNECTION_LOST = {
  reason: StreamFailureReason.ConnectionLost,
  mayHaveRun: true,
  record: null,
  retryAfterMs: 0,
} as const;
