/**
 * Failures of calls to a model engine. `mayHaveRun` is false only if the engine certainly did no
 * work for the request, because a gateway may then report the request as not run.
 */
import { defineFailure } from '@cassiamast/coordination';

/** Data of every failed engine call. */
export interface EngineCallData {
  readonly call: string;
  readonly address: string;
  readonly mayHaveRun: boolean;
  readonly detail: string;
}

/** No connection could be established, so the engine did not receive the call. */
export const ENGINE_UNREACHABLE = defineFailure({
  name: 'engine-unreachable',
  title: 'The engine cannot be reached',
  message: (data: EngineCallData) => `${data.call} at ${data.address}: ${data.detail}.`,
  hint: 'Look whether the engine runs and whether the address of its target is right.',
});

/** The connection failed or the timeout expired before the response was complete. */
export const ENGINE_ANSWER_LOST = defineFailure({
  name: 'engine-answer-lost',
  title: 'The engine gave no whole answer',
  message: (data: EngineCallData) => `${data.call} at ${data.address}: ${data.detail}.`,
  hint: 'Read the state of the engine, or resume the stream, before the call is repeated.',
});

/** The engine is changing its role or loading a model and accepts no work at the moment. */
export const ENGINE_NOT_SERVING = defineFailure({
  name: 'engine-not-serving',
  title: 'The engine takes no work now',
  message: (data: EngineCallData & { readonly retryAfterMs: number }) =>
    `${data.call} at ${data.address}: ${data.detail}.`,
  hint: 'Send the request to another engine, or again when the order in progress is done.',
});

/** The engine's queue is full. */
export const ENGINE_OVERLOADED = defineFailure({
  name: 'engine-overloaded',
  title: 'The engine has too many requests waiting',
  message: (data: EngineCallData & { readonly retryAfterMs: number }) =>
    `${data.call} at ${data.address}: ${data.detail}.`,
  hint: 'Send the request to another engine, or again later.',
});

/**
 * The engine rejected the call. `mayHaveRun` is false unless the status is 5xx, the error occurred
 * within a stream, or the stream id was already in use.
 */
export const ENGINE_REFUSED = defineFailure({
  name: 'engine-refused',
  title: 'The engine refused the call',
  message: (data: EngineCallData & { readonly status: number; readonly code: string }) =>
    `${data.call} at ${data.address}: status ${String(data.status)} ${data.code}, ${data.detail}.`,
  hint: 'Compare the request with the models and limits of the service.',
});

/** The order's fencing token is lower than one that the engine has already seen. */
export const ENGINE_ORDER_FENCED = defineFailure({
  name: 'engine-order-fenced',
  title: 'The engine refused an order from an old holder of the planner lease',
  message: (
    data: EngineCallData & {
      readonly orderId: string;
      readonly fence: number;
      readonly highestFence: number;
    },
  ) =>
    `Order ${data.orderId} carries fence ${String(data.fence)}, ` +
    `the engine has seen ${String(data.highestFence)}.`,
  hint: 'Nothing to do: the planner that gave the order has been replaced.',
});

/** The engine does not know the stream: it ended long ago, or the engine has restarted. */
export const ENGINE_STREAM_UNKNOWN = defineFailure({
  name: 'engine-stream-unknown',
  title: 'The engine does not know the stream',
  message: (data: EngineCallData & { readonly streamId: string }) =>
    `${data.address} does not know the stream ${data.streamId}.`,
  hint: 'Continue the answer with a new request that carries the tokens received so far.',
});

/** The engine aborted a running request because its KV cache ran out of memory. */
export const ENGINE_OUT_OF_CACHE_MEMORY = defineFailure({
  name: 'engine-out-of-cache-memory',
  title: 'The engine ran out of cache memory in the middle of an answer',
  message: (data: EngineCallData) => `${data.call} at ${data.address}: ${data.detail}.`,
  hint: 'Continue the answer on another engine with the tokens received so far.',
});

/** The KV cache could not be exported or imported completely. */
export const ENGINE_KV_TRANSFER_FAILED = defineFailure({
  name: 'engine-kv-transfer-failed',
  title: 'KV cache could not be moved',
  message: (data: EngineCallData) => `${data.call} at ${data.address}: ${data.detail}.`,
  hint: 'Let the receiving engine compute the prefix itself.',
});

/** The engine's response does not follow the protocol. */
export const ENGINE_PROTOCOL = defineFailure({
  name: 'engine-protocol',
  title: 'The engine answered in a form that is not understood',
  message: (data: EngineCallData) => `${data.call} at ${data.address}: ${data.detail}.`,
  hint: 'Check that the address is an engine and that its protocol version fits.',
});
