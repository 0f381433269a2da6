/** Retiring the backend of a plain service when its target moves or leaves the configuration. */
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { type HostEvent, HostEventKind } from '@cassiamast/coordination';
import type { PlainResponse, PlainServiceClient } from '@cassiamast/ports';
import { ResultAsync } from 'neverthrow';
import { withResolvers } from '../../src/node/promises.js';
import { PayloadKind } from '../../src/protocol/stream.js';
import { createPlainBackend } from '../../src/sidecar/plain-backend.js';
import { waitFor } from '../fixtures/wait-for.js';

const ANSWER: PlainResponse = { status: 200, headers: {}, bodyBase64: '' };
const ATTEMPT = {
  id: 'a-1',
  number: 1,
  sidecar: '127.0.0.1:1',
  entry: '127.0.0.1:2',
  target: 'portal-1',
  sessionId: 's',
  sequence: 1,
  startIndex: 0,
  alone: false,
};

describe('the backend of a plain service', () => {
  // Prevents a configuration edit from cutting off running calls, which must not be run twice.
  it('keeps its connections after retire() until the last call has ended', async () => {
    const answered = withResolvers<PlainResponse>();
    const events: HostEvent[] = [];
    let closed = false;
    const service = {
      call: () => ResultAsync.fromSafePromise(answered.promise),
      close: () => {
        closed = true;
        return Promise.resolve();
      },
    } as unknown as PlainServiceClient;
    const backend = createPlainBackend(service, (event) => {
      events.push(event);
    });
    const call = { method: 'POST', path: '/', headers: {}, bodyBase64: '', timeoutMs: 1000 };
    backend.start(ATTEMPT, { kind: PayloadKind.Plain, ...call }, []);
    backend.retire();
    assert.equal(closed, false);
    answered.resolve(ANSWER);
    await waitFor(() => events.length > 0);
    assert.equal(events[0]?.kind, HostEventKind.EngineEnded);
    assert.equal(closed, true);
  });
});
