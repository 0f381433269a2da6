/**
 * Runs attempts on a plain service, which answers each call with one complete response. A call whose
 * answer was lost may have run, so the backend never repeats it.
 */
import { HostEventKind } from '@cassiamast/coordination';
import type { PlainServiceClient } from '@cassiamast/ports';
import type { PlainPayload } from '../protocol/stream.js';
import type { Backend, OnBackendEvent } from './backend.js';

/** Reported as the reason for the end, where the answer of a model has its finish reason. */
const PLAIN_REASON = 'plain';

/** Creates the backend of one plain service. */
export function createPlainBackend(service: PlainServiceClient, onEvent: OnBackendEvent): Backend {
  let pendingCalls = 0;
  let isRetired = false;

  function closeIfIdle(): void {
    if (isRetired && pendingCalls === 0) void service.close();
  }

  return {
    start: (attempt, payload) => {
      const { method, path, headers, bodyBase64, timeoutMs } = payload as PlainPayload;
      const request = { requestId: attempt.id, method, path, headers, bodyBase64, timeoutMs };
      const attemptId = attempt.id;
      pendingCalls += 1;
      void service.call(request).match(
        (plain) => {
          pendingCalls -= 1;
          closeIfIdle();
          const counts = { promptTokens: 0, cachedTokens: 0, outputTokens: 0 };
          const ending = { reason: PLAIN_REASON, ...counts, plain };
          onEvent({ kind: HostEventKind.EngineEnded, attemptId, ending });
        },
        (failure) => {
          pendingCalls -= 1;
          closeIfIdle();
          const data = (failure.data ?? {}) as { readonly mayHaveRun?: boolean };
          const mayHaveRun = data.mayHaveRun ?? true;
          onEvent({ kind: HostEventKind.EngineStreamFailed, attemptId, mayHaveRun });
        },
      );
    },
    // A plain service keeps no streams, so calls of an earlier sidecar process can't be resumed.
    resume: (attemptId) => {
      onEvent({ kind: HostEventKind.EngineStreamMissing, attemptId });
    },
    cancel: () => undefined,
    retire: () => {
      isRetired = true;
      closeIfIdle();
    },
  };
}
