/** What one connection of a client holds, and in which phase it is. */
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import { ConnectionPhase, type ConnectionUse } from '@cassiamast/coordination';

/** Memory of a connection and its parser. */
const CONNECTION_BYTES = 4 * 1024;
/** Memory of a request while it is forwarded, without head and body; counted twice, as it is in the heap. */
const REQUEST_BYTES = 96 * 1024;
/** Memory of a refused request until its answer is written. */
const REFUSED_REQUEST_BYTES = 4 * 1024;
/** Memory of a byte of a head, as text. */
const HEAD_FACTOR = 2;
/** What the kernel receives at most for a connection that is not read from. */
const KERNEL_BYTES = 128 * 1024;
/** The phases of a request. */
export enum RequestPhase {
  Receiving,
  Waiting,
  Running,
}

/** A request without a whole answer. */
export interface GuardedRequest {
  readonly response: ServerResponse;
  readonly headBytes: number;
  phase: RequestPhase;
  bodyBytes: number;
  isRefused: boolean;
  refuse: (() => void) | null;
  /** Lets a waiting request run, or not. */
  start: ((mayRun: boolean) => void) | null;
}

/** A connection and its requests, in their order. */
export interface Connection extends ConnectionUse {
  readonly socket: Socket;
  readonly requests: Set<GuardedRequest>;
  phase: ConnectionPhase;
  bytes: number;
  isRunning: boolean;
  running: number;
  hasBeenServed: boolean;
  activeAtMs: number;
  /** Responses that the runtime keeps, also those that it gives by itself. */
  responses: number;
  /** Whether reading stops with the next tick. */
  isStopping: boolean;
  /** When the connection began to end; null while it accepts requests. */
  endsSinceMs: number | null;
  /** Bytes read when the newest request was whole. */
  wholeBytes: number;
  /** Bytes of an unfinished head and of answers, as of the last check. */
  measuredBytes: number;
  /** Bytes written to the kernel, as of the last check. */
  flushedBytes: number;
  isUnread: boolean;
}

/** Returns the state of a connection without requests. */
export function newConnection(socket: Socket, nowMs: number): Connection {
  return {
    socket,
    requests: new Set(),
    phase: ConnectionPhase.Idle,
    bytes: 0,
    isRunning: false,
    running: 0,
    hasBeenServed: false,
    activeAtMs: nowMs,
    responses: 0,
    isStopping: false,
    endsSinceMs: null,
    wholeBytes: 0,
    measuredBytes: 0,
    flushedBytes: 0,
    isUnread: false,
  };
}

/** Returns whether a request is being received. */
export function isReceiving({ phase }: GuardedRequest): boolean {
  return phase === RequestPhase.Receiving;
}

/** Returns the first request in a phase, or null. */
export function find({ requests }: Connection, phase: RequestPhase): GuardedRequest | null {
  for (const request of requests) if (request.phase === phase) return request;
  return null;
}

/** Returns the number of requests that run. */
export function countRunning({ requests }: Connection): number {
  let running = 0;
  for (const { phase } of requests) if (phase === RequestPhase.Running) running += 1;
  return running;
}

/** Returns how much memory a connection holds. */
export function bytesOf({ requests, measuredBytes }: Connection): number {
  let bytes = CONNECTION_BYTES + measuredBytes;
  for (const { isRefused, headBytes, bodyBytes } of requests) {
    const ownBytes = isRefused ? REFUSED_REQUEST_BYTES : REQUEST_BYTES;
    bytes += ownBytes + headBytes + bodyBytes;
  }
  return bytes;
}

/** Returns what the client of a connection waits for. */
export function phaseOf(connection: Connection): ConnectionPhase {
  const { requests, isUnread, endsSinceMs, measuredBytes } = connection;
  if (find(connection, RequestPhase.Receiving) !== null) return ConnectionPhase.Receiving;
  if (find(connection, RequestPhase.Waiting) !== null) return ConnectionPhase.Waiting;
  if (isUnread) return ConnectionPhase.Unread;
  if (requests.size > 0) return ConnectionPhase.Running;
  return measuredBytes > 0 && endsSinceMs === null
    ? ConnectionPhase.Receiving
    : ConnectionPhase.Idle;
}

/** Returns how much memory the head of a request takes. */
export function headBytesOf({ rawHeaders, url }: IncomingMessage): number {
  let characters = url?.length ?? 0;
  for (const text of rawHeaders) characters += text.length;
  return characters * HEAD_FACTOR;
}

/** Measures the bytes of an unfinished head, and of answers that the client has not read. */
export function measure(connection: Connection): void {
  const { socket, requests, wholeBytes, endsSinceMs } = connection;
  let answerBytes = 0;
  for (const { response } of requests) {
    answerBytes += response.writableLength - (response.socket?.writableLength ?? 0);
  }
  const flushedBytes = socket.bytesWritten - socket.writableLength;
  connection.isUnread = socket.writableLength > 0 && flushedBytes === connection.flushedBytes;
  connection.flushedBytes = flushedBytes;
  const isReceiving = find(connection, RequestPhase.Receiving) !== null;
  const headBytes = isReceiving || endsSinceMs !== null ? 0 : socket.bytesRead - wholeBytes;
  const kernelBytes = connection.isUnread || endsSinceMs !== null ? KERNEL_BYTES : 0;
  connection.measuredBytes =
    answerBytes + socket.writableLength + headBytes * HEAD_FACTOR + kernelBytes;
}
