/** Tests the content of a gateway's log lines, and what happens to lines that exceed the limits. */
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { setImmediate as nextTurn } from 'node:timers/promises';
import { createGatewayLog } from '../../src/gateway/gateway-log.js';
import { createLogWriter, createCompleteWrite } from '../../src/gateway/log-writer.js';

const LIMITS = { linesPerS: 1, burstLines: 2, maxQueuedChars: 1000, flushEveryMs: 1 };

describe('the log of a gateway', () => {
  it('writes one JSON object per line, with the given fields', async () => {
    let text = '';
    const writer = createLogWriter(
      LIMITS,
      (lines, done) => {
        text += lines;
        done(null);
      },
      () => 0,
    );
    const log = createGatewayLog('edge-1', writer, () => 1_700_000_000_000);
    log.warn('entry ignored', { key: 'k', ageMs: 7 });
    await writer.flush();
    assert.deepEqual(JSON.parse(text), {
      at: '2023-11-14T22:13:20.000Z',
      level: 'warn',
      process: 'edge-1',
      message: 'entry ignored',
      key: 'k',
      ageMs: 7,
    });
  });

  // Otherwise, dropped lines cost as much CPU time as written ones, and callers wait while a burst
  // is logged.
  it('does not format lines that it drops, and counts them', () => {
    let made = 0;
    const writer = createLogWriter(
      LIMITS,
      () => undefined,
      () => 0,
    );
    const log = createGatewayLog('edge-1', writer, () => {
      made += 1;
      return 0;
    });
    for (let line = 0; line < 5; line += 1) log.info('engine granted', {});
    assert.equal(made, LIMITS.burstLines);
    assert.equal(writer.dropped(), 3);
  });

  // Otherwise, the last lines of a process are lost when it exits.
  it('writes queued lines after a pending write', async () => {
    const texts: string[] = [];
    const finishes: (() => void)[] = [];
    const writer = createLogWriter(
      LIMITS,
      (text, done) => {
        texts.push(text);
        finishes.push(() => {
          done(null);
        });
      },
      () => 0,
    );
    writer.write('first\n');
    const flushed = [writer.flush()];
    writer.write('second\n');
    flushed.push(writer.flush());
    while (finishes.length > 0) {
      finishes.shift()?.();
      await nextTurn();
    }
    await Promise.all(flushed);
    assert.deepEqual(texts, ['first\n', 'second\n']);
  });

  it('drops no line about the process itself', async () => {
    let text = '';
    const writer = createLogWriter(
      LIMITS,
      (lines, done) => {
        text += lines;
        done(null);
      },
      () => 0,
    );
    const log = createGatewayLog('edge-1', writer, () => 0);
    for (let line = 0; line < LIMITS.burstLines; line += 1) log.info('engine granted', {});
    log.lifecycle('gateway ends', {});
    await writer.flush();
    assert.ok(text.includes('gateway ends'));
  });

  // Otherwise, lines are truncated when the reader of a pipe is slow.
  it('writes a text completely despite partial writes and a full pipe', async () => {
    let taken = '';
    let isFull = false;
    const writeText = createCompleteWrite((bytes, done) => {
      isFull = !isFull;
      if (!isFull) {
        done(Object.assign(new Error('full'), { code: 'EAGAIN' }), 0);
        return;
      }
      taken += bytes.subarray(0, 3).toString();
      done(null, Math.min(3, bytes.length));
    });
    const error = await new Promise((resolve) => {
      writeText('a whole line\n', resolve);
    });
    assert.equal(error, null);
    assert.equal(taken, 'a whole line\n');
  });
});
