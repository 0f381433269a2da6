/**
 * A plain service as backend: one call, one whole answer. A call whose answer was lost may have
 * run; nothing here repeats it.
 */
import { HostEventKind } from '@cassiamast/coordination';
import type { PlainServiceClient } from '@cassiamast/ports';
import type { PlainPayload } from '../protocol/stream.js';
import type { Backend, OnBackendEvent } from './backend.js';

/** Why a plain answer "ended", where a model's answer names its finish reason. */
const PLAIN_REASON = 'plain';

/** Makes the backend of one plain service. */
export function createPlainBackend(service: PlainServiceClient, onEvent: OnBackendEvent): Backend {
  let running = 0;
  let isRetired = false;

  function letGo(): void {
    if (isRetired && running === 0) void service.close();
  }

  return {
    start: (attempt, payload) => {
      const { method, path, headers, bodyBase64, timeoutMs } = payload as PlainPayload;
      const request = { requestId: attempt.id, method, path, headers, bodyBase64, timeoutMs };
      const attemptId = attempt.id;
      running += 1;
      void service.call(request).match(
        (plain) => {
          running -= 1;
          letGo();
          const counts = { promptTokens: 0, cachedTokens: 0, outputTokens: 0 };
          const ending = { reason: PLAIN_REASON, ...counts, plain };
          onEvent({ kind: HostEventKind.EngineEnded, attemptId, ending });
        },
        (failure) => {
          running -= 1;
          letGo();
          const data = (failure.data ?? {}) as { readonly mayHaveRun?: boolean };
          const mayHaveRun = data.mayHaveRun ?? true;
          onEvent({ kind: HostEventKind.EngineStreamFailed, attemptId, mayHaveRun });
        },
      );
    },
    // A plain service keeps no streams: what a former sidecar had sent is out of reach.
    resume: (attemptId) => {
      onEvent({ kind: HostEventKind.EngineStreamMissing, attemptId });
    },
    cancel: () => undefined,
    retire: () => {
      isRetired = true;
      letGo();
    },
  };
}
