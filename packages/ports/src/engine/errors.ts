/**
 * From an engine's error answers to typed failures. The engine names its errors by a `code` in an
 * OpenAI-style body: `{"error": {"code": "...", "message": "..."}}`.
 */
import type { Failure } from '@cassiamast/coordination';
import type { JsonObject } from '../http/json.js';
import { asNumber, asObject, asText, parseJsonObject } from '../http/json.js';
import type { Trouble } from '../http/transport.js';
import * as failures from './failures.js';

/** Codes of the engine's errors. */
export enum EngineErrorCode {
  FenceOld = 'fence_old',
  NotServing = 'not_serving',
  Overloaded = 'overloaded',
  StreamUnknown = 'stream_unknown',
  /** A stream with this id is or was running here: the request was sent twice. */
  StreamExists = 'stream_exists',
  OrderInProgress = 'order_in_progress',
  OutOfCacheMemory = 'out_of_cache_memory',
  KvTransferFailed = 'kv_transfer_failed',
  ModelUnknown = 'model_unknown',
  Invalid = 'invalid_request',
}

/** The call an error belongs to. */
export interface CallPlace {
  readonly call: string;
  readonly address: string;
}

/** The failure for an exchange that gave no answer. */
export function troubleFailure(place: CallPlace, trouble: Trouble): Failure {
  const kind = trouble.mayHaveRun ? failures.ENGINE_ANSWER_LOST : failures.ENGINE_UNREACHABLE;
  return kind.of({ ...place, mayHaveRun: trouble.mayHaveRun, detail: trouble.detail });
}

/** The failure for an answer with an error status. */
export function statusFailure(place: CallPlace, status: number, text: string): Failure {
  const error = asObject(parseJsonObject(text)?.error) ?? {};
  return errorFailure(place, status, error, false);
}

/**
 * The failure for an error object. One that ends a stream comes after the work has begun; one in
 * place of an answer comes before, if its name is known.
 */
export function errorFailure(
  place: CallPlace,
  status: number,
  error: JsonObject,
  inStream: boolean,
): Failure {
  const detail = asText(error.message, 'no reason given');
  const refused = { ...place, mayHaveRun: inStream, detail };
  const retryAfterMs = asNumber(error.retry_after_ms);
  switch (error.code) {
    case EngineErrorCode.FenceOld:
      return failures.ENGINE_ORDER_FENCED.of({
        ...refused,
        orderId: asText(error.order_id),
        fence: asNumber(error.fence),
        highestFence: asNumber(error.highest_fence),
      });
    case EngineErrorCode.NotServing:
      return failures.ENGINE_NOT_SERVING.of({ ...refused, retryAfterMs });
    case EngineErrorCode.Overloaded:
      return failures.ENGINE_OVERLOADED.of({ ...refused, retryAfterMs });
    case EngineErrorCode.StreamUnknown:
      // Unknown now says nothing of the past: the engine may have run it before a restart.
      return failures.ENGINE_STREAM_UNKNOWN.of({
        ...refused,
        mayHaveRun: true,
        streamId: asText(error.stream_id),
      });
    case EngineErrorCode.OutOfCacheMemory:
      return failures.ENGINE_OUT_OF_CACHE_MEMORY.of({ ...refused, mayHaveRun: true });
    case EngineErrorCode.KvTransferFailed:
      return failures.ENGINE_KV_TRANSFER_FAILED.of(refused);
    default:
      return failures.ENGINE_REFUSED.of({
        ...refused,
        mayHaveRun: inStream || status >= 500 || error.code === EngineErrorCode.StreamExists,
        status,
        code: asText(error.code, 'unnamed'),
      });
  }
}
