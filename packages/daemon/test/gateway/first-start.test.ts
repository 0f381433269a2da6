/** Tests the first start of a deployment beside a store that comes back from an older copy. */
import assert from 'node:assert/strict';
import { beforeEach, describe, it } from 'node:test';
import { setTimeout as sleep } from 'node:timers/promises';
import { revisionInEra } from '@cassiamast/coordination';
import type { KeyValueEntry, KeyValueWrite, TransactionResult } from '@cassiamast/ports';
import { okAsync } from 'neverthrow';
import { type FirstStart, createFirstStart } from '../../src/gateway/first-start.js';

const KEY = 'allowances/first-start';
const ANNOUNCEMENT = 7;
/** Longer than each wait of the first start. */
const SETTLE_MS = 3500;

describe('the first start of a deployment', () => {
  let entry: KeyValueEntry | null;
  let revision: number;
  let joined: number[];
  let firstStart: FirstStart;

  function write(value: string): void {
    revision += 1;
    entry = { key: KEY, value, createRevision: revision, modRevision: revision };
  }

  function transact([{ value }]: readonly [KeyValueWrite]): TransactionResult {
    const found = entry === null ? [] : [entry];
    if (entry === null) write(value ?? '');
    return { succeeded: found.length === 0, revision, current: found };
  }

  const storedValue = (): string | null => entry?.value ?? null;

  beforeEach(async () => {
    entry = null;
    revision = 1;
    joined = [];
    firstStart = createFirstStart({
      store: {
        get: () => okAsync(entry),
        transact: (_, writes) => okAsync(transact(writes as readonly [KeyValueWrite])),
      },
      gateways: {
        announcement: () => ANNOUNCEMENT,
        joinFirstStart: (announcement) => joined.push(announcement),
      },
      readRevision: () => revision,
      random: () => 0.5,
      log: { info: () => undefined, warn: () => undefined, lifecycle: () => undefined },
    });
    await firstStart.child.start(() => undefined);
  });

  it('is joined by a gateway that finds no key', async () => {
    await sleep(SETTLE_MS);
    assert.deepEqual(joined, [ANNOUNCEMENT]);
  });

  // Without the key, a gateway that starts later would use a share that earlier processes have used.
  it('is recorded again when the store lost its key', async () => {
    await sleep(SETTLE_MS);
    entry = null;
    revision = revisionInEra(1, 1);
    await firstStart.noteRestored();
    assert.equal(storedValue(), '{"again":true}');
  });

  it('is not joined by a gateway that starts between the loss and that', async () => {
    await sleep(SETTLE_MS / 2);
    write('{"again":true}');
    await sleep(SETTLE_MS);
    assert.deepEqual(joined, []);
  });
});
