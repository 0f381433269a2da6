/**
 * Finds free loopback ports for processes whose ports are configured before they start. The ports lie
 * below the ephemeral port range of the operating system: any outgoing connection may take an
 * ephemeral port before the process listens, and the process then fails to bind. Single ports and
 * blocks come from separate ranges.
 */
import { randomInt } from 'node:crypto';
import { createSocket } from 'node:dgram';
import { type Server, createServer } from 'node:net';

const HOST = '127.0.0.1';
/** The ports below this one are for manual use in commands. */
const FIRST_BLOCK_PORT = 16_384;
const FIRST_SINGLE_PORT = 22_016;
/** First port of the ephemeral range on Linux. */
const END_PORT = 32_768;
/** Ports per block. The first is the lock; the others are available to the owner of the block. */
const BLOCK_PORTS = 128;
const BLOCKS = (FIRST_SINGLE_PORT - FIRST_BLOCK_PORT) / BLOCK_PORTS;

/** Ports already returned in this process. A port without a listener still looks free. */
const returnedPorts = new Set<number>();

/** Returns a port that has no listener now and that was not returned before in this process. */
export async function freePort(): Promise<number> {
  for (;;) {
    const port = randomInt(FIRST_SINGLE_PORT, END_PORT);
    if (returnedPorts.has(port) || !(await isFree(port))) continue;
    returnedPorts.add(port);
    return port;
  }
}

/** Consecutive ports that no other test rig uses until they are released. */
export interface PortBlock {
  readonly first: number;
  readonly count: number;
  readonly release: () => Promise<void>;
}

/**
 * Reserves ports for processes that are killed and restarted. Without a reservation, another test rig
 * can take a port while its process is down, and the restarted process fails to bind. The owner of a
 * block listens on its first port as a lock, which only one process can do.
 */
export async function reservePortBlock(): Promise<PortBlock> {
  const firstIndex = randomInt(BLOCKS);
  for (let offset = 0; offset < BLOCKS; offset += 1) {
    const lockPort = FIRST_BLOCK_PORT + ((firstIndex + offset) % BLOCKS) * BLOCK_PORTS;
    const lock = await tryListen(lockPort);
    if (lock === null) continue;
    const first = lockPort + 1;
    const count = BLOCK_PORTS - 1;
    if (await areFree(first, count)) return { first, count, release: () => close(lock) };
    await close(lock);
  }
  throw new RangeError(`none of ${String(BLOCKS)} blocks of ports is free`);
}

async function areFree(first: number, count: number): Promise<boolean> {
  for (let port = first; port < first + count; port += 1) {
    if (!(await isFree(port)) || !(await isUdpFree(port))) return false;
  }
  return true;
}

async function isFree(port: number): Promise<boolean> {
  const server = await tryListen(port);
  if (server !== null) await close(server);
  return server !== null;
}

/** Listens on a port. Returns null if the port is in use. The listener does not keep the process alive. */
function tryListen(port: number): Promise<Server | null> {
  return new Promise((resolve) => {
    const server = createServer();
    server.unref();
    server.once('error', () => {
      resolve(null);
    });
    server.listen({ host: HOST, port, exclusive: true }, () => {
      resolve(server);
    });
  });
}

function close(server: Server): Promise<void> {
  return new Promise((resolve) => {
    server.close(() => {
      resolve();
    });
  });
}

function isUdpFree(port: number): Promise<boolean> {
  return new Promise((resolve) => {
    const socket = createSocket('udp4');
    socket.once('error', () => {
      socket.close();
      resolve(false);
    });
    socket.bind({ address: HOST, port, exclusive: true }, () => {
      socket.close(() => {
        resolve(true);
      });
    });
  });
}
