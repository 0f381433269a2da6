/** The retry windows of all services at this gateway. */
import {
  type FleetView,
  type RetryWindow,
  type RetryWindowOptions,
  createRetryWindow,
  noteWindowRequest,
  takeWindowRetry,
} from '@cassiamast/coordination';

/** Counts requests and takes retries, by service. */
export interface RetryBudgets {
  readonly noteRequest: (service: string) => void;
  readonly take: (service: string) => boolean;
}

/** Makes empty windows. */
export function createRetryBudgets(
  options: RetryWindowOptions,
  view: FleetView,
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
    take: (service) => takeWindowRetry(windowOf(service), view.gateways.size, nowMs()),
  };
}
