/**
 * Counts the bytes that the TCP sockets of this process send and receive, including HTTP headers,
 * except for excluded ports. Sockets are found through Node's diagnostics channels, so no transport
 * has to be wrapped and none is missed.
 */
import diagnosticsChannel from 'node:diagnostics_channel';
import type { Socket } from 'node:net';

/** IP and TCP headers of a segment, without options; used for a rough estimate. */
const SEGMENT_HEADER_BYTES = 40;
const SEGMENT_BYTES = 1_448;

/** Bytes received and sent since the start. */
export interface TrafficCounts {
  readonly receivedBytes: number;
  readonly sentBytes: number;
}

/** Measures the traffic of the sockets of this process. */
export interface TrafficMeter {
  readonly read: () => TrafficCounts;
  /** Excludes the sockets to a port, such as that of the engine on the same VM. */
  readonly excludePort: (remotePort: number) => void;
  readonly stop: () => void;
}

/** Starts measuring. Must be called first in a process, since existing sockets are not counted. */
export function startTrafficMeter(): TrafficMeter {
  const open = new Set<Socket>();
  const excludedPorts = new Set<number>();
  let receivedBytes = 0;
  let sentBytes = 0;

  function trackSocket(message: unknown): void {
    const { socket } = message as { readonly socket: Socket };
    open.add(socket);
    // The remote port is known only between connecting and closing.
    let isExcluded = false;
    socket.once('connect', () => {
      isExcluded = excludedPorts.has(socket.remotePort ?? 0);
      if (isExcluded) open.delete(socket);
    });
    socket.once('close', () => {
      open.delete(socket);
      if (isExcluded) return;
      receivedBytes += socket.bytesRead;
      sentBytes += socket.bytesWritten;
    });
  }

  diagnosticsChannel.subscribe('net.client.socket', trackSocket);
  diagnosticsChannel.subscribe('net.server.socket', trackSocket);
  return {
    read: () => {
      let receivedNow = receivedBytes;
      let sentNow = sentBytes;
      for (const socket of open) {
        receivedNow += socket.bytesRead;
        sentNow += socket.bytesWritten;
      }
      return { receivedBytes: withHeaders(receivedNow), sentBytes: withHeaders(sentNow) };
    },
    excludePort: (remotePort) => {
      excludedPorts.add(remotePort);
    },
    stop: () => {
      diagnosticsChannel.unsubscribe('net.client.socket', trackSocket);
      diagnosticsChannel.unsubscribe('net.server.socket', trackSocket);
    },
  };
}

function withHeaders(bytes: number): number {
  return bytes + Math.ceil(bytes / SEGMENT_BYTES) * SEGMENT_HEADER_BYTES;
}
