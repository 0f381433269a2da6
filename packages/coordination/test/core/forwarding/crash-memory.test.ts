/** Requests that crash the targets which run them. */
import assert from 'node:assert/strict';
import { beforeEach, describe, it } from 'node:test';
import {
  type CrashMemory,
  clearContent,
  createCrashMemory,
  forgetCrash,
  isConvictedContent,
  rememberCrash,
} from '../../../src/index.js';

describe('the memory of crashes', () => {
  let memory: CrashMemory;

  beforeEach(() => {
    memory = createCrashMemory();
  });

  // One malformed history takes down engine after engine, and the inspectors' findings with them:
  // its caller sends it again and again, and no gateway alone sees more than one of the crashes.
  it('convicts a content that broke off three targets', () => {
    rememberCrash(memory, { content: 'history', target: 't1' });
    rememberCrash(memory, { content: 'history', target: 't2' });
    assert.equal(isConvictedContent(memory, 'history'), false);
    rememberCrash(memory, { content: 'history', target: 't3' });
    assert.equal(isConvictedContent(memory, 'history'), true);
  });

  it('counts a crash once, whoever tells of it', () => {
    for (let told = 0; told < 5; told += 1) {
      rememberCrash(memory, { content: 'history', target: 't1' });
    }
    assert.equal(isConvictedContent(memory, 'history'), false);
  });

  it('forgets what is long ago', () => {
    for (const target of ['t1', 't2', 't3']) rememberCrash(memory, { content: 'h', target });
    forgetCrash(memory, { content: 'h', target: 't1' });
    assert.equal(isConvictedContent(memory, 'h'), false);
  });

  // Many callers fetch the same report while targets crash by themselves. The report is refused for
  // a minute although a target delivers it whole to everybody else.
  it('does not convict what a target ran whole', () => {
    for (const target of ['t1', 't2', 't3']) rememberCrash(memory, { content: 'r', target });
    clearContent(memory, 'r');
    assert.equal(isConvictedContent(memory, 'r'), false);
  });

  it('gives what was noted against a content that ran whole, to be taken back for all', () => {
    rememberCrash(memory, { content: 'r', target: 't1' });
    assert.deepEqual(clearContent(memory, 'r'), [{ content: 'r', target: 't1' }]);
    assert.deepEqual(clearContent(memory, 'r'), []);
  });

  it('does not convict what a target ran whole before', () => {
    clearContent(memory, 'r');
    for (const target of ['t1', 't2', 't3']) rememberCrash(memory, { content: 'r', target });
    assert.equal(isConvictedContent(memory, 'r'), false);
  });

  it('keeps a bounded number of harmless contents', () => {
    for (let content = 0; content < 3000; content += 1) {
      clearContent(memory, String(content));
    }
    assert.equal(memory.cleared.size, 1024);
  });
});
