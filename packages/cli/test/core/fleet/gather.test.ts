/** Asking many members: bounded, and waiting for an edit to spread. */
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { ok } from 'neverthrow';
import { gather } from '../../../src/core/fleet/gather.js';
import { ReadMethod, type AskMember } from '../../../src/core/fleet/member-client.js';
import { waitForSpread } from '../../../src/core/fleet/spread.js';
import { memberStatus, processStatus } from '../../fixtures/fleet.js';

const IDS = Array.from({ length: 100 }, (_, index) => `10.0.0.${String(index)}:7000`);
const ENTRY = '10.0.0.0:7000';
const MAX_PARALLEL = 16;

describe('asking the members', () => {
  it('asks everyone once and only so many at a time', async () => {
    const asked: string[] = [];
    let open = 0;
    let mostOpen = 0;
    const ask: AskMember = async <Answer>(member: string, _method: ReadMethod, params: object) => {
      if ('withMembers' in params && params.withMembers === true) {
        return ok({
          ...processStatus(member),
          members: IDS.map((id) => memberStatus(id)),
        } as Answer);
      }
      open += 1;
      mostOpen = Math.max(mostOpen, open);
      await Promise.resolve();
      open -= 1;
      asked.push(member);
      return ok(processStatus(member) as Answer);
    };
    const progress: number[] = [];
    const result = await gather(ask, [ENTRY], ReadMethod.Status, {}, (done) => progress.push(done));
    assert.equal(result._unsafeUnwrap().answers.length, IDS.length);
    assert.deepEqual([...asked].sort(), [...IDS].sort());
    assert.ok(mostOpen <= MAX_PARALLEL && mostOpen > 1);
    assert.equal(progress.at(-1), IDS.length);
  });

  describe('until an edit is in force everywhere', () => {
    function askAt(versionOf: () => number): AskMember {
      return <Answer>(member: string) =>
        Promise.resolve(ok(processStatus(member, { configurationVersion: versionOf() }) as Answer));
    }

    async function wait(versionAt: (clockMs: number) => number) {
      let clockMs = 0;
      const result = await waitForSpread({
        ask: askAt(() => versionAt(clockMs)),
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

    it('ends as soon as everyone has it', async () => {
      const { result, clockMs } = await wait((nowMs) => (nowMs >= 1_000 ? 2 : 1));
      assert.equal(result._unsafeUnwrap(), 1);
      assert.equal(clockMs, 1_000);
    });

    it('names who is behind when the time is up', async () => {
      const { result } = await wait(() => 1);
      const failure = result._unsafeUnwrapErr();
      assert.equal(failure.name, 'not-in-force-everywhere');
      assert.match(failure.message, /10\.0\.0\.0:7000/);
    });
  });
});
