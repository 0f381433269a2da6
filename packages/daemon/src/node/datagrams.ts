/**
 * Sends and receives datagrams between members. Each datagram is one authenticated JSON-RPC
 * notification; the port number is that of the control port. Delivery is not acknowledged: a state
 * machine that depends on a message retries it itself.
 */
import { createSocket, type RemoteInfo, type Socket } from 'node:dgram';
import { isIPv6 } from 'node:net';
import { type Address, FailureError } from '@cassiamast/coordination';
import { createJSONRPCNotification, isJSONRPCRequest } from 'json-rpc-2.0';
import type { Child } from '../supervisor/supervisor.js';
import { formatAddress, parseAddress } from './address.js';
import { ADDRESS_TAKEN } from './failures.js';
import type { MemberProof } from './secret.js';

/** IP and UDP headers, added to the size of every datagram in the byte counts. */
export const DATAGRAM_HEADER_BYTES = 28;

/** Bytes and datagrams sent and received since the start. Bytes include headers. */
export interface DatagramCounts {
  sentBytes: number;
  sentDatagrams: number;
  receivedBytes: number;
  receivedDatagrams: number;
  /** Received datagrams with an invalid authentication code or without a JSON-RPC notification. */
  rejected: number;
}

/** Sends and receives datagrams. */
export interface Datagrams {
  readonly child: Child;
  readonly send: (member: string, method: string, params: unknown) => void;
  readonly counts: DatagramCounts;
}

/** Handles a received datagram; `from` is the sender's member id. */
export type OnDatagram = (from: string, method: string, params: unknown) => void;

/** Creates the datagram port of a member. */
export function createDatagrams(
  address: Address,
  proof: MemberProof,
  onDatagram: OnDatagram,
): Datagrams {
  const counts: DatagramCounts = {
    sentBytes: 0,
    sentDatagrams: 0,
    receivedBytes: 0,
    receivedDatagrams: 0,
    rejected: 0,
  };
  let socket: Socket | null = null;

  function receive(data: Buffer, sender: RemoteInfo): void {
    counts.receivedBytes += data.length + DATAGRAM_HEADER_BYTES;
    counts.receivedDatagrams += 1;
    const call = decode(proof, data);
    if (call === null) counts.rejected += 1;
    // Members send from the number of their control port, so the source address is the member id.
    else
      onDatagram(
        formatAddress({ host: sender.address, port: sender.port }),
        call.method,
        call.params,
      );
  }

  return {
    counts,
    send: (member, method, params) => {
      if (socket === null) return;
      const text = JSON.stringify(createJSONRPCNotification(method, params));
      const data = Buffer.from(proof.seal(text));
      counts.sentBytes += data.length + DATAGRAM_HEADER_BYTES;
      counts.sentDatagrams += 1;
      const { host, port } = parseAddress(member);
      // Errors are ignored: the probes of the membership detect unreachable peers.
      socket.send(data, port, host, () => undefined);
    },
    child: {
      name: 'datagrams',
      start: (reportFailure) =>
        new Promise((resolve, reject) => {
          const newSocket = createSocket({ type: isIPv6(address.host) ? 'udp6' : 'udp4' });
          const failure = (error: Error): FailureError =>
            new FailureError(
              ADDRESS_TAKEN.of({ address: formatAddress(address), cause: error.message }),
            );
          newSocket.once('error', (error) => {
            newSocket.close();
            reject(failure(error));
          });
          newSocket.on('message', receive);
          newSocket.bind({ port: address.port, address: address.host, exclusive: true }, () => {
            newSocket.removeAllListeners('error');
            newSocket.on('error', (error) => {
              reportFailure(failure(error).failure);
            });
            socket = newSocket;
            resolve();
          });
        }),
      stop: () =>
        new Promise((resolve) => {
          const closing = socket;
          socket = null;
          if (closing === null) resolve();
          else closing.close(resolve);
        }),
    },
  };
}

function decode(
  proof: MemberProof,
  data: Buffer,
): { readonly method: string; readonly params?: unknown } | null {
  const text = proof.open(data.toString('utf8'));
  if (text === null) return null;
  try {
    const call: unknown = JSON.parse(text);
    return isJSONRPCRequest(call) ? call : null;
  } catch {
    return null;
  }
}
