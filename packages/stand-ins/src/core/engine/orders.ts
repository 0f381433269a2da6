/**
 * Orders to the engine: role changes take it away for a while, loads go on beside the work. Counts
 * what a correct system never makes an engine do, for oracles to read.
 */
import type { EngineRole } from '@cassiamast/coordination';
import type { EngineOrder, EngineState } from '@cassiamast/ports';
import { OrderKind } from '@cassiamast/ports';
import type { HeldModel } from './options.js';

/** The state that orders change. */
export interface Ordered {
  role: EngineRole;
  models: HeldModel[];
  inProgress: EngineOrder | null;
  lastDone: string | null;
  highestFence: number;
}

/** What happened so far; never reset by a crash. */
export interface OrderCounts {
  roleChanges: number;
  loads: number;
  /** Orders refused for their old fencing number. */
  fencedOrders: number;
  /** Orders with an old fencing number that this engine obeyed, since it does not check. */
  staleOrdersObeyed: number;
  /** Orders that came while another one was being carried out. */
  conflictingOrders: number;
  /** Requests that a role change cut off. */
  cutByRoleChange: number;
}

/** No order yet. */
export function newOrderCounts(): OrderCounts {
  return {
    roleChanges: 0,
    loads: 0,
    fencedOrders: 0,
    staleOrdersObeyed: 0,
    conflictingOrders: 0,
    cutByRoleChange: 0,
  };
}

/** How an order is taken. */
export enum OrderVerdict {
  Begin = 'begin',
  /** The same order again: nothing is done twice. */
  Known = 'known',
  FenceOld = 'fence-old',
  Busy = 'busy',
}

/** Judges an order, notes its fence and counts what is wrong with it. */
export function takeOrder(
  state: Ordered,
  counts: OrderCounts,
  order: EngineOrder,
  checksFencing: boolean,
): OrderVerdict {
  if (state.inProgress?.orderId === order.orderId || state.lastDone === order.orderId) {
    return OrderVerdict.Known;
  }
  if (order.fence < state.highestFence) {
    if (checksFencing) {
      counts.fencedOrders += 1;
      return OrderVerdict.FenceOld;
    }
    counts.staleOrdersObeyed += 1;
  }
  state.highestFence = Math.max(state.highestFence, order.fence);
  if (state.inProgress !== null) {
    counts.conflictingOrders += 1;
    return OrderVerdict.Busy;
  }
  state.inProgress = order;
  return OrderVerdict.Begin;
}

/** Ends the order in progress and makes its effect visible. */
export function completeOrder(state: Ordered, counts: OrderCounts): void {
  const order = state.inProgress;
  if (order === null) return;
  state.inProgress = null;
  state.lastDone = order.orderId;
  switch (order.kind) {
    case OrderKind.SetRole:
      state.role = order.role ?? state.role;
      counts.roleChanges += 1;
      return;
    case OrderKind.LoadModel:
      state.models = withModel(state.models, order);
      counts.loads += 1;
      return;
    case OrderKind.UnloadModel:
      state.models = state.models.filter((model) => model.name !== order.model);
  }
}

/** Whether the engine takes no work because of the order in progress. */
export function isAway(state: Ordered): boolean {
  return state.inProgress?.kind === OrderKind.SetRole;
}

/** What `GET /state` tells. */
export function stateBody(state: Ordered, epoch: string): Record<string, unknown> {
  const told: EngineState = {
    epoch,
    role: state.role,
    orderInProgress: state.inProgress?.orderId ?? null,
    lastOrderDone: state.lastDone,
    highestFence: state.highestFence,
    models: state.models,
  };
  return {
    epoch: told.epoch,
    role: told.role,
    order_in_progress: told.orderInProgress,
    last_order_done: told.lastOrderDone,
    highest_fence: told.highestFence,
    models: told.models,
  };
}

function withModel(models: readonly HeldModel[], order: EngineOrder): HeldModel[] {
  const name = order.model ?? '';
  const version = order.version ?? '';
  const before = models.find((model) => model.name === name && model.version === version);
  const adapters = [...(before?.adapters ?? [])];
  if (typeof order.adapter === 'string' && !adapters.includes(order.adapter)) {
    adapters.push(order.adapter);
  }
  return [...models.filter((model) => model.name !== name), { name, version, adapters }];
}
