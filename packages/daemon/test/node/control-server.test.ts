/** Checks the control port of a member: shutdown with pending calls, and handlers that throw. */
import assert from 'node:assert/strict';
import { afterEach, beforeEach, describe, it } from 'node:test';
import type { Failure } from '@cassiamast/coordination';
import { MALFORMED_CALL } from '../../src/node/failures.js';
import { createMemberProof } from '../../src/node/secret.js';
import { createControlServer } from '../../src/node/control-server.js';
import { withResolvers } from '../../src/node/promises.js';
import { type RpcClient, createRpcClient } from '../../src/node/rpc-client.js';
import type { Child } from '../../src/supervisor/supervisor.js';
import { freePort } from '@cassiamast/stand-ins';
import { openGuard } from '../fixtures/open-guard.js';
import { waitFor } from '../fixtures/wait-for.js';

const HOST = '127.0.0.1';
const NO_CLOCK = { now: () => '', receiveTimestamp: () => undefined };
/** Longer than any of these tests takes. */
const TIMEOUT_MS = 60_000;

describe('the control port of a member', () => {
  const proof = createMemberProof('a-secret-of-the-test');
  let member: string;
  let server: Child;
  let rpc: RpcClient;
  let calls: number;
  let answer: ReturnType<typeof withResolvers<string>>;

  beforeEach(async () => {
    const port = await freePort();
    member = `${HOST}:${String(port)}`;
    calls = 0;
    answer = withResolvers<string>();
    rpc = createRpcClient(proof, NO_CLOCK);
    server = createControlServer({
      address: { host: HOST, port },
      allows: () => true,
      proof,
      guard: openGuard(),
      clock: NO_CLOCK,
      handlers: {
        wait: () => {
          calls += 1;
          return answer.promise;
        },
      },
      streams: {
        broken: () => {
          throw new TypeError('params is undefined');
        },
      },
      metricsText: () => Promise.resolve(''),
    });
    await server.start(() => undefined);
  });
  afterEach(async () => {
    await server.stop();
    await rpc.close();
  });

  // Otherwise a member would never learn the outcome of a call that is pending when this one stops.
  it('answers the calls it has read before it closes', async () => {
    const called = rpc.call<string>(member, 'wait', null, { timeoutMs: TIMEOUT_MS });
    await waitFor(() => calls === 1);
    const stopped = server.stop();
    answer.resolve('done');
    const outcome = await called;
    assert.equal(outcome.unwrapOr('cut'), 'done');
    await stopped;
  });

  // Otherwise a malformed call of one member would end this process and all its open work.
  it('answers a call whose handler throws, and continues to serve calls', async () => {
    const failed = withResolvers<Failure>();
    rpc.stream(member, 'broken', null, {
      onNotification: () => undefined,
      onResult: () => undefined,
      onFailure: failed.resolve,
    });
    assert.equal((await failed.promise).name, MALFORMED_CALL.name);
    answer.resolve('done');
    const outcome = await rpc.call<string>(member, 'wait', null, { timeoutMs: TIMEOUT_MS });
    assert.equal(outcome.unwrapOr('cut'), 'done');
  });
});
