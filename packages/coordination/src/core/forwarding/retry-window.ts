/**
 * The retries that one gateway may add to a service. All gateways together must stay under
 * `ratio` x requests + `slack` in any window; each keeps to that ratio of its own requests and to
 * its part of the slack, so that nobody has to be asked.
 */

/** Bounds that hold over all gateways. */
export interface RetryWindowOptions {
  readonly windowMs: number;
  /** Retries for each request. */
  readonly ratio: number;
  /** Retries beyond the ratio, over all gateways. */
  readonly slack: number;
}

/**
 * Part of the whole slack that all gateways use together. The rest covers gateways that restarted
 * within a window and forgot what they had spent, and callers whose requests never arrived.
 */
const SLACK_SHARE = 0.5;
/** Part of the ratio that is used, for the same reasons. */
const RATIO_SHARE = 0.8;

/** Times of requests and retries of one service, oldest first. */
export interface RetryWindow {
  readonly options: RetryWindowOptions;
  readonly requestsAtMs: number[];
  readonly retriesAtMs: number[];
}

/** An empty window. */
export function createRetryWindow(options: RetryWindowOptions): RetryWindow {
  return { options, requestsAtMs: [], retriesAtMs: [] };
}

/** Counts a request that callers sent. */
export function noteWindowRequest(window: RetryWindow, nowMs: number): void {
  window.requestsAtMs.push(nowMs);
  forgetBefore(window, nowMs);
}

/**
 * Takes so many retries; false when they must not happen. Guards against a retry storm: it shows as
 * arrivals that multiply when a service fails, and the bound holds in every window because both
 * sums are of the same window.
 */
export function takeWindowRetries(
  window: RetryWindow,
  retries: number,
  gateways: number,
  nowMs: number,
): boolean {
  forgetBefore(window, nowMs);
  const { ratio, slack } = window.options;
  const allowed =
    window.requestsAtMs.length * ratio * RATIO_SHARE +
    (slack * SLACK_SHARE) / Math.max(1, gateways);
  if (window.retriesAtMs.length + retries > allowed) return false;
  for (let taken = 0; taken < retries; taken += 1) window.retriesAtMs.push(nowMs);
  return true;
}

function forgetBefore(window: RetryWindow, nowMs: number): void {
  const fromMs = nowMs - window.options.windowMs;
  dropBefore(window.requestsAtMs, fromMs);
  dropBefore(window.retriesAtMs, fromMs);
}

function dropBefore(timesMs: number[], fromMs: number): void {
  const firstKept = timesMs.findIndex((timeMs) => timeMs >= fromMs);
  timesMs.splice(0, firstKept === -1 ? timesMs.length : firstKept);
}
