/**
 * Converts between the engine port's types and the engine's JSON: OpenAI completions with extension
 * fields in snake case. docs/design/outside-systems.md describes each field.
 */
import { EngineRole } from '@cassiamast/coordination';
import type { JsonObject } from '../http/json.js';
import { asList, asMember, asNumber, asObject, asText } from '../http/json.js';
import type {
  CacheEvent,
  EngineChunk,
  EngineLoad,
  EngineOrder,
  EngineRequest,
  EngineState,
} from './port.js';
import { CacheEventKind, EngineChunkKind, FinishReason } from './port.js';

/** Builds the body of `POST /v1/completions`. */
export function completionBody(request: EngineRequest): JsonObject {
  return {
    model: request.model,
    prompt: request.prompt,
    max_tokens: request.maxTokens,
    temperature: request.temperature,
    seed: request.seed,
    stream: true,
    adapter: request.adapter,
    stream_id: request.streamId,
    priority: request.priority,
    continue_from: request.continueFrom,
    kv_handle: request.kvHandle,
    prefill_only: request.prefillOnly,
  };
}

/** Parses one event of a stream; returns null if it does not follow the protocol. */
export function readChunk(body: JsonObject): EngineChunk | null {
  const choice = asObject(asList(body.choices)[0]);
  if (choice === null) return null;
  if (choice.finish_reason === null || choice.finish_reason === undefined) {
    const tokens = asList(body.tokens).map((token) => asText(token));
    return { kind: EngineChunkKind.Tokens, index: asNumber(body.token_index), tokens };
  }
  const reason = asMember(FinishReason, choice.finish_reason);
  const usage = asObject(body.usage);
  if (reason === null || usage === null) return null;
  return {
    kind: EngineChunkKind.Finished,
    reason,
    promptTokens: asNumber(usage.prompt_tokens),
    cachedTokens: asNumber(usage.cached_tokens),
    outputTokens: asNumber(usage.completion_tokens),
    kvHandle: typeof body.kv_handle === 'string' ? body.kv_handle : null,
  };
}

/** Parses the response of `GET /v1/streams`. */
export function readStreamIds(body: JsonObject): readonly string[] {
  return asList(body.running).map((id) => asText(id));
}

/** Parses the response of `GET /load`. */
export function readLoad(body: JsonObject): EngineLoad {
  return {
    sequence: asNumber(body.sequence),
    epoch: asText(body.epoch),
    runningRequests: asNumber(body.running_requests),
    waitingRequests: asNumber(body.waiting_requests),
    waitingPrefillTokens: asNumber(body.waiting_prefill_tokens),
    runningContextTokens: asNumber(body.running_context_tokens),
    kvUsedTokens: asNumber(body.kv_used_tokens),
    kvCapacityTokens: asNumber(body.kv_capacity_tokens),
    stepMs: asNumber(body.step_ms),
  };
}

/**
 * Parses the response of `GET /state` and `POST /orders`; returns null if it does not follow the
 * protocol.
 */
export function readState(body: JsonObject): EngineState | null {
  const role = asMember(EngineRole, body.role);
  if (role === null) return null;
  return {
    epoch: asText(body.epoch),
    role,
    orderInProgress: typeof body.order_in_progress === 'string' ? body.order_in_progress : null,
    lastOrderDone: typeof body.last_order_done === 'string' ? body.last_order_done : null,
    highestFence: asNumber(body.highest_fence),
    models: asList(body.models).map((item) => {
      const model = asObject(item) ?? {};
      return {
        name: asText(model.name),
        version: asText(model.version),
        adapters: asList(model.adapters).map((adapter) => asText(adapter)),
      };
    }),
  };
}

/** Builds the body of `POST /orders`. */
export function orderBody(order: EngineOrder): JsonObject {
  return {
    order_id: order.orderId,
    fence: order.fence,
    kind: order.kind,
    role: order.role,
    model: order.model,
    version: order.version,
    adapter: order.adapter,
  };
}

/** Parses the response of `GET /cache-events`, without events of an unknown kind. */
export function readCacheEvents(body: JsonObject): readonly CacheEvent[] {
  return asList(body.events).flatMap((item) => {
    const event = asObject(item);
    const kind = asMember(CacheEventKind, event?.kind);
    if (event === null || kind === null) return [];
    return [
      {
        epoch: asText(event.epoch),
        sequence: asNumber(event.sequence),
        kind,
        blocks: asList(event.blocks).map((block) => asText(block)),
      },
    ];
  });
}
