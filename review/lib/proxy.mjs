// A loopback TCP proxy, which can drop all further bytes of the connections that are open.
import { connect, createServer } from 'node:net';
import { listen } from './http.mjs';

export async function startProxy(upstream) {
  const pairs = new Set();
  let accepted = 0;
  const [host, port] = upstream.split(':');
  const server = createServer({ allowHalfOpen: true }, (near) => {
    accepted += 1;
    const far = connect({ host, port: Number(port), allowHalfOpen: true });
    const pair = { near, far, isSilent: false };
    pairs.add(pair);
    const pass = (from, to) => {
      from.setNoDelay(true);
      from.on('error', () => undefined);
      from.on('data', (bytes) => {
        if (!pair.isSilent && !to.destroyed) to.write(bytes);
      });
      from.on('end', () => {
        if (!pair.isSilent) to.end();
      });
      from.on('close', (hadError) => {
        if (pair.isSilent) return;
        if (hadError) to.resetAndDestroy();
        if (near.destroyed && far.destroyed) pairs.delete(pair);
      });
    };
    pass(near, far);
    pass(far, near);
  });
  const address = await listen(server, '127.0.0.1', 0);
  return {
    address,
    accepted: () => accepted,
    open: () => [...pairs].filter(({ near, isSilent }) => !near.destroyed && !isSilent).length,
    /** Connections that are open now go silent for good, without a reset; new ones work. */
    silenceOpen: () => {
      for (const pair of pairs) pair.isSilent = true;
    },
    close: () => {
      for (const { near, far } of pairs) {
        near.destroy();
        far.destroy();
      }
      return new Promise((resolve) => server.close(() => resolve()));
    },
  };
}
