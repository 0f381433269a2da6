/**
 * Limits the retries that one gateway sends to a service. All gateways together must stay below
 * `ratio` x requests + `slack` in any window, and gateways may be killed and replaced at any time.
 *
 * The requests of a window may be counted in it or in the window before it, whichever has more, so
 * their mean may be counted as well. Each process keeps its retries in each window below `ratio` x the
 * mean of its own requests + its share of the slack. These bounds add up over all processes, whether
 * they still run or not: a process that has just started knows no requests and has nothing to spend,
 * and what a killed one has spent was paid for by the requests that it had received.
 */
import {
  type SlotCounts,
  clearEvents,
  countEvent,
  createSlotCounts,
  eventsIn,
  slotAt,
} from './slot-counts.js';

/** Limits that apply to all gateways together. */
export interface RetryWindowOptions {
  readonly windowMs: number;
  /** Allowed retries per request. */
  readonly ratio: number;
  /** Allowed retries beyond the ratio, for all gateways together. */
  readonly slack: number;
}

/** Resolution of the counts. */
const SLOTS_PER_WINDOW = 100;
/** Time from the first byte of a retry until it has reached its target, in slots. */
const ARRIVAL_DELAY_SLOTS = 10;
const MIN_SLOT_MS = 1;
/**
 * Part of the ratio that the requests of a window pay, and that those of the window before it pay.
 * The former let a process retry soon after its start, the latter let it retry many requests at once.
 */
const PAYING_SHARE = 0.5;
/** Time from a caller's send until the request is counted, in slots. */
const REQUEST_DELAY_SLOTS = 3;

/**
 * Requests and retries of one service. A retry is reserved when it is decided on, open from its first
 * byte until its target has answered or the connection is closed, and recorded at that time. It may
 * arrive at any moment while it is open, so it counts in each window until then.
 */
export interface RetryWindow {
  readonly options: RetryWindowOptions;
  readonly requests: SlotCounts;
  readonly retries: SlotCounts;
  reserved: number;
  open: number;
}

/** Creates an empty window. */
export function createRetryWindow(options: RetryWindowOptions): RetryWindow {
  const slotMs = Math.max(MIN_SLOT_MS, options.windowMs / SLOTS_PER_WINDOW);
  const keptSlots = 2 * SLOTS_PER_WINDOW;
  return {
    options,
    requests: createSlotCounts(slotMs, keptSlots),
    retries: createSlotCounts(slotMs, keptSlots),
    reserved: 0,
    open: 0,
  };
}

/** Counts a request from a caller. */
export function recordWindowRequest(window: RetryWindow, nowMs: number): void {
  countEvent(window.requests, nowMs);
}

/** Forgets the requests, because the times at which they were counted are wrong. */
export function forgetWindowRequests(window: RetryWindow): void {
  clearEvents(window.requests);
}

/**
 * Reserves a number of retries and returns whether they are allowed. This prevents a retry storm,
 * in which the load on a failing service multiplies.
 *
 * @param slackShare - This process's share of the slack.
 */
export function reserveWindowRetries(
  window: RetryWindow,
  retries: number,
  slackShare: number,
  nowMs: number,
): boolean {
  const { headroom } = retryWindowUse(window, slackShare, nowMs);
  if (window.reserved + retries > headroom) return false;
  window.reserved += retries;
  return true;
}

/** Gives back reserved retries that are not sent. */
export function releaseWindowRetries(window: RetryWindow, retries: number): void {
  window.reserved -= retries;
}

/**
 * Opens a reserved retry and returns whether it may be sent. The window may have moved since the
 * reservation: otherwise, retries that were reserved in several windows and then held back could all
 * arrive in one.
 */
export function openWindowRetry(window: RetryWindow, slackShare: number, nowMs: number): boolean {
  window.reserved -= 1;
  if (retryWindowUse(window, slackShare, nowMs).headroom < 1) return false;
  window.open += 1;
  return true;
}

/** Records a retry that can't arrive any later. */
export function closeWindowRetry(window: RetryWindow, nowMs: number): void {
  window.open -= 1;
  countEvent(window.retries, nowMs);
}

/** What a retry is granted or refused by. */
export interface RetryWindowUse {
  /** Requests in the last window. */
  readonly requests: number;
  /** Retries in the last window that have arrived. */
  readonly retries: number;
  readonly open: number;
  readonly reserved: number;
  /** Retries that may still be sent now; the reserved ones are not subtracted. */
  readonly headroom: number;
}

/** Returns how much of its allowance a window uses, and what is left of it in all windows. */
export function retryWindowUse(
  window: RetryWindow,
  slackShare: number,
  nowMs: number,
): RetryWindowUse {
  const { options, reserved, open } = window;
  const newest = slotAt(window.requests, nowMs);
  const ratioPerWindow = options.ratio * PAYING_SHARE;
  let requests = 0;
  let retries = 0;
  let headroom = Infinity;
  const latest = newest + ARRIVAL_DELAY_SLOTS;
  let paying = requestsBetween(window, firstSlotBefore(latest), newest);
  // Goes back through the windows in which a retry that is sent now may arrive, by their first slot.
  for (let first = latest; first >= newest - SLOTS_PER_WINDOW; first -= 1) {
    requests += eventsIn(window.requests, first);
    retries += eventsIn(window.retries, first);
    headroom = Math.min(headroom, paying * ratioPerWindow + slackShare - retries);
    paying += eventsIn(window.requests, firstSlotWithin(first - 1));
    paying += eventsIn(window.requests, firstSlotBefore(first - 1));
    paying -= eventsIn(window.requests, first - 1);
  }
  return { requests, retries, open, reserved, headroom: headroom - open };
}

function requestsBetween({ requests }: RetryWindow, first: number, last: number): number {
  let sum = 0;
  for (let slot = first; slot <= last; slot += 1) sum += eventsIn(requests, slot);
  return sum;
}

/** Returns the first slot whose requests were surely sent in a window that begins in slot `first`. */
function firstSlotWithin(first: number): number {
  return first + 1 + REQUEST_DELAY_SLOTS;
}

/** Returns the same for the window before it. */
function firstSlotBefore(first: number): number {
  return firstSlotWithin(first) - SLOTS_PER_WINDOW;
}
