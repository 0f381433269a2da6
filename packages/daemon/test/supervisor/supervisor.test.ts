/**
 * Tests the supervisor in virtual time: transient failures are retried, permanent ones are
 * reported.
 */
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { type Failure, FailureError, defineFailure } from '@cassiamast/coordination';
import { createConsola } from 'consola/basic';
import { ADDRESS_TAKEN } from '../../src/node/failures.js';
import { DEFAULT_RESTART_LIMIT, createSupervisor } from '../../src/supervisor/supervisor.js';

const BROKEN = defineFailure({
  name: 'broken',
  title: 'Broken',
  message: () => 'it is broken',
  hint: 'none',
});

/** A supervisor with one child whose start fails until a given time. */
class Tree {
  nowMs = 0;
  starts = 0;
  stops = 0;
  readonly lines: string[] = [];
  readonly reported: Failure[] = [];

  async start(failure: Failure, untilMs: number): Promise<void> {
    const reporter = {
      log: (entry: { readonly args: unknown[] }) => this.lines.push(String(entry.args[0])),
    };
    const root = createSupervisor({
      name: 'root',
      children: [
        {
          name: 'readiness-server',
          start: () => {
            this.starts += 1;
            if (this.nowMs >= untilMs) return Promise.resolve();
            return Promise.reject(new FailureError(failure));
          },
          stop: () => {
            this.stops += 1;
            return Promise.resolve();
          },
        },
      ],
      limit: DEFAULT_RESTART_LIMIT,
      log: createConsola({ reporters: [reporter] }),
      nowMs: () => this.nowMs,
      sleep: (delayMs) => {
        this.nowMs += delayMs;
        return Promise.resolve();
      },
    });
    await root.start((reported) => this.reported.push(reported));
  }
}

describe('a supervisor', () => {
  // A gateway is killed and restarted while its readiness port is held for some seconds, by its
  // predecessor that is still stopping or by a temporary connection. If a taken address counts as a
  // broken part, the gateway exits with code 1 after five attempts within a second and stays down
  // until it is started manually. A soak test showed this as `listen EADDRINUSE`, twice in a row.
  describe('a child whose address is taken', () => {
    const taken = ADDRESS_TAKEN.of({ address: '127.0.0.1:21506', cause: 'listen EADDRINUSE' });

    it('is retried for as long as a predecessor may take to stop', async () => {
      const tree = new Tree();
      await tree.start(taken, 8_000);
      assert.deepEqual(tree.reported, []);
      assert.ok(tree.nowMs >= 8_000 && tree.nowMs < 9_000);
      assert.equal(tree.stops, tree.starts - 1);
    });

    it('logs that it waits, and when it starts', async () => {
      const tree = new Tree();
      await tree.start(taken, 3_000);
      assert.equal(tree.lines.length, 2);
      assert.match(tree.lines[0] ?? '', /readiness-server waits: .*21506/);
      assert.match(tree.lines[1] ?? '', /readiness-server starts after 3\d{3} ms/);
    });

    it('reports a failure when the address stays taken', async () => {
      const tree = new Tree();
      await tree.start(taken, Infinity);
      assert.equal(tree.reported.length, 1);
      assert.match(tree.reported[0]?.message ?? '', /21506/);
      assert.ok(tree.nowMs < 12_000);
    });
  });

  describe('a child that is broken', () => {
    it('reports a failure after its last restart', async () => {
      const tree = new Tree();
      await tree.start(BROKEN.of(undefined), Infinity);
      assert.equal(tree.starts, 1 + DEFAULT_RESTART_LIMIT.maxRestarts);
      assert.equal(tree.reported.length, 1);
    });

    it('is restarted and runs once its fault is gone', async () => {
      const tree = new Tree();
      await tree.start(BROKEN.of(undefined), 200);
      assert.equal(tree.starts, 3);
      assert.deepEqual(tree.reported, []);
    });
  });
});
