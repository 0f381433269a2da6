/**
 * HTTP routes that transfer KV cache between engines. The importing engine fetches the cache from
 * the engine that computed it; the transfer time grows with the number of tokens.
 */
import { request as httpRequest } from 'undici';
import type { Route } from '../http/http-server.js';
import { sendJson } from '../http/http-server.js';
import { delay } from '../time/delay.js';
import type { EngineContext } from './engine.js';
import { consumeFault } from './faults.js';
import { storeBlocks } from './prefix-cache.js';
import type { TokenizedPrompt } from './prompt.js';
import { keepKvHandle } from './state.js';

const BAD_GATEWAY = 502;
const NOT_FOUND = 404;

/** Returns the routes for exporting, reading and importing KV cache. */
export function createKvRoutes(context: EngineContext): readonly (readonly [string, Route])[] {
  return [
    ['POST /kv/export', exportKv(context)],
    ['POST /kv/import', importKv(context)],
    ['POST /kv/read', readKv(context)],
  ];
}

function transferFailed(message: string): unknown {
  return { error: { code: 'kv_transfer_failed', message } };
}

/** Creates a handle by which another engine can fetch the KV cache of a stream in the batch. */
function exportKv(context: EngineContext): Route {
  return ({ body, response }) => {
    const incarnation = context.incarnation();
    const work = incarnation.batch.running.find((job) => job.request.streamId === body.stream_id);
    if (work === undefined || work.toPrefill > 0) {
      sendJson(response, NOT_FOUND, transferFailed('the prompt of this stream is not computed'));
      return;
    }
    if (consumeFault(context.faults, 'failKvExports')) {
      sendJson(response, BAD_GATEWAY, transferFailed('the export broke off halfway'));
      return;
    }
    const kvHandle = `${incarnation.epoch}/${work.request.streamId}`;
    keepKvHandle(incarnation, kvHandle, work.prompt);
    sendJson(response, 200, { kv_handle: kvHandle });
  };
}

/** Returns the cached prompt of a KV handle to another engine. */
function readKv(context: EngineContext): Route {
  return ({ body, response }) => {
    const { kvHandles } = context.incarnation();
    const prompt = typeof body.kv_handle === 'string' ? kvHandles.get(body.kv_handle) : undefined;
    if (prompt === undefined) sendJson(response, NOT_FOUND, transferFailed('no such handle'));
    else sendJson(response, 200, prompt);
  };
}

/** Fetches KV cache from the engine that stores it and answers once the transfer is complete. */
function importKv(context: EngineContext): Route {
  return async ({ body, response }) => {
    const incarnation = context.incarnation();
    const prompt = await fetchKv(String(body.from), String(body.kv_handle));
    if (prompt === null) {
      sendJson(response, BAD_GATEWAY, transferFailed('the other engine did not give it'));
      return;
    }
    await delay(prompt.tokens / context.options.kvTransferTokensPerMs);
    keepKvHandle(incarnation, String(body.kv_handle), prompt);
    storeBlocks(incarnation.cache, prompt.blocks, context.nowMs(), context.options);
    sendJson(response, 200, {});
  };
}

async function fetchKv(from: string, kvHandle: string): Promise<TokenizedPrompt | null> {
  try {
    const response = await httpRequest(`${from}/kv/read`, {
      method: 'POST',
      headers: { 'content-type': 'application/json' },
      body: JSON.stringify({ kv_handle: kvHandle }),
    });
    const body = (await response.body.json()) as TokenizedPrompt;
    return response.statusCode === 200 ? body : null;
  } catch {
    // The other engine is unreachable, so its cache is lost.
    return null;
  }
}
