/**
 * Limits the retries that one gateway sends to a service. All gateways together must stay below
 * `ratio` x requests + `slack` in any window. Each gateway applies the ratio to its own requests
 * and uses only its share of the slack, which needs no communication between gateways.
 */

/** Limits that apply to all gateways together. */
export interface RetryWindowOptions {
  readonly windowMs: number;
  /** Allowed retries per request. */
  readonly ratio: number;
  /** Allowed retries beyond the ratio, for all gateways together. */
  readonly slack: number;
}

/**
 * Fraction of the slack that all gateways use together. The rest covers gateways that restarted
 * within a window and lost their counts, and callers whose requests never arrived.
 */
const SLACK_SHARE = 0.5;
/** Fraction of the ratio that is used, for the same reasons. */
const RATIO_SHARE = 0.8;

/**
 * Requests and retries of one service. A retry is reserved when it is decided on, open from its first
 * byte until its target has answered or the connection is closed, and recorded at that time. It may
 * arrive at any moment while it is open, so it counts in each window until then.
 */
export interface RetryWindow {
  readonly options: RetryWindowOptions;
  /** Times of requests, oldest first. */
  readonly requestsAtMs: number[];
  /** Times of recorded retries, oldest first. */
  readonly retriesAtMs: number[];
  reserved: number;
  open: number;
}

/** Creates an empty window. */
export function createRetryWindow(options: RetryWindowOptions): RetryWindow {
  return { options, requestsAtMs: [], retriesAtMs: [], reserved: 0, open: 0 };
}

/** Counts a request from a caller. */
export function recordWindowRequest(window: RetryWindow, nowMs: number): void {
  window.requestsAtMs.push(nowMs);
  removeExpired(window, nowMs);
}

/**
 * Reserves a number of retries and returns whether they are allowed. This prevents a retry storm,
 * in which the load on a failing service multiplies.
 */
export function reserveWindowRetries(
  window: RetryWindow,
  retries: number,
  gateways: number,
  nowMs: number,
): boolean {
  const { headroom } = retryWindowUse(window, gateways, nowMs);
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
export function openWindowRetry(window: RetryWindow, gateways: number, nowMs: number): boolean {
  window.reserved -= 1;
  if (retryWindowUse(window, gateways, nowMs).headroom < 1) return false;
  window.open += 1;
  return true;
}

/** Records a retry that can't arrive any later. */
export function closeWindowRetry(window: RetryWindow, nowMs: number): void {
  window.open -= 1;
  window.retriesAtMs.push(nowMs);
}

/** What a retry is granted or refused by. */
export interface RetryWindowUse {
  /** Requests in the window. */
  readonly requests: number;
  /** Retries in the window that have arrived. */
  readonly retries: number;
  readonly open: number;
  readonly reserved: number;
  /** Retries that may still be sent; the reserved ones are not subtracted. */
  readonly headroom: number;
}

/** Returns how much of its allowance a window uses. */
export function retryWindowUse(
  window: RetryWindow,
  gateways: number,
  nowMs: number,
): RetryWindowUse {
  removeExpired(window, nowMs);
  const { ratio, slack } = window.options;
  const { open, reserved } = window;
  const requests = window.requestsAtMs.length;
  const retries = window.retriesAtMs.length;
  const share = (slack * SLACK_SHARE) / Math.max(1, gateways);
  const headroom = requests * ratio * RATIO_SHARE + share - retries - open;
  return { requests, retries, open, reserved, headroom };
}

function removeExpired(window: RetryWindow, nowMs: number): void {
  const fromMs = nowMs - window.options.windowMs;
  dropBefore(window.requestsAtMs, fromMs);
  dropBefore(window.retriesAtMs, fromMs);
}

function dropBefore(timesMs: number[], fromMs: number): void {
  const firstKept = timesMs.findIndex((timeMs) => timeMs >= fromMs);
  timesMs.splice(0, firstKept === -1 ? timesMs.length : firstKept);
}
