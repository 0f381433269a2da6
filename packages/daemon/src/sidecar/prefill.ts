/**
 * Runs the prefill of a prompt at one engine and the decode at another. The sidecar of the decode
 * engine calls the sidecar of the prefill engine and then has its own engine fetch the KV cache. If
 * any step fails, the decode engine runs the prefill itself, which is slower but does not fail the
 * request.
 */
import { FailureError } from '@cassiamast/coordination';
import { type EngineClient, EngineChunkKind, type EngineRequest } from '@cassiamast/ports';
import type { RpcHandler } from '../node/control-server.js';
import type { RpcClient } from '../node/rpc-client.js';
import type { Telemetry } from '../node/telemetry.js';
import { RpcMethod } from '../protocol/methods.js';
import type { ModelPayload } from '../protocol/stream.js';
import { TARGET_NOT_SERVING } from './failures.js';

/** Allows for the longest prompts, whose prefill takes seconds. */
const PREFILL_TIMEOUT_MS = 30_000;
/** Suffix that makes the stream id at the prefill engine differ from that at the decode engine. */
const PREFILL_SUFFIX = '/prefill';

/** Parameters of a prefill request. */
interface PrefillParams {
  readonly streamId: string;
  readonly payload: ModelPayload;
}

/** Dependencies of the prefill transfer. */
export interface PrefillOptions {
  readonly rpc: RpcClient;
  readonly engine: () => EngineClient | null;
  readonly telemetry: Telemetry;
}

/** Both sides of the prefill transfer: requesting a prefill and running one for another sidecar. */
export interface Prefill {
  /** Requests a prefill at another engine; returns the local KV cache handle, or null on failure. */
  readonly request: (attemptId: string, payload: ModelPayload) => Promise<string | null>;
  readonly handlers: Readonly<Record<string, RpcHandler>>;
}

/** Creates both sides of the prefill transfer. */
export function createPrefill(options: PrefillOptions): Prefill {
  async function request(attemptId: string, payload: ModelPayload): Promise<string | null> {
    const { reader } = payload;
    const engine = options.engine();
    if (reader === null || engine === null) return null;
    const params: PrefillParams = { streamId: attemptId + PREFILL_SUFFIX, payload };
    const kvHandle = await options.rpc
      .call<string>(reader.sidecar, RpcMethod.PrefillRun, params, {
        timeoutMs: PREFILL_TIMEOUT_MS,
      })
      .andThen((handle) => engine.importKv(handle, reader.engineUrl).map(() => handle))
      .unwrapOr(null);
    options.telemetry.count(kvHandle === null ? 'prefills_failed_total' : 'prefills_total');
    return kvHandle;
  }

  function run(params: PrefillParams): Promise<string> {
    const engine = options.engine();
    if (engine === null) {
      return Promise.reject(
        new FailureError(TARGET_NOT_SERVING.of({ target: '', reason: 'it has no engine' })),
      );
    }
    return new Promise((resolve, reject) => {
      engine.generate(toPrefillRequest(params), {
        onChunk: (chunk) => {
          if (chunk.kind === EngineChunkKind.Finished && chunk.kvHandle !== null) {
            resolve(chunk.kvHandle);
          }
        },
        onEnd: () => {
          reject(new FailureError(TARGET_NOT_SERVING.of({ target: '', reason: 'no KV cache' })));
        },
        onFailure: (failure) => {
          reject(new FailureError(failure));
        },
      });
    });
  }

  return {
    request,
    handlers: { [RpcMethod.PrefillRun]: (params) => run(params as PrefillParams) },
  };
}

function toPrefillRequest({ streamId, payload }: PrefillParams): EngineRequest {
  const { model, adapter, prompt, priority, temperature, seed } = payload;
  return {
    streamId,
    model,
    adapter,
    prompt,
    maxTokens: 1,
    priority,
    temperature,
    seed,
    continueFrom: [],
    kvHandle: null,
    prefillOnly: true,
  };
}
