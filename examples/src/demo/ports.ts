/**
 * Finds a run of free ports, TCP and UDP alike, so that several demos can run beside each other.
 */
import { createSocket } from 'node:dgram';
import { createServer } from 'node:net';
import { PORTS_PER_DEPLOYMENT } from '../deployment/layout.js';

const HOST = '127.0.0.1';
const FIRST_PORT = 21_000;
const BLOCK_PORTS = 100;
const BLOCKS = 10;

/** The first port of a free block; `preferred` spreads runs that start at the same time. */
export async function findFreeBlock(preferred: number): Promise<number> {
  for (let at = 0; at < BLOCKS; at++) {
    const base = FIRST_PORT + ((preferred + at) % BLOCKS) * BLOCK_PORTS;
    if (await isBlockFree(base)) return base;
  }
  throw new RangeError(`no block of ${String(PORTS_PER_DEPLOYMENT)} free ports was found`);
}

async function isBlockFree(base: number): Promise<boolean> {
  const ports = Array.from({ length: PORTS_PER_DEPLOYMENT }, (_, at) => base + at);
  const free = await Promise.all(ports.flatMap((port) => [isTcpFree(port), isUdpFree(port)]));
  return free.every(Boolean);
}

function isTcpFree(port: number): Promise<boolean> {
  return new Promise((resolve) => {
    const server = createServer();
    server.once('error', () => {
      resolve(false);
    });
    server.listen({ host: HOST, port, exclusive: true }, () => {
      server.close(() => {
        resolve(true);
      });
    });
  });
}

function isUdpFree(port: number): Promise<boolean> {
  return new Promise((resolve) => {
    const socket = createSocket('udp4');
    socket.once('error', () => {
      resolve(false);
    });
    socket.bind({ address: HOST, port, exclusive: true }, () => {
      socket.close(() => {
        resolve(true);
      });
    });
  });
}
