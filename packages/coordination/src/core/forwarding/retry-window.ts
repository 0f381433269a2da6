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

/** Times of requests and retries of one service, oldest first. */
export interface RetryWindow {
  readonly options: RetryWindowOptions;
  readonly requestsAtMs: number[];
  readonly retriesAtMs: number[];
}

/** Creates an empty window. */
export function createRetryWindow(options: RetryWindowOptions): RetryWindow {
  return { options, requestsAtMs: [], retriesAtMs: [] };
}

/** Counts a request from a caller. */
export function recordWindowRequest(window: RetryWindow, nowMs: number): void {
  window.requestsAtMs.push(nowMs);
  removeExpired(window, nowMs);
}

/**
 * Reserves a number of retries and returns whether they are allowed. This prevents a retry storm,
 * in which the load on a failing service multiplies. The limit holds in every window because
 * requests and retries are counted over the same window.
 */
export function reserveWindowRetries(
  window: RetryWindow,
  retries: number,
  gateways: number,
  nowMs: number,
): boolean {
  const use = retryWindowUse(window, gateways, nowMs);
  if (use.retries + retries > use.allowed) return false;
  for (let reserved = 0; reserved < retries; reserved += 1) window.retriesAtMs.push(nowMs);
  return true;
}

/** What a retry is granted or refused by. */
export interface RetryWindowUse {
  /** Requests in the window. */
  readonly requests: number;
  /** Retries in the window. */
  readonly retries: number;
  /** Retries that the window allows. */
  readonly allowed: number;
}

/** Returns how much of its allowance a window uses. */
export function retryWindowUse(
  window: RetryWindow,
  gateways: number,
  nowMs: number,
): RetryWindowUse {
  removeExpired(window, nowMs);
  const { ratio, slack } = window.options;
  const requests = window.requestsAtMs.length;
  const share = (slack * SLACK_SHARE) / Math.max(1, gateways);
  return {
    requests,
    retries: window.retriesAtMs.length,
    allowed: requests * ratio * RATIO_SHARE + share,
  };
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
