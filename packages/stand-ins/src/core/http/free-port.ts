/**
 * Free ports of the loopback address for processes that are told their ports beforehand. Chosen below
 * the range from which the operating system takes the ports of outgoing connections: one from there
 * may be taken by any connection before its process listens, which shows as a process that can't bind.
 */
import { randomInt } from 'node:crypto';
import { createServer } from 'node:net';

const HOST = '127.0.0.1';
const FIRST_PORT = 10_240;
/** Where the ports of outgoing connections begin on Linux. */
const END_PORT = 32_768;

/** A port that nothing listens on at this moment. */
export async function freePort(): Promise<number> {
  for (;;) {
    const port = randomInt(FIRST_PORT, END_PORT);
    if (await isFree(port)) return port;
  }
}

function isFree(port: number): Promise<boolean> {
  return new Promise((resolve) => {
    const server = createServer();
    server.once('error', () => {
      resolve(false);
    });
    server.listen({ host: HOST, port }, () => {
      server.close(() => {
        resolve(true);
      });
    });
  });
}
