/** HTTP server for the readiness checks of the platform's load balancer. */
import type { Address } from '@cassiamast/coordination';
import type { ClientGuard } from '../node/client-guard.js';
import type { Child } from '../supervisor/supervisor.js';
import { createProbeServer } from './probe-server.js';

/** Creates the server; `isReady` is evaluated on each check. */
export function createReadinessServer(
  address: Address,
  guard: ClientGuard,
  readinessPath: string,
  isReady: () => boolean,
): Child {
  return createProbeServer({
    name: 'readiness-server',
    address,
    guard,
    answer: (path) => {
      if (path !== readinessPath) return { status: 404, body: null };
      return { status: isReady() ? 200 : 503, body: null };
    },
  });
}
