/** HTTP server that exposes counters and histograms in the Prometheus text format. */
import type { Address } from '@cassiamast/coordination';
import type { ClientGuard } from '../node/client-guard.js';
import { METRICS_PATH } from '../protocol/methods.js';
import type { Child } from '../supervisor/supervisor.js';
import { createProbeServer } from './probe-server.js';

/** Creates the server. */
export function createMetricsServer(
  address: Address,
  guard: ClientGuard,
  text: () => Promise<string>,
): Child {
  return createProbeServer({
    name: 'metrics-server',
    address,
    guard,
    answer: async (path) =>
      path === METRICS_PATH ? { status: 200, body: await text() } : { status: 404, body: null },
  });
}
