/** Decides whether a target has crashed while it ran a request. */
import assert from 'node:assert/strict';
import { beforeEach, describe, it } from 'node:test';
import {
  AttemptEnd,
  type CrashEvidence,
  createCrashEvidence,
  decideSuspicions,
  isSuspected,
  recordDown,
  recordLife,
  recordReached,
  suspect,
} from '../../../src/index.js';

const ENDED_AT_MS = 1000;
const NEVER = (): number => -Infinity;

describe('crash evidence', () => {
  let evidence: CrashEvidence;

  beforeEach(() => {
    evidence = createCrashEvidence();
    suspect(evidence, {
      content: 'c',
      target: 't',
      end: AttemptEnd.Broken,
      endedAtMs: ENDED_AT_MS,
    });
  });

  function breakOff(endedAtMs: number): void {
    suspect(evidence, { content: 'c', target: 't', end: AttemptEnd.Broken, endedAtMs });
  }

  it('confirms the suspicions of a target that accepts no connection', () => {
    suspect(evidence, {
      content: 'other',
      target: 'u',
      end: AttemptEnd.Broken,
      endedAtMs: ENDED_AT_MS,
    });
    const confirmed = recordDown(evidence, 't', ENDED_AT_MS);
    assert.deepEqual(
      confirmed.map(({ content }) => content),
      ['c'],
    );
    assert.equal(isSuspected(evidence, 'u', 0), true);
    assert.equal(isSuspected(evidence, 't', 0), false);
  });

  it('does not confirm what ended after the connection was tried', () => {
    assert.deepEqual(recordDown(evidence, 't', ENDED_AT_MS - 1), []);
    assert.equal(isSuspected(evidence, 't', 0), true);
  });

  // A harmless request lost an answer at a live target, which another request crashed seconds later.
  it('does not confirm the break of a target that accepted a connection right after it', () => {
    recordReached(evidence, 't', ENDED_AT_MS + 20);
    assert.deepEqual(recordDown(evidence, 't', ENDED_AT_MS + 3000), []);
  });

  it('confirms the next break of such a target', () => {
    recordReached(evidence, 't', ENDED_AT_MS + 20);
    breakOff(ENDED_AT_MS + 2000);
    assert.equal(recordDown(evidence, 't', ENDED_AT_MS + 2020).length, 1);
  });

  // The gateway stalled, and the target had started again when it looked.
  it('takes no late connection for the target that broke off', () => {
    recordReached(evidence, 't', ENDED_AT_MS + 2000);
    assert.equal(recordDown(evidence, 't', ENDED_AT_MS + 3000).length, 1);
  });

  it('refutes the suspicions of a target that answers a later request', () => {
    assert.equal(recordLife(evidence, 't', ENDED_AT_MS + 1).length, 1);
    assert.equal(isSuspected(evidence, 't', 0), false);
  });

  // The answer to an earlier request was read after the break. It was on its way when the target
  // crashed, and the crash was not counted.
  it('does not take the answer to an earlier request for a sign of life', () => {
    assert.deepEqual(recordLife(evidence, 't', ENDED_AT_MS - 1), []);
    assert.equal(isSuspected(evidence, 't', 0), true);
  });

  it('decides nothing before the target had time to send something', () => {
    const decided = decideSuspicions(evidence, NEVER, ENDED_AT_MS + 500);
    assert.deepEqual(decided, { confirmed: [], refuted: [] });
  });

  it('confirms breaks of several like attempts after which the target sends nothing', () => {
    breakOff(ENDED_AT_MS + 100);
    breakOff(ENDED_AT_MS + 200);
    assert.equal(decideSuspicions(evidence, NEVER, ENDED_AT_MS + 1000).confirmed.length, 1);
    assert.equal(isSuspected(evidence, 't', 0), false);
  });

  // At night a harmless request lost an answer at each of three targets that had nothing else to do,
  // and was rejected.
  it('does not confirm a single break by silence', () => {
    const early = decideSuspicions(evidence, NEVER, ENDED_AT_MS + 5000);
    assert.deepEqual(early, { confirmed: [], refuted: [] });
    assert.equal(decideSuspicions(evidence, NEVER, ENDED_AT_MS + 10_000).refuted.length, 1);
  });

  it('refutes a break after which the target sends something', () => {
    const bytesAtMs = (): number => ENDED_AT_MS + 600;
    assert.equal(decideSuspicions(evidence, bytesAtMs, ENDED_AT_MS + 1000).refuted.length, 1);
  });

  // Bytes of other streams were on their way when the target crashed. Taken for a sign of life, they
  // hid the crash of each engine that served many streams.
  it('does not take bytes that were on their way for a sign of life', () => {
    breakOff(ENDED_AT_MS + 10);
    breakOff(ENDED_AT_MS + 20);
    const bytesAtMs = (): number => ENDED_AT_MS + 100;
    assert.equal(decideSuspicions(evidence, bytesAtMs, ENDED_AT_MS + 1000).confirmed.length, 1);
  });

  // A caller that leaves, or a deadline that passes, says nothing by itself: most targets of such
  // attempts have not crashed.
  it('does not confirm by silence what was not broken off, and forgets it after a while', () => {
    suspect(evidence, {
      content: 'left',
      target: 'u',
      end: AttemptEnd.Abandoned,
      endedAtMs: ENDED_AT_MS,
    });
    for (let again = 0; again < 5; again += 1) {
      suspect(evidence, {
        content: 'left',
        target: 'u',
        end: AttemptEnd.Abandoned,
        endedAtMs: ENDED_AT_MS,
      });
    }
    assert.deepEqual(decideSuspicions(evidence, NEVER, ENDED_AT_MS + 5000).confirmed, []);
    const late = decideSuspicions(evidence, NEVER, ENDED_AT_MS + 10_000);
    assert.ok(late.refuted.some(({ content }) => content === 'left'));
  });

  // A caller that repeated a failing request thousands of times pushed its first suspicion out before
  // it could be decided, and the request was never rejected.
  it('decides the first of many like attempts', () => {
    for (let number = 0; number < 2000; number += 1) {
      const endedAtMs = ENDED_AT_MS + number / 2;
      suspect(evidence, { content: 'c', target: 't', end: AttemptEnd.Broken, endedAtMs });
    }
    assert.equal(evidence.suspicions.length, 1);
    assert.equal(decideSuspicions(evidence, NEVER, ENDED_AT_MS + 1000).confirmed.length, 1);
  });

  it('remains suspicious of a like attempt that ended after a sign of life', () => {
    breakOff(ENDED_AT_MS + 500);
    assert.deepEqual(recordLife(evidence, 't', ENDED_AT_MS + 200), []);
    assert.equal(recordDown(evidence, 't', ENDED_AT_MS + 500).length, 1);
  });

  it('keeps a bounded number of suspicions, and broken attempts before others', () => {
    const dropped = [];
    for (let number = 0; number < 1000; number += 1) {
      const content = `left ${String(number)}`;
      const left = { content, target: 't', end: AttemptEnd.Abandoned, endedAtMs: ENDED_AT_MS };
      dropped.push(suspect(evidence, left).dropped);
    }
    for (let number = 0; number < 1000; number += 1) {
      const content = String(number);
      const broken = { content, target: 't', end: AttemptEnd.Broken, endedAtMs: ENDED_AT_MS };
      dropped.push(suspect(evidence, broken).dropped);
    }
    assert.equal(evidence.suspicions.length, 1024);
    const lost = dropped.filter((each) => each !== null);
    assert.equal(lost.length, 2001 - 1024);
    assert.ok(lost.every(({ end }) => end === AttemptEnd.Abandoned));
    const broken = evidence.suspicions.filter(({ end }) => end === AttemptEnd.Broken);
    assert.equal(broken.length, 1001);
  });
});
