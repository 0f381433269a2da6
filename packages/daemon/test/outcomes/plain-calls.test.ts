/** Tests of calls to plain services, mainly of calls that must not be repeated. */
import assert from 'node:assert/strict';
import { after, before, describe, it } from 'node:test';
import { DeathPoint } from '@cassiamast/stand-ins';
import { request } from 'undici';
import { API_KEY, type Fleet, PLAIN_SERVICE, startFleet } from '../fixtures/fleet.js';

interface CallAnswer {
  readonly status: number;
  readonly body: { readonly runState?: string; readonly type?: string; readonly run?: number };
}

describe('calls of plain services', () => {
  let fleet: Fleet;

  before(async () => {
    fleet = await startFleet({ entries: 3, engines: 0, plainServices: 3 });
  });
  after(() => fleet.stop());

  async function call(
    entry: number,
    path: string,
    callId: string,
    key?: string,
  ): Promise<CallAnswer> {
    const response = await request(`${fleet.url(entry)}/services/${PLAIN_SERVICE}${path}`, {
      method: 'POST',
      headers: {
        authorization: `Bearer ${API_KEY}`,
        'x-call-id': callId,
        ...(key === undefined ? {} : { 'idempotency-key': key }),
      },
      body: `{"filing":"${callId}"}`,
    });
    const body = (await response.body.json()) as CallAnswer['body'];
    return { status: response.statusCode, body };
  }

  function runsOf(callId: string): number {
    return fleet.plainServices.reduce((sum, service) => sum + (service.runs().get(callId) ?? 0), 0);
  }

  function crashOnNextCall(point: DeathPoint): void {
    for (const service of fleet.plainServices) service.setFaults({ dieNext: point });
  }

  function clearCrashFault(): void {
    for (const service of fleet.plainServices) service.setFaults({ dieNext: null });
  }

  describe('that may not be repeated', () => {
    // A caller sends a call and retries it through another entry. A second run would issue a second
    // receipt, and the same slot could be assigned twice.
    it('run once however often they are sent', async () => {
      const first = await call(0, '/receipts', 'receipt-1', 'receipt-1');
      const second = await call(1, '/receipts', 'receipt-1', 'receipt-1');
      assert.equal(first.status, 200);
      assert.deepEqual(second, first);
      assert.equal(runsOf('receipt-1'), 1);
    });

    it('run once when sent to two entries at once', async () => {
      const [first, second] = await Promise.all([
        call(0, '/receipts', 'receipt-2', 'receipt-2'),
        call(2, '/receipts', 'receipt-2', 'receipt-2'),
      ]);
      assert.equal(first.status, 200);
      assert.deepEqual(second, first);
      assert.equal(runsOf('receipt-2'), 1);
    });

    // The target accepts the call and crashes before it answers. Whether the call took effect is
    // unknown, so it must neither be retried nor be reported as "not run".
    it('are not retried after the target crashed while running them', async () => {
      crashOnNextCall(DeathPoint.During);
      const answered = await call(0, '/receipts', 'receipt-3', 'receipt-3');
      clearCrashFault();
      assert.equal(answered.body.runState, 'unknown');
      assert.equal(runsOf('receipt-3'), 1);
      const again = await call(1, '/receipts', 'receipt-3', 'receipt-3');
      assert.equal(again.body.runState, 'unknown');
      assert.equal(runsOf('receipt-3'), 1);
    });

    // Without the key-value service no claim can be acquired, so the call is rejected before it runs.
    it('are rejected without a run while the key-value service is unavailable', async () => {
      fleet.keyValue.setFaults({ down: true });
      const answered = await call(0, '/receipts', 'receipt-4');
      fleet.keyValue.setFaults({ down: false });
      assert.equal(answered.status, 503);
      assert.equal(answered.body.runState, 'not-run');
      assert.equal(runsOf('receipt-4'), 0);
    });

    // The claim was written, but the response to the write was lost. Reading the key back finds it.
    it('run once when the answer to the claim was lost', async () => {
      fleet.keyValue.setFaults({ loseAnswers: 1 });
      const answered = await call(0, '/receipts', 'receipt-5', 'receipt-5');
      assert.equal(answered.status, 200);
      assert.equal(runsOf('receipt-5'), 1);
    });
  });

  describe('that may be repeated', () => {
    it('are tried at another target when one crashes', async () => {
      crashOnNextCall(DeathPoint.Before);
      const first = await call(0, '/notes', 'note-1', 'note-1');
      clearCrashFault();
      assert.ok(first.status === 200 || first.status === 502, String(first.status));
      const again = await call(0, '/notes', 'note-1', 'note-1');
      assert.equal(again.status, 200);
    });

    it('are answered while the key-value service is unavailable', async () => {
      fleet.keyValue.setFaults({ down: true });
      const answered = await call(1, '/notes', 'note-2');
      fleet.keyValue.setFaults({ down: false });
      assert.equal(answered.status, 200);
      assert.equal(runsOf('note-2'), 1);
    });
  });
});
