/** HTTP server for the readiness checks of the platform's load balancer. */
import { type Server, createServer } from 'node:http';
import type { Address } from '@cassiamast/coordination';
import { listenExclusively } from '../node/control-server.js';
import type { Child } from '../supervisor/supervisor.js';

/** Creates the server; `isReady` is evaluated on each check. */
export function createReadinessServer(
  address: Address,
  path: string,
  isReady: () => boolean,
): Child {
  let server: Server | null = null;
  return {
    name: 'readiness-server',
    start: async () => {
      server = createServer((request, response) => {
        const known = request.url === path;
        const status = known ? (isReady() ? 200 : 503) : 404;
        response.writeHead(status, { 'content-length': 0 });
        response.end();
      });
      await listenExclusively(server, address);
    },
    stop: async () => {
      const closing = server;
      server = null;
      if (closing === null) return;
      await new Promise<void>((resolve) => {
        closing.close(() => {
          resolve();
        });
        closing.closeAllConnections();
      });
    },
  };
}
