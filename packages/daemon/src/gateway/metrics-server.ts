/** HTTP server that exposes counters and histograms in the Prometheus text format. */
import { type Server, createServer } from 'node:http';
import type { Address } from '@cassiamast/coordination';
import { listenExclusively } from '../node/control-server.js';
import { METRICS_PATH } from '../protocol/methods.js';
import type { Child } from '../supervisor/supervisor.js';

/** Creates the server. */
export function createMetricsServer(address: Address, text: () => Promise<string>): Child {
  let server: Server | null = null;
  return {
    name: 'metrics-server',
    start: async () => {
      server = createServer((request, response) => {
        if (request.url !== METRICS_PATH) {
          response.writeHead(404, { 'content-length': 0 });
          response.end();
          return;
        }
        text().then(
          (body) => {
            response.writeHead(200, { 'content-type': 'text/plain; version=0.0.4' });
            response.end(body);
          },
          () => {
            response.writeHead(500, { 'content-length': 0 });
            response.end();
          },
        );
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
