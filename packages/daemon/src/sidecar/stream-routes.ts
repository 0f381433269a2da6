/** The streams a sidecar offers to entries: open an attempt, or attach to one. */
import type { ServerResponse } from 'node:http';
import { FailureError } from '@cassiamast/coordination';
import { type JSONRPCRequest, createJSONRPCErrorResponse } from 'json-rpc-2.0';
import { RPC_FAILURE_CODE, type StreamHandler } from '../node/control-server.js';
import { startEventStream } from '../node/event-stream.js';
import { RpcMethod } from '../protocol/methods.js';
import type { StreamAttachParams, StreamOpenParams } from '../protocol/stream.js';
import { sendAttempt } from './attempt-reader.js';
import type { Attempt } from './attempt.js';
import type { EngineAttempts } from './engine-attempts.js';

/** The stream handlers of a sidecar. */
export function createStreamRoutes(
  attempts: EngineAttempts,
): Readonly<Partial<Record<RpcMethod, StreamHandler>>> {
  return {
    [RpcMethod.StreamOpen]: (call, response) => {
      const params = call.params as StreamOpenParams;
      answer(call, response, params.continueFrom.length, () => attempts.open(params));
    },
    [RpcMethod.StreamAttach]: (call, response) => {
      const params = call.params as StreamAttachParams;
      answer(call, response, params.fromIndex, () => attempts.find(params.attemptId));
    },
  };
}

function answer(
  call: JSONRPCRequest,
  response: ServerResponse,
  fromIndex: number,
  find: () => Attempt,
): void {
  const callId = call.id ?? null;
  try {
    sendAttempt(find(), fromIndex, callId, response);
  } catch (error) {
    if (!(error instanceof FailureError)) throw error;
    const { failure } = error;
    const message = createJSONRPCErrorResponse(callId, RPC_FAILURE_CODE, failure.message, failure);
    const stream = startEventStream(response, {}, () => undefined);
    stream.write({ data: JSON.stringify(message) });
    stream.end();
  }
}
