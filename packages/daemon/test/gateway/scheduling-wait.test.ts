/** Tests a request for an engine whose requester stops waiting. */
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { FleetChangeKind, applyChanges, createFleetView } from '@cassiamast/coordination';
import { type Result, ResultAsync, ok } from 'neverthrow';
import type { RpcClient } from '../../src/node/rpc-client.js';
import { RpcMethod } from '../../src/protocol/methods.js';
import { waitFor } from '../fixtures/wait-for.js';
import { createSchedulingClient } from '../../src/gateway/scheduling-client.js';
import type { JobRequest, SchedulingService } from '../../src/gateway/scheduling-service.js';

const OLDEST = '10.0.0.1:7380';

describe('a request to a slow scheduler', () => {
  // A gateway that shuts down must be able to refuse its waiting requests instead of cutting them
  // off.
  it('ends as soon as its requester stops waiting', async () => {
    const view = createFleetView();
    const gateway = { id: OLDEST, failureDomain: 'a', coreShare: 0.5 };
    applyChanges(view, [{ kind: FleetChangeKind.Gateway, revision: 1, gateway }], 1, 0);
    let answerCall: () => void = () => undefined;
    let noteCalled: () => void = () => undefined;
    const methods: RpcMethod[] = [];
    const called = new Promise<void>((resolve) => (noteCalled = resolve));
    const rpc = {
      call: (_gateway: string, method: RpcMethod) => {
        methods.push(method);
        noteCalled();
        return new ResultAsync(
          new Promise<Result<null, never>>((resolve) => {
            answerCall = () => {
              resolve(ok(null));
            };
          }),
        );
      },
    } as unknown as RpcClient;
    const client = createSchedulingClient({
      selfId: '10.0.0.9:7380',
      view,
      rpc,
      local: {} as SchedulingService,
      nowMs: () => 0,
      log: { info: () => undefined, warn: () => undefined, lifecycle: () => undefined },
      count: () => undefined,
      isReachable: () => Promise.resolve(true),
      isConfirmed: () => true,
    });
    const over = new AbortController();
    let isOver = false;
    const taken = client
      .take('s', () => ({ id: 'j' }) as JobRequest, over.signal)
      .then(() => {
        isOver = true;
      });
    await called;
    over.abort();
    for (let turn = 0; turn < 10; turn += 1) await new Promise((resolve) => setImmediate(resolve));
    const endedInTime = isOver;
    await client.flushReports();
    const reportedBeforeAnswer = methods.includes(RpcMethod.ScheduleReport);
    answerCall();
    await taken;
    await waitFor(() => {
      void client.flushReports();
      return methods.includes(RpcMethod.ScheduleReport);
    });
    assert.equal(endedInTime, true);
    // A scheduler that received the end before the request would grant an engine that nobody uses.
    assert.equal(reportedBeforeAnswer, false);
  });
});
