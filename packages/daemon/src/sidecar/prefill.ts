/**
 * Reading a prompt at one engine for another to write the answer. The writer's sidecar asks the
 * reader's, then has its own engine fetch the KV cache. Whatever fails, the writer reads the prompt
 * itself: slower, and never a reason to fail the request.
 */
import { FailureError } from '@cassiamast/coordination';
import { type EngineClient, EngineChunkKind, type EngineRequest } from '@cassiamast/ports';
import type { RpcHandler } from '../node/control-server.js';
import type { RpcClient } from '../node/rpc-client.js';
import type { Telemetry } from '../node/telemetry.js';
import { RpcMethod } from '../protocol/methods.js';
import type { ModelPayload } from '../protocol/stream.js';
import { TARGET_NOT_SERVING } from './failures.js';

/** The longest prompts take seconds to read. */
const PREFILL_TIMEOUT_MS = 30_000;
/** Ends the stream's id at the reading engine, so that it is not the writing one's. */
const PREFILL_SUFFIX = '/prefill';

/** What a reader is asked. */
interface PrefillParams {
  readonly streamId: string;
  readonly payload: ModelPayload;
}

/** What prefilling needs. */
export interface PrefillOptions {
  readonly rpc: RpcClient;
  readonly engine: () => EngineClient | null;
  readonly telemetry: Telemetry;
}

/** Prefilling, as reader and as writer. */
export interface Prefill {
  /** Has the prompt read elsewhere; the handle of the cache here, or null when that failed. */
  readonly request: (attemptId: string, payload: ModelPayload) => Promise<string | null>;
  readonly handlers: Readonly<Record<string, RpcHandler>>;
}

/** Makes both sides. */
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
