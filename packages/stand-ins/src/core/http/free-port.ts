/**
 * Free ports of the loopback address for processes that are told their ports beforehand. Chosen below
 * the range from which the operating system takes the ports of outgoing connections: one from there
 * may be taken by any connection before its process listens, which shows as a process that can't bind.
 * Single ports and blocks come from ranges of their own.
 */
import { randomInt } from 'node:crypto';
import { createSocket } from 'node:dgram';
import { type Server, createServer } from 'node:net';

const HOST = '127.0.0.1';
/** Below are the ports that commands are given by hand. */
const FIRST_BLOCK_PORT = 16_384;
const FIRST_SINGLE_PORT = 22_016;
/** Where the ports of outgoing connections begin on Linux. */
const END_PORT = 32_768;
/** Ports of a block: the first is its lock, the others are for whoever reserved it. */
const BLOCK_PORTS = 128;
const BLOCKS = (FIRST_SINGLE_PORT - FIRST_BLOCK_PORT) / BLOCK_PORTS;

/** Ports that this process was given; one that nobody listens on yet is still free to look at. */
const given = new Set<number>();

/** A port that nothing listens on at this moment, and that this process was not given before. */
export async function freePort(): Promise<number> {
  for (;;) {
    const port = randomInt(FIRST_SINGLE_PORT, END_PORT);
    if (given.has(port) || !(await isFree(port))) continue;
    given.add(port);
    return port;
  }
}

/** Consecutive ports that no other rig takes until they are released. */
export interface PortBlock {
  readonly first: number;
  readonly count: number;
  readonly release: () => Promise<void>;
}

/**
 * Reserves ports for processes that are killed and started again. Failure guarded against: nothing
 * holds a port while its process is dead, and a rig beside this one takes it; it shows as a process
 * that can't bind when it is started again. The guard holds because whoever reserved a block listens
 * on its first port, which only one can.
 */
export async function reservePortBlock(): Promise<PortBlock> {
  const start = randomInt(BLOCKS);
  for (let at = 0; at < BLOCKS; at += 1) {
    const lockPort = FIRST_BLOCK_PORT + ((start + at) % BLOCKS) * BLOCK_PORTS;
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

/** Listens on a port; null where another process does. The listener keeps no process running. */
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
