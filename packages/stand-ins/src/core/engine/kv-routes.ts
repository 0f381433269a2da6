/**
 * Moving KV cache from engine to engine: the receiving one fetches it from where it was computed,
 * in a time that grows with its size.
 */
import { request as httpRequest } from 'undici';
import type { Route } from '../http/http-server.js';
import { sendJson } from '../http/http-server.js';
import { delay } from '../time/delay.js';
import type { EngineContext } from './engine.js';
import { takeFault } from './faults.js';
import { storeBlocks } from './prefix-cache.js';
import type { TokenizedPrompt } from './prompt.js';
import { keepKvHandle } from './state.js';

const BAD_GATEWAY = 502;
const NOT_FOUND = 404;

/** The routes of KV transfers. */
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

/** Makes the KV cache of a stream that is in the batch ready for another engine. */
function exportKv(context: EngineContext): Route {
  return ({ body, response }) => {
    const life = context.life();
    const work = life.batch.running.find((one) => one.request.streamId === body.stream_id);
    if (work === undefined || work.toPrefill > 0) {
      sendJson(response, NOT_FOUND, transferFailed('the prompt of this stream is not computed'));
      return;
    }
    if (takeFault(context.faults, 'failKvExports')) {
      sendJson(response, BAD_GATEWAY, transferFailed('the export broke off halfway'));
      return;
    }
    const kvHandle = `${life.epoch}/${work.request.streamId}`;
    keepKvHandle(life, kvHandle, work.prompt);
    sendJson(response, 200, { kv_handle: kvHandle });
  };
}

/** Gives the contents of a handle to another engine. */
function readKv(context: EngineContext): Route {
  return ({ body, response }) => {
    const { kvHandles } = context.life();
    const prompt = typeof body.kv_handle === 'string' ? kvHandles.get(body.kv_handle) : undefined;
    if (prompt === undefined) sendJson(response, NOT_FOUND, transferFailed('no such handle'));
    else sendJson(response, 200, prompt);
  };
}

/** Fetches KV cache from the engine that has it; answers when it is here. */
function importKv(context: EngineContext): Route {
  return async ({ body, response }) => {
    const life = context.life();
    const prompt = await fetchKv(String(body.from), String(body.kv_handle));
    if (prompt === null) {
      sendJson(response, BAD_GATEWAY, transferFailed('the other engine did not give it'));
      return;
    }
    await delay(prompt.tokens / context.options.kvTransferTokensPerMs);
    keepKvHandle(life, String(body.kv_handle), prompt);
    storeBlocks(life.cache, prompt.blocks, context.nowMs(), context.options);
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
    // The other engine is gone, and the cache with it.
    return null;
  }
}
