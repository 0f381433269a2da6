/**
 * A crowd of misbehaving HTTP clients. Each opens one connection, writes prepared bytes as fast as the
 * server takes them, does not read the answers unless asked to, and keeps the connection open.
 */
import { type Socket, connect } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';

const POLL_MS = 50;
/** A client whose server takes no byte for this long has sent all that it can. */
const BLOCKED_MS = 1000;
/** Time in which the server reads what its kernel has received. */
const DWELL_MS = 1500;
const BLOCK_BYTES = 64 * 1024;

/** What each client of a crowd sends. */
export interface CrowdScript {
  /** Number of connections. */
  readonly clients: number;
  /** Sent once. */
  readonly head: string;
  /** Sent again and again after the head, up to `totalBytes`. */
  readonly block: Buffer;
  /** Bytes to send after the head. */
  readonly totalBytes: number;
  /** Sent after these bytes; nothing by default. */
  readonly tail?: string;
  /** Whether the clients read the answers. */
  readonly reads: boolean;
}

/** A crowd whose connections are open. */
export interface Crowd {
  /**
   * Resolves some time after each client has sent all its bytes, is blocked or was disconnected.
   */
  readonly settled: (timeoutMs: number) => Promise<void>;
  /** Resolves with whether each client has read an answer that contains the text. */
  readonly answered: (text: string, timeoutMs: number) => Promise<boolean>;
  /** Closes all connections with a reset; resolves when all are closed. */
  readonly leave: () => Promise<void>;
}

interface CrowdClient {
  readonly socket: Socket;
  hasClosed: boolean;
  /** Bytes that the kernel has taken, as of the last progress. */
  flushedBytes: number;
  progressAtMs: number;
  received: string;
}

/** Repeats a text to a block of about 64 KiB. */
export function blockOf(text: string): Buffer {
  return Buffer.from(text.repeat(Math.max(1, Math.floor(BLOCK_BYTES / text.length))), 'latin1');
}

/** Returns a block of chunks of a chunked body, each with this many bytes. */
export function chunksOf(bytes: number): Buffer {
  return blockOf(`${bytes.toString(16)}\r\n${'a'.repeat(bytes)}\r\n`);
}

/** Connects a crowd to `host:port` and starts to send. */
export function startCrowd(address: string, script: CrowdScript): Crowd {
  const clients = Array.from({ length: script.clients }, () => startClient(address, script));
  return {
    settled: async (timeoutMs) => {
      await waitFor(() => clients.filter(isSending).length === 0, timeoutMs);
      await sleep(DWELL_MS);
    },
    answered: (text, timeoutMs) =>
      waitFor(() => clients.every(({ received }) => received.includes(text)), timeoutMs),
    leave: async () => {
      await Promise.all(
        clients.map(async ({ socket }) => {
          if (socket.closed) return;
          const closed = new Promise((resolve) => socket.once('close', resolve));
          if (socket.connecting) socket.destroy();
          else socket.resetAndDestroy();
          await closed;
        }),
      );
    },
  };
}

/** Resolves with whether the condition was met in time. */
async function waitFor(condition: () => boolean, timeoutMs: number): Promise<boolean> {
  const endsAtMs = performance.now() + timeoutMs;
  while (!condition()) {
    if (performance.now() > endsAtMs) return false;
    await sleep(POLL_MS);
  }
  return true;
}

/** Notes the progress of a client; returns whether it has made any lately. */
function isSending(client: CrowdClient): boolean {
  const { socket } = client;
  const flushedBytes = socket.bytesWritten - socket.writableLength;
  if (flushedBytes !== client.flushedBytes) client.progressAtMs = performance.now();
  client.flushedBytes = flushedBytes;
  return !client.hasClosed && performance.now() - client.progressAtMs < BLOCKED_MS;
}

function startClient(address: string, script: CrowdScript): CrowdClient {
  const [host, port] = address.split(':');
  const socket = connect({ host, port: Number(port) });
  const client: CrowdClient = {
    socket,
    hasClosed: false,
    flushedBytes: 0,
    progressAtMs: performance.now(),
    received: '',
  };
  let sentBytes = 0;
  let hasSentTail = false;
  const send = (): void => {
    while (sentBytes < script.totalBytes) {
      const part = script.block.subarray(0, script.totalBytes - sentBytes);
      sentBytes += part.length;
      if (!socket.write(part)) return;
    }
    if (!hasSentTail) socket.write(script.tail ?? '', 'latin1');
    hasSentTail = true;
  };
  socket.once('connect', () => {
    socket.write(script.head, 'latin1');
    send();
  });
  socket.on('drain', send);
  socket.on('error', () => undefined);
  socket.once('close', () => {
    client.hasClosed = true;
  });
  if (script.reads) {
    socket.on('data', (bytes) => {
      client.received += bytes.toString('latin1');
    });
  } else socket.pause();
  return client;
}
