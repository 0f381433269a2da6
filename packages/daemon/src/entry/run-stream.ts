/**
 * The stream that a delivery reads: one at a time, opened or joined as the request machine asks,
 * held back while the caller is slow. What comes in it is told as events of the machine.
 */
import {
  type DriveEffect,
  DriveEffectKind,
  type DriveEvent,
  DriveEventKind,
  type DriveRequest,
  StreamFailureReason,
  passOnBudget,
} from '@cassiamast/coordination';
import type { MemberStream, MemberStreamHandlers } from '../node/rpc-client.js';
import { RpcMethod } from '../protocol/methods.js';
import {
  type Payload,
  PayloadKind,
  type PlainPayload,
  type PrefillPlace,
  type StreamOutcome,
  StreamOutcomeKind,
  type StreamTokensParams,
} from '../protocol/stream.js';
import type { RunServices } from './run-services.js';

const MS_PER_S = 1_000;

/** Events that a stream makes. */
type StreamEvent = Extract<
  DriveEvent,
  {
    kind:
      | DriveEventKind.StreamOpened
      | DriveEventKind.StreamTokens
      | DriveEventKind.StreamEnded
      | DriveEventKind.StreamFailed;
  }
>;

/** What a stream needs. */
export interface RunStreamOptions {
  readonly services: RunServices;
  readonly request: DriveRequest;
  readonly payload: Payload;
  readonly remainingMs: () => number;
  /** The engine that reads the prompt for the present attempt, or null. */
  readonly reader: () => PrefillPlace | null;
  readonly onEvent: (event: StreamEvent) => void;
}

/** The stream of one delivery. */
export interface RunStream {
  readonly open: (
    effect: Extract<DriveEffect, { kind: DriveEffectKind.Dispatch | DriveEffectKind.Attach }>,
  ) => void;
  /** Closes the stream if it is this connection's. */
  readonly closeIf: (connectionId: number) => void;
  readonly close: () => void;
  /** The caller is slow: nothing is read until `readOn`. */
  readonly holdBack: () => void;
  readonly readOn: () => void;
}

/** Reasons for which the target, and not the request or the traffic, is to blame. */
const TARGETS_FAULTS: ReadonlySet<StreamFailureReason> = new Set([
  StreamFailureReason.ConnectionLost,
  StreamFailureReason.Lost,
  StreamFailureReason.EngineFailed,
  StreamFailureReason.EngineCrashed,
]);

/** Whether a failed stream speaks against its target. */
export function isTargetsFault(reason: StreamFailureReason): boolean {
  return TARGETS_FAULTS.has(reason);
}

/** Makes the stream; nothing is open yet. */
export function createRunStream(options: RunStreamOptions): RunStream {
  const { services } = options;
  let open: { readonly connectionId: number; readonly reading: MemberStream } | null = null;
  let isHeldBack = false;

  function payloadFor(): Payload {
    const { payload } = options;
    if (payload.kind === PayloadKind.Plain) return withDeadline(payload, options.remainingMs());
    return { ...payload, reader: options.reader() };
  }

  function handlersOf(connectionId: number): MemberStreamHandlers {
    return {
      onNotification: (method, params) => {
        if (method === (RpcMethod.StreamOpened as string)) {
          services.noteLoad(params);
          options.onEvent({ kind: DriveEventKind.StreamOpened, connectionId });
          return;
        }
        const { index, tokens } = params as StreamTokensParams;
        options.onEvent({ kind: DriveEventKind.StreamTokens, connectionId, index, tokens });
      },
      onResult: (result) => {
        const outcome = result as StreamOutcome;
        if (outcome.kind === StreamOutcomeKind.Ended) {
          const { end } = outcome;
          options.onEvent({ kind: DriveEventKind.StreamEnded, connectionId, end });
          return;
        }
        const { failure } = outcome;
        options.onEvent({ kind: DriveEventKind.StreamFailed, connectionId, failure });
      },
      onFailure: () => {
        const failure = CONNECTION_LOST;
        options.onEvent({ kind: DriveEventKind.StreamFailed, connectionId, failure });
      },
    };
  }

  return {
    open: (effect) => {
      const { connectionId, attempt, record } = effect;
      const isDispatch = effect.kind === DriveEffectKind.Dispatch;
      const method = isDispatch ? RpcMethod.StreamOpen : RpcMethod.StreamAttach;
      const { continueFrom, remainingMs } = isDispatch ? effect : NO_DISPATCH;
      const params = isDispatch
        ? { attempt, record, continueFrom, remainingMs, payload: payloadFor() }
        : { attempt, record, fromIndex: effect.fromIndex };
      const handlers = handlersOf(connectionId);
      const reading = services.rpc.stream(attempt.sidecar, method, params, handlers);
      open = { connectionId, reading };
      if (isHeldBack) reading.pause();
    },
    closeIf: (connectionId) => {
      if (open?.connectionId !== connectionId) return;
      open.reading.close();
      open = null;
    },
    close: () => {
      open?.reading.close();
      open = null;
    },
    holdBack: () => {
      isHeldBack = true;
      open?.reading.pause();
    },
    readOn: () => {
      isHeldBack = false;
      open?.reading.resume();
    },
  };
}

/** A plain service that calls on within its own work must be done before its caller's deadline. */
function withDeadline(payload: PlainPayload, remainingMs: number): PlainPayload {
  const passed = passOnBudget({ remainingMs, retriesLeft: 0 }, 0);
  if (passed === null) return payload;
  const waitS = Math.max(1, Math.floor(passed.remainingMs / MS_PER_S));
  return { ...payload, headers: { ...payload.headers, prefer: `wait=${String(waitS)}` } };
}

const NO_DISPATCH = { continueFrom: [], remainingMs: 0 } as const;

const CONNECTION_LOST = {
  reason: StreamFailureReason.ConnectionLost,
  mayHaveRun: true,
  record: null,
  retryAfterMs: 0,
} as const;
