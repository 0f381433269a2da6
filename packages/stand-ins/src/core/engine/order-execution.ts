/**
 * Carrying out an order that was taken: a role change drops all work and the cache and keeps the
 * engine away; a load fetches from the weight store and waits when told to slow down.
 */
import type { EngineOrder } from '@cassiamast/ports';
import { OrderKind } from '@cassiamast/ports';
import { request as httpRequest } from 'undici';
import { delay } from '../time/delay.js';
import type { EngineContext } from './engine.js';
import { takeFault } from './faults.js';
import { completeOrder } from './orders.js';
import { clearCache } from './prefix-cache.js';
import type { EngineLife } from './state.js';
import { endStream, hasEnded } from './streams.js';

const TOO_MANY_REQUESTS = 429;
const STORE_RETRY_MS = 500;

/** Begins the order in progress; it is done later. */
export function carryOutOrder(context: EngineContext, order: EngineOrder): void {
  const life = context.life();
  const crashes = takeFault(context.faults, 'crashDuringOrders');
  const done = (): void => {
    // A crash in between took the order with it.
    if (context.life() !== life) return;
    if (crashes) {
      context.crash();
      return;
    }
    completeOrder(life.ordered, context.counts);
    life.batch.role = life.ordered.role;
    context.wake();
  };
  switch (order.kind) {
    case OrderKind.SetRole:
      dropWork(context, life);
      void delay(context.options.roleChangeMs).then(done);
      return;
    case OrderKind.LoadModel:
      void load(context, life).then(done);
      return;
    case OrderKind.UnloadModel:
      done();
  }
}

/** A role change takes the memory that running requests and the cache use. */
function dropWork(context: EngineContext, life: EngineLife): void {
  const error = { code: 'not_serving', message: 'cut by a role change' };
  for (const stream of life.streams.values()) {
    if (hasEnded(stream)) continue;
    context.counts.cutByRoleChange += 1;
    endStream(stream, { error }, context.nowMs());
  }
  life.batch.waiting = [];
  life.batch.running = [];
  life.kvHandles.clear();
  clearCache(life.cache, context.nowMs(), context.options);
}

async function load(context: EngineContext, life: EngineLife): Promise<void> {
  const { weightStore, loadMs, modelSizeMb } = context.options;
  if (weightStore === null) {
    await delay(loadMs);
    return;
  }
  while (context.life() === life) {
    const waitMs = await fetchOnce(weightStore, modelSizeMb);
    if (waitMs === null) return;
    await delay(waitMs);
  }
}

/** Null when the weights are here, else how long to wait before the next try. */
async function fetchOnce(weightStore: string, sizeMb: number): Promise<number | null> {
  try {
    const response = await httpRequest(`${weightStore}/fetches`, {
      method: 'POST',
      headers: { 'content-type': 'application/json' },
      body: JSON.stringify({ size_mb: sizeMb }),
    });
    const body = (await response.body.json()) as { retry_after_ms?: number };
    if (response.statusCode === 200) return null;
    if (response.statusCode === TOO_MANY_REQUESTS) return body.retry_after_ms ?? STORE_RETRY_MS;
    return STORE_RETRY_MS;
  } catch {
    // The store is down or broke the connection: the engine keeps asking, as real ones do.
    return STORE_RETRY_MS;
  }
}
