/** Limits the retries of each service at this gateway to its part of a shared retry budget. */
import {
  type ClockReading,
  type RetryWindow,
  type RetryWindowOptions,
  closeWindowRetry,
  createRetryWindow,
  forgetWindowRequests,
  openWindowRetry,
  recordWindowRequest,
  releaseWindowRetries,
  reserveWindowRetries,
  retryWindowUse,
} from '@cassiamast/coordination';
import type { GatewayCount } from './gateway-count.js';
import type { GatewayLog, LogFields } from './gateway-log.js';

/** A request that may have waited longer before it was read does not pay for retries. */
const MAX_UNREAD_MS = 150;

/** Dependencies of the retry budgets. */
export interface RetryBudgetsOptions {
  readonly limits: RetryWindowOptions;
  readonly gateways: Pick<GatewayCount, 'share'>;
  readonly clocks: () => ClockReading;
  /** Since when requests that are read now may have waited, by the monotonic clock. */
  readonly unreadSinceMs: () => number;
  readonly log: GatewayLog;
  readonly count: (name: string, by?: number) => void;
}

/** Retries of one request that the budget allows. */
export interface RetryReservation {
  /**
   * Called right before the first byte of a retry is sent. Returns null if it must not be sent;
   * otherwise a function to call when its target has answered or the connection is closed.
   */
  readonly open: () => (() => void) | null;
  /** Gives back the retries that were not sent. */
  readonly release: () => void;
}

/** A reservation of no retry. */
export const NO_RETRIES: RetryReservation = { open: () => null, release: () => undefined };

/** Counts requests and grants retries, by service. */
export interface RetryBudgets {
  readonly noteRequest: (service: string) => void;
  /** Reserves `arrivals` retries of a request, or returns null if the budget has no room for them. */
  readonly reserve: (service: string, request: string, arrivals: number) => RetryReservation | null;
}

/** Creates empty retry windows. */
export function createRetryBudgets(options: RetryBudgetsOptions): RetryBudgets {
  const { limits, gateways, clocks, unreadSinceMs, log, count } = options;
  const nowMs = (): number => clocks().monotonicMs;
  const windows = new Map<string, RetryWindow>();
  const startedAtMs = nowMs();
  let suspendedMs = measureSuspensionMs();

  function measureSuspensionMs(): number {
    const { elapsedMs, monotonicMs } = clocks();
    return elapsedMs - monotonicMs;
  }

  /** Requests from before a suspension of the VM are older than the monotonic clock says. */
  function forgetAfterSuspension(): void {
    const nowSuspendedMs = measureSuspensionMs();
    if (nowSuspendedMs - suspendedMs > MAX_UNREAD_MS) {
      for (const window of windows.values()) forgetWindowRequests(window);
    }
    suspendedMs = nowSuspendedMs;
  }

  function slackShare(): number {
    return limits.slack * gateways.share().fraction;
  }

  function shareFields(): LogFields {
    const { state, fraction, gateways: counted } = gateways.share();
    return { share: state, slackShare: limits.slack * fraction, gateways: counted };
  }

  function windowOf(service: string): RetryWindow {
    forgetAfterSuspension();
    const window = windows.get(service) ?? createRetryWindow(limits);
    windows.set(service, window);
    return window;
  }

  function logDecision(message: string, service: string, request: string, arrivals: number): void {
    const now = nowMs();
    log.info(message, {
      request,
      service,
      arrivals,
      ...retryWindowUse(windowOf(service), slackShare(), now),
      ...shareFields(),
      knownForMs: Math.round(now - startedAtMs),
    });
  }

  function reservationOf(service: string, request: string, arrivals: number): RetryReservation {
    const window = windowOf(service);
    let left = arrivals;
    return {
      open: () => {
        if (left === 0) return null;
        left -= 1;
        if (!openWindowRetry(windowOf(service), slackShare(), nowMs())) {
          count('retries_withheld_total');
          logDecision('retry withheld', service, request, 1);
          return null;
        }
        count('retries_sent_total');
        return () => {
          closeWindowRetry(window, nowMs());
        };
      },
      release: () => {
        releaseWindowRetries(window, left);
        left = 0;
      },
    };
  }

  return {
    noteRequest: (service) => {
      // It may have been sent in an earlier window.
      if (nowMs() - unreadSinceMs() > MAX_UNREAD_MS) return;
      recordWindowRequest(windowOf(service), nowMs());
    },
    reserve: (service, request, arrivals) => {
      if (arrivals === 0) return NO_RETRIES;
      const window = windowOf(service);
      const isGranted = reserveWindowRetries(window, arrivals, slackShare(), nowMs());
      count(isGranted ? 'retries_granted_total' : 'retries_refused_total', arrivals);
      logDecision(isGranted ? 'retry granted' : 'retry refused', service, request, arrivals);
      return isGranted ? reservationOf(service, request, arrivals) : null;
    },
  };
}
