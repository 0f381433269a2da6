/** The retry windows of all services at this gateway. */
import {
  type RetryWindow,
  type RetryWindowOptions,
  createRetryWindow,
  noteWindowRequest,
  takeWindowRetries,
} from '@cassiamast/coordination';
import type { GatewayCount } from './gateway-count.js';

/** Counts requests and takes retries, by service. */
export interface RetryBudgets {
  readonly noteRequest: (service: string) => void;
  /** Takes so many retries or none. */
  readonly take: (service: string, arrivals?: number) => boolean;
}

/** Makes empty windows. */
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
      noteWindowRequest(windowOf(service), nowMs());
    },
    take: (service, arrivals = 1) =>
      takeWindowRetries(windowOf(service), arrivals, gateways.count(), nowMs()),
  };
}
