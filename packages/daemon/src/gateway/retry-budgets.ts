/** Limits the retries of each service at this gateway to its part of a shared retry budget. */
import {
  type RetryWindow,
  type RetryWindowOptions,
  createRetryWindow,
  recordWindowRequest,
  reserveWindowRetries,
  retryWindowUse,
} from '@cassiamast/coordination';
import type { GatewayCount } from './gateway-count.js';
import type { GatewayLog } from './gateway-log.js';

/** Dependencies of the retry budgets. */
export interface RetryBudgetsOptions {
  readonly limits: RetryWindowOptions;
  readonly gateways: Pick<GatewayCount, 'count'>;
  readonly nowMs: () => number;
  readonly log: GatewayLog;
  readonly count: (name: string, by?: number) => void;
}

/** Counts requests and grants retries, by service. */
export interface RetryBudgets {
  readonly noteRequest: (service: string) => void;
  /** Takes `arrivals` retries from the budget, or none. Returns whether they were granted. */
  readonly take: (service: string, request: string, arrivals?: number) => boolean;
}

/** Creates empty retry windows. */
export function createRetryBudgets(options: RetryBudgetsOptions): RetryBudgets {
  const { limits, gateways, nowMs, log, count } = options;
  const windows = new Map<string, RetryWindow>();
  const startedAtMs = nowMs();

  function windowOf(service: string): RetryWindow {
    const window = windows.get(service) ?? createRetryWindow(limits);
    windows.set(service, window);
    return window;
  }

  return {
    noteRequest: (service) => {
      recordWindowRequest(windowOf(service), nowMs());
    },
    take: (service, request, arrivals = 1) => {
      const now = nowMs();
      const counted = gateways.count();
      const isGranted = reserveWindowRetries(windowOf(service), arrivals, counted, now);
      count(isGranted ? 'retries_granted_total' : 'retries_refused_total', arrivals);
      log.info(isGranted ? 'retry granted' : 'retry refused', {
        request,
        service,
        arrivals,
        ...retryWindowUse(windowOf(service), counted, now),
        gateways: counted,
        knownForMs: Math.round(now - startedAtMs),
      });
      return isGranted;
    },
  };
}
