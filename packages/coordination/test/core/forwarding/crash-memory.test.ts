/** Detects requests that crash the targets that run them. */
import assert from 'node:assert/strict';
import { beforeEach, describe, it } from 'node:test';
import {
  type CrashMemory,
  markContentHarmless,
  createCrashMemory,
  removeCrash,
  isConvictedContent,
  addCrash,
} from '../../../src/index.js';

describe('crash memory', () => {
  let memory: CrashMemory;

  beforeEach(() => {
    memory = createCrashMemory();
  });

  // A malformed history crashes one engine after another, along with all other requests that run
  // there: its caller keeps retrying it, and no single gateway sees more than one of the crashes.
  it('convicts a content that crashed three targets', () => {
    addCrash(memory, { content: 'history', target: 't1' });
    addCrash(memory, { content: 'history', target: 't2' });
    assert.equal(isConvictedContent(memory, 'history'), false);
    addCrash(memory, { content: 'history', target: 't3' });
    assert.equal(isConvictedContent(memory, 'history'), true);
  });

  it('counts a crash once, however often it is reported', () => {
    for (let report = 0; report < 5; report += 1) {
      addCrash(memory, { content: 'history', target: 't1' });
    }
    assert.equal(isConvictedContent(memory, 'history'), false);
  });

  it('does not count a removed crash', () => {
    for (const target of ['t1', 't2', 't3']) addCrash(memory, { content: 'h', target });
    removeCrash(memory, { content: 'h', target: 't1' });
    assert.equal(isConvictedContent(memory, 'h'), false);
  });

  // Many callers fetch the same report while targets crash for other reasons. Without this rule, the
  // report is rejected for a minute although a target delivers it completely to other callers.
  it('does not convict a content that a target ran to completion', () => {
    for (const target of ['t1', 't2', 't3']) addCrash(memory, { content: 'r', target });
    markContentHarmless(memory, 'r');
    assert.equal(isConvictedContent(memory, 'r'), false);
  });

  it('returns the crashes of a content that ran to completion, to be deleted for all gateways', () => {
    addCrash(memory, { content: 'r', target: 't1' });
    assert.deepEqual(markContentHarmless(memory, 'r'), [{ content: 'r', target: 't1' }]);
    assert.deepEqual(markContentHarmless(memory, 'r'), []);
  });

  it('does not convict a content that a target ran to completion earlier', () => {
    markContentHarmless(memory, 'r');
    for (const target of ['t1', 't2', 't3']) addCrash(memory, { content: 'r', target });
    assert.equal(isConvictedContent(memory, 'r'), false);
  });

  it('keeps a bounded number of harmless contents', () => {
    for (let content = 0; content < 3000; content += 1) {
      markContentHarmless(memory, String(content));
    }
    assert.equal(memory.cleared.size, 1024);
  });
});
