/**
 * Failures of fencing and of orders to engines. Each message states whether the order may have had
 * an effect on the engine.
 */
import { defineFailure } from '../failures/failure.js';

/** The sidecar has just started and does not know the current fencing token yet. */
export const authorityNotLearned = defineFailure({
  name: 'authority-not-learned',
  title: 'The sidecar has just started',
  message: (data: { target: string }) =>
    `The sidecar of ${data.target} has not yet learned the current fencing number, or its engine ` +
    `may still take up an order of its predecessor. No order was taken.`,
  hint: 'Nothing to do: the planner asks again.',
});

/** The planner's fencing token is lower than one that the sidecar has already seen. */
export const fenceTooOld = defineFailure({
  name: 'fence-too-old',
  title: 'The order comes from a planner that was replaced',
  message: (data: { fence: number; highestFence: number }) =>
    `Fencing number ${String(data.fence)} is lower than ${String(data.highestFence)}. The order ` +
    `had no effect.`,
  hint: 'Nothing to do: the present planner decides anew.',
});

/** The engine is still executing another order. */
export const orderBusy = defineFailure({
  name: 'order-busy',
  title: 'An order is being carried out',
  message: (data: { orderId: string }) => `Order ${data.orderId} has not ended yet.`,
  hint: 'Nothing to do: the planner waits for its end.',
});

/** The ticket is unknown, already used, replaced by a later one, or expired. */
export const ticketInvalid = defineFailure({
  name: 'ticket-invalid',
  title: 'The ticket of the order is not valid',
  message: (data: { ticketId: string }) =>
    `Ticket ${data.ticketId} was used, replaced or has expired. The order had no effect.`,
  hint: 'Nothing to do: the planner asks for a fresh ticket if it still wants the change.',
});

/** The lease key names another planner, or nobody holds the lease. */
export const authorityLost = defineFailure({
  name: 'authority-lost',
  title: 'The planner no longer holds the lease',
  message: (data: { planner: string; fence: number }) =>
    `${data.planner} (fencing number ${String(data.fence)}) does not hold the lease. The order had ` +
    `no effect.`,
  hint: 'Nothing to do: the present planner decides anew.',
});

/** The lease key could not be read in time. */
export const authorityUnverifiable = defineFailure({
  name: 'authority-unverifiable',
  title: 'The lease could not be read back',
  message: (data: { orderId: string }) =>
    `Order ${data.orderId} had no effect: the key-value service did not answer in time.`,
  hint: 'Role changes and loads wait until the key-value service is back; requests go on.',
});

/** The order was not executed: no authority or ticket, a rejection by the engine, or a restart. */
export const orderNotDone = defineFailure({
  name: 'order-not-done',
  title: 'The engine did not carry the order out',
  message: (data: { orderId: string; reason: string }) => `Order ${data.orderId}: ${data.reason}.`,
  hint: 'Look at the time line of the target; the planner decides anew from its state.',
});
