/** A question for an engine whose asker's time is over. */
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

describe('a question to a scheduler that is slow', () => {
  // Guards against a waiting request that a stopping gateway cuts, though it could refuse it.
  it('ends as soon as the time of its asker is over', async () => {
    const view = createFleetView();
    const gateway = { id: OLDEST, failureDomain: 'a', coreShare: 0.5 };
    applyChanges(view, [{ kind: FleetChangeKind.Gateway, revision: 1, gateway }], 1, 0);
    let answerQuestion: () => void = () => undefined;
    let isAsked: () => void = () => undefined;
    const methods: RpcMethod[] = [];
    const asked = new Promise<void>((resolve) => (isAsked = resolve));
    const rpc = {
      call: (_gateway: string, method: RpcMethod) => {
        methods.push(method);
        isAsked();
        return new ResultAsync(
          new Promise<Result<null, never>>((resolve) => {
            answerQuestion = () => {
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
    await asked;
    over.abort();
    for (let turn = 0; turn < 10; turn += 1) await new Promise((resolve) => setImmediate(resolve));
    const endedInTime = isOver;
    await client.settle();
    const toldBefore = methods.includes(RpcMethod.ScheduleReport);
    answerQuestion();
    await taken;
    await waitFor(() => {
      void client.settle();
      return methods.includes(RpcMethod.ScheduleReport);
    });
    assert.equal(endedInTime, true);
    // Guards against an engine that is granted to nobody, as the end was told before the question.
    assert.equal(toldBefore, false);
  });
});
