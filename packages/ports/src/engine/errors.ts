/**
 * Converts an engine's error responses to typed failures. The engine identifies an error by a
 * `code` in an OpenAI-style body: `{"error": {"code": "...", "message": "..."}}`.
 */
import type { Failure } from '@cassiamast/coordination';
import type { JsonObject } from '../http/json.js';
import { asNumber, asObject, asText, parseJsonObject } from '../http/json.js';
import type { ExchangeFailure } from '../http/transport.js';
import * as failures from './failures.js';

/** Error codes of the engine. */
export enum EngineErrorCode {
  FenceOld = 'fence_old',
  NotServing = 'not_serving',
  Overloaded = 'overloaded',
  StreamUnknown = 'stream_unknown',
  /** A stream with this id is or was running on the engine: the request was sent twice. */
  StreamExists = 'stream_exists',
  OrderInProgress = 'order_in_progress',
  OutOfCacheMemory = 'out_of_cache_memory',
  KvTransferFailed = 'kv_transfer_failed',
  ModelUnknown = 'model_unknown',
  Invalid = 'invalid_request',
}

/** The call that an error belongs to, and the address of its engine. */
export interface CallContext {
  readonly call: string;
  readonly address: string;
}

/** Returns the failure for an exchange that failed without a complete response. */
export function troubleFailure(context: CallContext, trouble: ExchangeFailure): Failure {
  const failureKind = trouble.mayHaveRun
    ? failures.ENGINE_ANSWER_LOST
    : failures.ENGINE_UNREACHABLE;
  return failureKind.of({ ...context, mayHaveRun: trouble.mayHaveRun, detail: trouble.detail });
}

/** Returns the failure for a response with an error status. */
export function statusFailure(context: CallContext, status: number, text: string): Failure {
  const error = asObject(parseJsonObject(text)?.error) ?? {};
  return errorFailure(context, status, error, false);
}

/**
 * Returns the failure for an error object. An error within a stream occurs after the engine has
 * started the work. An error response with a known code generally means that the work has not
 * started; codes that leave this open set `mayHaveRun`.
 */
export function errorFailure(
  context: CallContext,
  status: number,
  error: JsonObject,
  inStream: boolean,
): Failure {
  const detail = asText(error.message, 'no reason given');
  const failureData = { ...context, mayHaveRun: inStream, detail };
  const retryAfterMs = asNumber(error.retry_after_ms);
  switch (error.code) {
    case EngineErrorCode.FenceOld:
      return failures.ENGINE_ORDER_FENCED.of({
        ...failureData,
        orderId: asText(error.order_id),
        fence: asNumber(error.fence),
        highestFence: asNumber(error.highest_fence),
      });
    case EngineErrorCode.NotServing:
      return failures.ENGINE_NOT_SERVING.of({ ...failureData, retryAfterMs });
    case EngineErrorCode.Overloaded:
      return failures.ENGINE_OVERLOADED.of({ ...failureData, retryAfterMs });
    case EngineErrorCode.StreamUnknown:
      // The engine may have run the stream before a restart and no longer know it.
      return failures.ENGINE_STREAM_UNKNOWN.of({
        ...failureData,
        mayHaveRun: true,
        streamId: asText(error.stream_id),
      });
    case EngineErrorCode.OutOfCacheMemory:
      return failures.ENGINE_OUT_OF_CACHE_MEMORY.of({ ...failureData, mayHaveRun: true });
    case EngineErrorCode.KvTransferFailed:
      return failures.ENGINE_KV_TRANSFER_FAILED.of(failureData);
    default:
      return failures.ENGINE_REFUSED.of({
        ...failureData,
        mayHaveRun: inStream || status >= 500 || error.code === EngineErrorCode.StreamExists,
        status,
        code: asText(error.code, 'unnamed'),
      });
  }
}
