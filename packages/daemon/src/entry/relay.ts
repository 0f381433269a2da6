/**
 * Relays one attempt from a sidecar to whoever takes its tokens. Holds nothing back: while the
 * taker is slow the sidecar's connection is not read, and the sidecar keeps the answer.
 */
import type { Failure } from '@cassiamast/coordination';
import type { MemberStream, RpcClient } from '../node/rpc-client.js';
import { RpcMethod } from '../protocol/methods.js';
import type {
  StreamAttachParams,
  StreamOpenParams,
  StreamResult,
  StreamTokensParams,
} from '../protocol/stream.js';

/** Who takes an attempt's tokens. `onResult` or `onFailure` comes once, last. */
export interface RelayHandlers {
  readonly onTokens: (batch: StreamTokensParams) => void;
  readonly onResult: (result: StreamResult) => void;
  readonly onFailure: (failure: Failure) => void;
}

/** Opens an attempt at a sidecar and relays it. */
export function relayOpen(
  rpc: RpcClient,
  sidecar: string,
  params: StreamOpenParams,
  handlers: RelayHandlers,
): MemberStream {
  return relay(rpc, sidecar, RpcMethod.StreamOpen, params, handlers);
}

/** Relays an attempt that runs or ran already, from a token on. */
export function relayAttach(
  rpc: RpcClient,
  sidecar: string,
  params: StreamAttachParams,
  handlers: RelayHandlers,
): MemberStream {
  return relay(rpc, sidecar, RpcMethod.StreamAttach, params, handlers);
}

function relay(
  rpc: RpcClient,
  sidecar: string,
  method: RpcMethod,
  params: unknown,
  handlers: RelayHandlers,
): MemberStream {
  return rpc.stream(sidecar, method, params, {
    onNotification: (_method, batch) => {
      handlers.onTokens(batch as StreamTokensParams);
    },
    onResult: (result) => {
      handlers.onResult(result as StreamResult);
    },
    onFailure: handlers.onFailure,
  });
}
