/** The demo's figures and its verdict. */
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { readOptions } from '../../src/demo/options.js';
import { reportPage } from '../../src/demo/report.js';
import { createTally, promisesKept, quantile, remark, resultOf } from '../../src/demo/tally.js';

describe('demo tally', () => {
  it('takes quantiles of what was seen', () => {
    const values = Array.from({ length: 100 }, (_, at) => 100 - at);
    assert.equal(quantile(values, 0.95), 95);
    assert.equal(quantile([7], 0.5), 7);
    assert.equal(quantile([], 0.95), 0);
  });

  it('holds a promise broken by any one of the four counts', () => {
    const kept = resultOf({ ...createTally(), refusedNotRun: 3, unknown: 1 }, 1_000, 0);
    assert.equal(promisesKept(kept), true);
    for (const count of ['lost', 'doubled', 'crossed', 'falseNotRun'] as const) {
      assert.equal(promisesKept({ ...kept, [count]: 1 }), false);
    }
  });

  it('bounds its remarks', () => {
    const tally = createTally();
    for (let at = 0; at < 1_000; at++) remark(tally, String(at));
    assert.equal(tally.remarks.length, 200);
  });
});

describe('demo options', () => {
  it('have defaults and refuse what they do not know', () => {
    const options = readOptions([]);
    assert.deepEqual([options?.deployment, options?.durationS, options?.seed], ['kalahari', 10, 1]);
    for (const wrong of [['--deployment', 'gobi'], ['--duration-s', '0'], ['--what']]) {
      assert.equal(readOptions(wrong), null);
    }
  });
});

describe('demo report', () => {
  it('shows remarks as text, whatever they hold', () => {
    const options = readOptions([]);
    assert.ok(options !== null);
    const tally = createTally();
    remark(tally, '<script>');
    const result = resultOf(tally, 1, 0);
    const stories = new Map([['key', ['<b>event']]]);
    const page = reportPage({ options, result, tally, events: [], stories });
    assert.match(page, /&lt;b&gt;event/);
    assert.match(page, /&lt;script&gt;/);
    assert.doesNotMatch(page, /<script>/);
  });
});
