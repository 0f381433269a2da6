/** Tests of calling all members with bounded concurrency and of waiting for an edit to propagate. */
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { ok } from 'neverthrow';
import { gather } from '../../../src/core/fleet/gather.js';
import { ReadMethod, type CallMember } from '../../../src/core/fleet/member-client.js';
import { waitForPropagation } from '../../../src/core/fleet/propagation.js';
import { memberStatus, processStatus } from '../../fixtures/fleet.js';

const IDS = Array.from({ length: 100 }, (_, index) => `10.0.0.${String(index)}:7000`);
const ENTRY = '10.0.0.0:7000';
const MAX_CONCURRENT_CALLS = 16;

describe('calling the members', () => {
  it('calls each member once, with bounded concurrency', async () => {
    const calledMembers: string[] = [];
    let openCalls = 0;
    let maxOpenCalls = 0;
    const callMember: CallMember = async <Answer>(
      member: string,
      _method: ReadMethod,
      params: object,
    ) => {
      if ('withMembers' in params && params.withMembers === true) {
        return ok({
          ...processStatus(member),
          members: IDS.map((id) => memberStatus(id)),
        } as Answer);
      }
      openCalls += 1;
      maxOpenCalls = Math.max(maxOpenCalls, openCalls);
      await Promise.resolve();
      openCalls -= 1;
      calledMembers.push(member);
      return ok(processStatus(member) as Answer);
    };
    const progress: number[] = [];
    const result = await gather(callMember, [ENTRY], ReadMethod.Status, {}, (done) =>
      progress.push(done),
    );
    assert.equal(result._unsafeUnwrap().answers.length, IDS.length);
    assert.deepEqual([...calledMembers].sort(), [...IDS].sort());
    assert.ok(maxOpenCalls <= MAX_CONCURRENT_CALLS && maxOpenCalls > 1);
    assert.equal(progress.at(-1), IDS.length);
  });

  describe('waiting until an edit is active everywhere', () => {
    function callMemberAt(versionOf: () => number): CallMember {
      return <Answer>(member: string) =>
        Promise.resolve(ok(processStatus(member, { configurationVersion: versionOf() }) as Answer));
    }

    async function wait(versionAt: (clockMs: number) => number) {
      let clockMs = 0;
      const result = await waitForPropagation({
        callMember: callMemberAt(() => versionAt(clockMs)),
        entries: [ENTRY],
        version: 2,
        timeoutMs: 9_000,
        nowMs: () => clockMs,
        sleep: (delayMs) => {
          clockMs += delayMs;
          return Promise.resolve();
        },
        onProgress: () => undefined,
      });
      return { result, clockMs };
    }

    it('ends as soon as every process has the version', async () => {
      const { result, clockMs } = await wait((nowMs) => (nowMs >= 1_000 ? 2 : 1));
      assert.equal(result._unsafeUnwrap(), 1);
      assert.equal(clockMs, 1_000);
    });

    it('lists the processes that are behind after the timeout', async () => {
      const { result } = await wait(() => 1);
      const failure = result._unsafeUnwrapErr();
      assert.equal(failure.name, 'not-in-force-everywhere');
      assert.match(failure.message, /10\.0\.0\.0:7000/);
    });
  });
});
