/** Reading a process's own cost. */
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { cpuSeconds, residentKb } from '../../src/path/process-usage.js';

describe('process usage', () => {
  it('grows with work', () => {
    const before = cpuSeconds(process.pid);
    let sum = 0;
    while (cpuSeconds(process.pid) === before) sum += Math.sqrt(sum + 1);
    assert.ok(cpuSeconds(process.pid) > before);
  });

  it('counts memory that is held', () => {
    const before = residentKb(process.pid);
    const held = Buffer.alloc(64 * 1024 * 1024, 1);
    assert.ok(residentKb(process.pid) - before > 32 * 1024);
    assert.equal(held.length, 64 * 1024 * 1024);
  });
});
