/**
 * Sends an attempt to one entry as it grows. Under back-pressure nothing is queued: the reader
 * remembers its place and sends one larger batch once the entry reads on.
 */
import type { ServerResponse } from 'node:http';
import {
  type JSONRPCID,
  createJSONRPCErrorResponse,
  createJSONRPCNotification,
  createJSONRPCSuccessResponse,
} from 'json-rpc-2.0';
import { RPC_FAILURE_CODE } from '../node/control-server.js';
import { startEventStream } from '../node/event-stream.js';
import { RpcMethod } from '../protocol/methods.js';
import type { StreamTokensParams } from '../protocol/stream.js';
import { type Attempt, type AttemptEnd, firstIndex } from './attempt.js';

/** Sends the attempt from `fromIndex` on until its end or until the entry goes away. */
export function sendAttempt(
  attempt: Attempt,
  fromIndex: number,
  callId: JSONRPCID,
  response: ServerResponse,
): void {
  let nextIndex = Math.max(fromIndex, firstIndex(attempt));
  let mayWrite = true;
  const stream = startEventStream(response, {}, () => {
    mayWrite = true;
    pump();
  });

  function pump(): void {
    if (!stream.isOpen()) return;
    const tokens = attempt.tokens.slice(nextIndex - firstIndex(attempt));
    if (tokens.length > 0 && mayWrite) {
      const params: StreamTokensParams = { index: nextIndex, tokens };
      nextIndex += tokens.length;
      const message = createJSONRPCNotification(RpcMethod.StreamTokens, params);
      mayWrite = stream.write({ data: JSON.stringify(message) });
    }
    const allSent = nextIndex === firstIndex(attempt) + attempt.tokens.length;
    if (attempt.end === null || !allSent) return;
    stream.write({ data: JSON.stringify(endMessage(attempt.end, callId)) });
    stream.end();
  }

  attempt.readers.add(pump);
  response.on('close', () => attempt.readers.delete(pump));
  pump();
}

function endMessage(end: AttemptEnd, callId: JSONRPCID): unknown {
  if (end.ok) return createJSONRPCSuccessResponse(callId, end.result);
  return createJSONRPCErrorResponse(callId, RPC_FAILURE_CODE, end.failure.message, end.failure);
}
