/**
 * Parses request and order bodies. An invalid or missing field gets OpenAI's default where there is
 * one; otherwise the body is rejected.
 */
import { EngineRole } from '@cassiamast/coordination';
import type { EngineOrder, EngineRequest } from '@cassiamast/ports';
import { OrderKind } from '@cassiamast/ports';
import type { JsonBody } from '../http/http-server.js';

/** OpenAI's default for `max_tokens` of completions. */
const DEFAULT_MAX_TOKENS = 16;

/** Parses a completion request. Returns null when the prompt or model is missing. */
export function readEngineRequest(body: JsonBody, newStreamId: () => string): EngineRequest | null {
  if (typeof body.prompt !== 'string' || typeof body.model !== 'string') return null;
  return {
    streamId: typeof body.stream_id === 'string' ? body.stream_id : newStreamId(),
    model: body.model,
    adapter: typeof body.adapter === 'string' ? body.adapter : null,
    prompt: body.prompt,
    maxTokens: number(body.max_tokens, DEFAULT_MAX_TOKENS),
    priority: number(body.priority, 0),
    temperature: number(body.temperature, 1),
    seed: number(body.seed, 0),
    continueFrom: Array.isArray(body.continue_from) ? body.continue_from.map(String) : [],
    kvHandle: typeof body.kv_handle === 'string' ? body.kv_handle : null,
    prefillOnly: body.prefill_only === true,
  };
}

/** Parses an order. Returns null when a field that its kind requires is missing. */
export function readOrder(body: JsonBody): EngineOrder | null {
  const kind = Object.values(OrderKind).find((known) => known === body.kind);
  if (kind === undefined || typeof body.order_id !== 'string') return null;
  if (typeof body.fence !== 'number') return null;
  const base = { orderId: body.order_id, fence: body.fence, kind };
  if (kind === OrderKind.SetRole) {
    const role = Object.values(EngineRole).find((known) => known === body.role);
    return role === undefined ? null : { ...base, role };
  }
  if (typeof body.model !== 'string') return null;
  return {
    ...base,
    model: body.model,
    version: typeof body.version === 'string' ? body.version : '',
    adapter: typeof body.adapter === 'string' ? body.adapter : null,
  };
}

function number(value: unknown, fallback: number): number {
  return typeof value === 'number' && Number.isFinite(value) ? value : fallback;
}
