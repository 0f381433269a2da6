/**
 * Executes accepted orders. A role change drops all requests and the cache, and makes the engine
 * unavailable for a while. A load fetches weights from the weight store and waits when rate limited.
 */
import type { EngineOrder } from '@cassiamast/ports';
import { OrderKind } from '@cassiamast/ports';
import { request as httpRequest } from 'undici';
import { delay } from '../time/delay.js';
import type { EngineContext } from './engine.js';
import { consumeFault } from './faults.js';
import { completeOrder } from './orders.js';
import { clearCache } from './prefix-cache.js';
import type { EngineIncarnation } from './state.js';
import { endStream, hasEnded } from './streams.js';

const TOO_MANY_REQUESTS = 429;
const STORE_RETRY_MS = 500;

/** Starts the order in progress, which completes later. */
export function executeOrder(context: EngineContext, order: EngineOrder): void {
  const incarnation = context.incarnation();
  const crashes = consumeFault(context.faults, 'crashDuringOrders');
  const done = (): void => {
    // The engine crashed in the meantime, which lost the order.
    if (context.incarnation() !== incarnation) return;
    if (crashes) {
      context.crash();
      return;
    }
    completeOrder(incarnation.orderState, context.counts);
    incarnation.batch.role = incarnation.orderState.role;
    context.wake();
  };
  switch (order.kind) {
    case OrderKind.SetRole:
      dropWork(context, incarnation);
      void delay(context.options.roleChangeMs).then(done);
      return;
    case OrderKind.LoadModel:
      void load(context, incarnation).then(done);
      return;
    case OrderKind.UnloadModel:
      done();
  }
}

/** Ends all requests and clears the cache, because a role change needs their memory. */
function dropWork(context: EngineContext, incarnation: EngineIncarnation): void {
  const error = { code: 'not_serving', message: 'cut by a role change' };
  for (const stream of incarnation.streams.values()) {
    if (hasEnded(stream)) continue;
    context.counts.cutByRoleChange += 1;
    endStream(stream, { error }, context.nowMs());
  }
  incarnation.batch.waiting = [];
  incarnation.batch.running = [];
  incarnation.kvHandles.clear();
  clearCache(incarnation.cache, context.nowMs(), context.options);
}

async function load(context: EngineContext, incarnation: EngineIncarnation): Promise<void> {
  const { weightStore, loadMs, modelSizeMb } = context.options;
  if (weightStore === null) {
    await delay(loadMs);
    return;
  }
  while (context.incarnation() === incarnation) {
    const waitMs = await fetchOnce(weightStore, modelSizeMb);
    if (waitMs === null) return;
    await delay(waitMs);
  }
}

/** Returns null once the weights are loaded, or else the delay before the next attempt. */
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
    // The store is down or closed the connection. The engine keeps retrying, as real engines do.
    return STORE_RETRY_MS;
  }
}
