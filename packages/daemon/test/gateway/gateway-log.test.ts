/** Log lines of a gateway: what they hold, and what becomes of them where there is no room. */
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { setImmediate as nextTurn } from 'node:timers/promises';
import { createGatewayLog } from '../../src/gateway/gateway-log.js';
import { createLogWriter, createWholeWrite } from '../../src/gateway/log-writer.js';

const BOUNDS = { linesPerS: 1, burstLines: 2, maxWaitingChars: 1000, flushEveryMs: 1 };

describe('the log of a gateway', () => {
  it('writes one JSON object a line, with the fields given', async () => {
    let text = '';
    const writer = createLogWriter(
      BOUNDS,
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

  // Callers wait while a burst is logged: lines that are dropped in the end cost as much processor
  // time as those that are written.
  it('makes no line that it has no room for, and counts it', () => {
    let made = 0;
    const writer = createLogWriter(
      BOUNDS,
      () => undefined,
      () => 0,
    );
    const log = createGatewayLog('edge-1', writer, () => {
      made += 1;
      return 0;
    });
    for (let line = 0; line < 5; line += 1) log.info('engine granted', {});
    assert.equal(made, BOUNDS.burstLines);
    assert.equal(writer.dropped(), 3);
  });

  // Guards against the last lines of a process that are lost at its end.
  it('writes what waits after a write under way', async () => {
    const texts: string[] = [];
    const finishes: (() => void)[] = [];
    const writer = createLogWriter(
      BOUNDS,
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

  it('drops no line on the process itself', async () => {
    let text = '';
    const writer = createLogWriter(
      BOUNDS,
      (lines, done) => {
        text += lines;
        done(null);
      },
      () => 0,
    );
    const log = createGatewayLog('edge-1', writer, () => 0);
    for (let line = 0; line < BOUNDS.burstLines; line += 1) log.info('engine granted', {});
    log.lifecycle('gateway ends', {});
    await writer.flush();
    assert.ok(text.includes('gateway ends'));
  });

  // Guards against torn lines where the reader of a pipe is slow.
  it('writes a text whole that is taken in parts, with a full pipe in between', async () => {
    let taken = '';
    let isFull = false;
    const writeText = createWholeWrite((bytes, done) => {
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
