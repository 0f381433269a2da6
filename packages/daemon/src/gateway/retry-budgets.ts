/** Limits the retries of each service at this gateway to its part of a shared retry budget. */
import {
  type RetryWindow,
  type RetryWindowOptions,
  createRetryWindow,
  recordWindowRequest,
  reserveWindowRetries,
} from '@cassiamast/coordination';
import type { GatewayCount } from './gateway-count.js';

/** Counts requests and grants retries, by service. */
export interface RetryBudgets {
  readonly noteRequest: (service: string) => void;
  /** Takes `arrivals` retries from the budget, or none. Returns whether they were granted. */
  readonly take: (service: string, arrivals?: number) => boolean;
}

/** Creates empty retry windows. */
export function createRetryBudgets(
  options: RetryWindowOptions,
  gateways: Pick<GatewayCount, 'count'>,
  nowMs: () => number,
): RetryBudgets {
  const windows = new Map<string, RetryWindow>();

  function windowOf(service: string): RetryWindow {
    const window = windows.get(service) ?? createRetryWindow(options);
    windows.set(service, window);
    return window;
  }

  return {
    noteRequest: (service) => {
      recordWindowRequest(windowOf(service), nowMs());
    },
    take: (service, arrivals = 1) =>
      reserveWindowRetries(windowOf(service), arrivals, gateways.count(), nowMs()),
  };
}
