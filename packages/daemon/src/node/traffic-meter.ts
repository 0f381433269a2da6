/**
 * Counts every byte that the process's TCP sockets carry, headers of HTTP included, by which side of
 * the system they belong to. The sockets are found by Node's own diagnostics channels, so that no
 * transport has to be wrapped and none is forgotten.
 */
import diagnosticsChannel from 'node:diagnostics_channel';
import type { Socket } from 'node:net';

/** IP and TCP headers of a segment, without options; a rough part of the whole. */
const SEGMENT_HEADER_BYTES = 40;
const SEGMENT_BYTES = 1_448;

/** Bytes in and out since the start. */
export interface TrafficCounts {
  readonly receivedBytes: number;
  readonly sentBytes: number;
}

/** Meters the sockets of this process. */
export interface TrafficMeter {
  readonly read: () => TrafficCounts;
  /** Leaves out the sockets to a port, such as that of the engine on the same VM. */
  readonly leaveOut: (remotePort: number) => void;
  readonly stop: () => void;
}

/** Starts metering; sockets that exist already are not seen, so it comes first in a process. */
export function startTrafficMeter(): TrafficMeter {
  const open = new Set<Socket>();
  const leftOutPorts = new Set<number>();
  let receivedBytes = 0;
  let sentBytes = 0;

  function take(message: unknown): void {
    const { socket } = message as { readonly socket: Socket };
    open.add(socket);
    // The port is known once the socket is connected, and no more after it has closed.
    let isLeftOut = false;
    socket.once('connect', () => {
      isLeftOut = leftOutPorts.has(socket.remotePort ?? 0);
      if (isLeftOut) open.delete(socket);
    });
    socket.once('close', () => {
      open.delete(socket);
      if (isLeftOut) return;
      receivedBytes += socket.bytesRead;
      sentBytes += socket.bytesWritten;
    });
  }

  diagnosticsChannel.subscribe('net.client.socket', take);
  diagnosticsChannel.subscribe('net.server.socket', take);
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
    leaveOut: (remotePort) => {
      leftOutPorts.add(remotePort);
    },
    stop: () => {
      diagnosticsChannel.unsubscribe('net.client.socket', take);
      diagnosticsChannel.unsubscribe('net.server.socket', take);
    },
  };
}

function withHeaders(bytes: number): number {
  return bytes + Math.ceil(bytes / SEGMENT_BYTES) * SEGMENT_HEADER_BYTES;
}
