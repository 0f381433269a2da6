/** Tests the plain service stand-in through the product's own client. */
import assert from 'node:assert/strict';
import { afterEach, beforeEach, describe, it } from 'node:test';
import type { PlainRequest, PlainServiceClient } from '@cassiamast/ports';
import {
  createPlainServiceClient,
  PLAIN_SERVICE_ANSWER_LOST,
  PLAIN_SERVICE_UNREACHABLE,
} from '@cassiamast/ports';
import type { PlainServiceStandIn } from '../../../src/core/plain-service/plain-service.js';
import { until } from '../../fixtures/engines.js';
import { DeathPoint, startPlainService } from '../../../src/core/plain-service/plain-service.js';

function call(change: Partial<PlainRequest> = {}): PlainRequest {
  return {
    requestId: 'r1',
    method: 'POST',
    path: '/filings?year=2026',
    headers: { 'content-type': 'text/plain', connection: 'close' },
    bodyBase64: Buffer.from('Баянзүрх 35 kV').toString('base64'),
    timeoutMs: 5_000,
    ...change,
  };
}

describe('plain service', () => {
  let service: PlainServiceStandIn;
  let client: PlainServiceClient;
  beforeEach(async () => {
    service = await startPlainService({ name: 'filing-desk' });
    client = createPlainServiceClient({ address: service.address });
  });
  afterEach(async () => {
    await client.close();
    await service.stop();
  });

  describe('an exchange', () => {
    it('transfers request and answer unchanged', async () => {
      const answer = (await client.call(call()))._unsafeUnwrap();
      assert.equal(answer.status, 200);
      const body = JSON.parse(Buffer.from(answer.bodyBase64, 'base64').toString('utf8')) as unknown;
      assert.deepEqual(body, {
        service: 'filing-desk',
        requestId: 'r1',
        run: 1,
        method: 'POST',
        path: '/filings',
        echo: 'Баянзүрх 35 kV',
      });
    });

    it('counts each run of a request', async () => {
      await client.call(call());
      await client.call(call());
      await client.call(call({ requestId: 'r2' }));
      assert.deepEqual(Object.fromEntries(service.runs()), { r1: 2, r2: 1 });
    });
  });

  describe('a failure', () => {
    // The service fails before, during or after the run of a call that must not be repeated. The
    // caller sees the same closed connection each time and cannot tell the cases apart, so the
    // failure must say "may have run" in all three. Only the run count distinguishes them.
    for (const [point, runs] of [
      [DeathPoint.Before, 0],
      [DeathPoint.During, 1],
      [DeathPoint.After, 1],
    ] as const) {
      it(`${point} the run is reported as may have run`, async () => {
        service.setFaults({ dieNext: point });
        const failed = await client.call(call());
        assert.ok(failed.isErr() && PLAIN_SERVICE_ANSWER_LOST.is(failed.error));
        assert.equal(failed.error.data.mayHaveRun, true);
        assert.equal(service.runs().get('r1') ?? 0, runs);
      });
    }

    it('of the whole service is reported as not run', async () => {
      await service.stop();
      const failed = await client.call(call());
      assert.ok(failed.isErr() && PLAIN_SERVICE_UNREACHABLE.is(failed.error));
      assert.equal(failed.error.data.mayHaveRun, false);
    });
  });

  describe('a time limit', () => {
    it('ends the wait for a slow run, which may have run', async () => {
      service.setFaults({ slowMs: 60_000 });
      const failed = await client.call(call({ timeoutMs: 30 }));
      assert.ok(failed.isErr() && PLAIN_SERVICE_ANSWER_LOST.is(failed.error));
      // The request may be sent but not yet read by the service when the time limit expires.
      await until(() => service.runs().has('r1'));
      assert.equal(service.runs().get('r1'), 1);
    });
  });
});
