/**
 * Accepts and completes orders to the engine. The engine is unavailable during a role change, while a
 * model load runs alongside requests. Also counts events that a correct system never causes, for
 * test oracles.
 */
import type { EngineRole } from '@cassiamast/coordination';
import type { EngineOrder, EngineState } from '@cassiamast/ports';
import { OrderKind } from '@cassiamast/ports';
import type { LoadedModel } from './options.js';

/** Engine state that orders change. */
export interface OrderState {
  role: EngineRole;
  models: LoadedModel[];
  inProgress: EngineOrder | null;
  lastDone: string | null;
  highestFence: number;
}

/** Counts of order-related events. A crash does not reset them. */
export interface OrderCounts {
  roleChanges: number;
  loads: number;
  /** Orders rejected for an outdated fencing token. */
  fencedOrders: number;
  /** Orders with an outdated fencing token that the engine accepted because it does not check tokens. */
  staleOrdersObeyed: number;
  /** Orders that arrived while another one was in progress. */
  conflictingOrders: number;
  /** Requests aborted by a role change. */
  cutByRoleChange: number;
}

/** Creates counts that are all zero. */
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

/** Decisions on an incoming order. */
export enum OrderVerdict {
  Begin = 'begin',
  /** A repeated order, which is not executed again. */
  Known = 'known',
  FenceOld = 'fence-old',
  Busy = 'busy',
}

/** Decides on an order, records its fencing token and counts violations. */
export function acceptOrder(
  state: OrderState,
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

/** Completes the order in progress and applies its effect. */
export function completeOrder(state: OrderState, counts: OrderCounts): void {
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

/** Returns whether the engine rejects requests because a role change is in progress. */
export function isChangingRole(state: OrderState): boolean {
  return state.inProgress?.kind === OrderKind.SetRole;
}

/** Returns the body of `GET /state`. */
export function stateBody(state: OrderState, epoch: string): Record<string, unknown> {
  const reported: EngineState = {
    epoch,
    role: state.role,
    orderInProgress: state.inProgress?.orderId ?? null,
    lastOrderDone: state.lastDone,
    highestFence: state.highestFence,
    models: state.models,
  };
  return {
    epoch: reported.epoch,
    role: reported.role,
    order_in_progress: reported.orderInProgress,
    last_order_done: reported.lastOrderDone,
    highest_fence: reported.highestFence,
    models: reported.models,
  };
}

function withModel(models: readonly LoadedModel[], order: EngineOrder): LoadedModel[] {
  const name = order.model ?? '';
  const version = order.version ?? '';
  const before = models.find((model) => model.name === name && model.version === version);
  const adapters = [...(before?.adapters ?? [])];
  if (typeof order.adapter === 'string' && !adapters.includes(order.adapter)) {
    adapters.push(order.adapter);
  }
  return [...models.filter((model) => model.name !== name), { name, version, adapters }];
}
