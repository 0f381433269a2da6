/** Detects requests that crash the targets that run them. */
import assert from 'node:assert/strict';
import { beforeEach, describe, it } from 'node:test';
import {
  type CrashChange,
  CrashChangeKind,
  CrashRemoval,
  type CrashMemory,
  CrashSource,
  HARMLESS_FOR_MS,
  markContentHarmless,
  markCrashesStored,
  createCrashMemory,
  removeCrash,
  isQuarantinedContent,
  addCrash,
  crashesOf,
  evictCrashes,
  refuteCrashes,
  recordAnswerOf,
  retainListedCrashes,
  revisionInEra,
  rewriteLostCrashes,
  unstoredCrashes,
} from '../../../src/index.js';

const NOW_MS = 1000;

describe('crash memory', () => {
  let memory: CrashMemory;

  beforeEach(() => {
    memory = createCrashMemory();
  });

  // A malformed history crashes one engine after another, along with all other requests that run
  // there: its caller keeps retrying it, and no single gateway sees more than one of the crashes.
  it('quarantines a content that crashed three targets', () => {
    addCrash(memory, { content: 'history', target: 't1' }, CrashSource.Observed, NOW_MS);
    addCrash(memory, { content: 'history', target: 't2' }, CrashSource.Observed, NOW_MS);
    assert.equal(isQuarantinedContent(memory, 'history'), false);
    addCrash(memory, { content: 'history', target: 't3' }, CrashSource.Observed, NOW_MS);
    assert.equal(isQuarantinedContent(memory, 'history'), true);
  });

  it('counts a crash once, however often it is reported', () => {
    for (let report = 0; report < 5; report += 1) {
      addCrash(memory, { content: 'history', target: 't1' }, CrashSource.Observed, NOW_MS);
    }
    assert.equal(isQuarantinedContent(memory, 'history'), false);
  });

  it('does not count a removed crash', () => {
    for (const target of ['t1', 't2', 't3'])
      addCrash(memory, { content: 'h', target }, CrashSource.Observed, NOW_MS);
    removeCrash(memory, { content: 'h', target: 't1' }, CrashRemoval.Store);
    assert.equal(isQuarantinedContent(memory, 'h'), false);
  });

  // A store that comes back from an older copy has lost crashes, and every gateway lists it anew.
  describe('a store that came back from an older copy', () => {
    const REWRITE_AT_MS = NOW_MS + 500;
    const lost = { content: 'h', target: 't2' };

    beforeEach(() => {
      addCrash(memory, { content: 'h', target: 't1' }, CrashSource.Store, NOW_MS);
      addCrash(memory, lost, CrashSource.Store, NOW_MS);
      rewriteLostCrashes(memory, [{ content: 'h', target: 't1' }], REWRITE_AT_MS);
    });

    it('does not withdraw the crashes that it lost', () => {
      retainListedCrashes(memory, [{ content: 'h', target: 't1' }]);
      assert.equal(crashesOf(memory, 'h').length, 2);
    });

    it('gets the lost ones again, after a while', () => {
      assert.deepEqual(unstoredCrashes(memory, REWRITE_AT_MS - 1), []);
      assert.deepEqual(unstoredCrashes(memory, REWRITE_AT_MS), [lost]);
    });

    // The write was carried out before the copy's return, and its answer read after the listing.
    it('gets one again whose write was answered before', () => {
      const note = { content: 'new', target: 't1' };
      addCrash(memory, note, CrashSource.Observed, NOW_MS);
      const outdated = markCrashesStored(memory, [note], revisionInEra(0, 9), revisionInEra(1, 1));
      assert.deepEqual(outdated, []);
      assert.deepEqual(unstoredCrashes(memory, NOW_MS), [note]);
    });

    it('does not get what another gateway has written again', () => {
      addCrash(memory, lost, CrashSource.Store, NOW_MS);
      assert.deepEqual(unstoredCrashes(memory, REWRITE_AT_MS), []);
    });
  });

  describe('a crash that was excused', () => {
    const note = { content: 'r', target: 't1' };
    const isCountedAgain = (source: CrashSource): boolean => {
      addCrash(memory, note, source, NOW_MS + 2 * HARMLESS_FOR_MS);
      return crashesOf(memory, 'r').length > 0;
    };

    // Crashes of a harmless content were told to and fro between gateways, and counted anew each time.
    for (const source of [CrashSource.Store, CrashSource.Peer]) {
      it(`by another gateway does not count when it comes back (${source})`, () => {
        addCrash(memory, note, CrashSource.Observed, NOW_MS);
        removeCrash(memory, note, CrashRemoval.Excused);
        assert.equal(isCountedAgain(source), false);
      });

      it(`as its content ran to completion does not count later (${source})`, () => {
        addCrash(memory, note, CrashSource.Observed, NOW_MS);
        markContentHarmless(memory, 'r', NOW_MS);
        assert.equal(isCountedAgain(source), false);
      });

      it(`when it was told of does not count later (${source})`, () => {
        markContentHarmless(memory, 'r', NOW_MS);
        addCrash(memory, note, CrashSource.Peer, NOW_MS);
        assert.equal(isCountedAgain(source), false);
      });
    }

    it('leaves crashes of later starts to count', () => {
      addCrash(memory, note, CrashSource.Observed, NOW_MS);
      removeCrash(memory, note, CrashRemoval.Excused);
      const later = { content: 'r', target: 't1-started-again' };
      addCrash(memory, later, CrashSource.Store, NOW_MS);
      assert.deepEqual(crashesOf(memory, 'r'), [later]);
    });
  });

  // Many callers fetch the same report while targets crash for other reasons. Without this rule, the
  // report is rejected for a minute although a target delivers it completely to other callers.
  it('does not quarantine a content that a target ran to completion', () => {
    for (const target of ['t1', 't2', 't3'])
      addCrash(memory, { content: 'r', target }, CrashSource.Observed, NOW_MS);
    markContentHarmless(memory, 'r', NOW_MS);
    assert.equal(isQuarantinedContent(memory, 'r'), false);
  });

  it('returns the crashes of a content that ran to completion, to be deleted for all gateways', () => {
    addCrash(memory, { content: 'r', target: 't1' }, CrashSource.Observed, NOW_MS);
    assert.deepEqual(markContentHarmless(memory, 'r', NOW_MS), [{ content: 'r', target: 't1' }]);
    assert.deepEqual(markContentHarmless(memory, 'r', NOW_MS), []);
  });

  it('does not quarantine a content that a target ran to completion earlier', () => {
    markContentHarmless(memory, 'r', NOW_MS);
    for (const target of ['t1', 't2', 't3'])
      addCrash(memory, { content: 'r', target }, CrashSource.Observed, NOW_MS);
    assert.equal(isQuarantinedContent(memory, 'r'), false);
  });

  // A report that was harmless crashes each target of a new release. A gateway that had seen it run
  // whole once would send it on for good.
  it('quarantines a content that begins to crash targets long after it ran to completion', () => {
    markContentHarmless(memory, 'r', NOW_MS);
    const laterMs = NOW_MS + HARMLESS_FOR_MS;
    for (const target of ['t1', 't2', 't3']) {
      addCrash(memory, { content: 'r', target }, CrashSource.Observed, laterMs);
    }
    assert.equal(isQuarantinedContent(memory, 'r'), true);
  });

  // Nobody could tell why a request was rejected, or why one that crashed three targets was not.
  it('reports each crash once, the quarantine and the removal of a crash', () => {
    const changes: CrashChange[] = [];
    memory = createCrashMemory((change) => changes.push(change));
    addCrash(memory, { content: 'h', target: 't1' }, CrashSource.Observed, NOW_MS);
    addCrash(memory, { content: 'h', target: 't1' }, CrashSource.Store, NOW_MS);
    for (const target of ['t2', 't3'])
      addCrash(memory, { content: 'h', target }, CrashSource.Store, NOW_MS);
    removeCrash(memory, { content: 'h', target: 't2' }, CrashRemoval.Store);
    removeCrash(memory, { content: 'h', target: 't2' }, CrashRemoval.Store);
    const seen = changes.map(({ kind, target, source }) => [kind, target, source]);
    assert.deepEqual(seen, [
      [CrashChangeKind.Noted, 't1', CrashSource.Observed],
      [CrashChangeKind.Noted, 't2', CrashSource.Store],
      [CrashChangeKind.Noted, 't3', CrashSource.Store],
      [CrashChangeKind.Quarantined, 't3', CrashSource.Store],
      [CrashChangeKind.Removed, 't2', null],
    ]);
    assert.deepEqual(changes.at(-1)?.targets, ['t1', 't3']);
  });

  describe('whose store is listed anew', () => {
    beforeEach(() => {
      for (const target of ['t1', 't2', 't3']) {
        addCrash(memory, { content: 'h', target }, CrashSource.Store, NOW_MS);
      }
    });

    // A gateway that missed the change went on rejecting a content that was cleared for all others.
    it('forgets the crashes that were removed meanwhile', () => {
      retainListedCrashes(memory, [{ content: 'h', target: 't1' }]);
      assert.deepEqual(crashesOf(memory, 'h'), [{ content: 'h', target: 't1' }]);
    });

    it('keeps the crashes that the store does not have yet', () => {
      addCrash(memory, { content: 'own', target: 't1' }, CrashSource.Observed, NOW_MS);
      retainListedCrashes(memory, []);
      assert.equal(crashesOf(memory, 'own').length, 1);
      assert.equal(crashesOf(memory, 'h').length, 0);
    });
  });

  // Lost answers of targets that live on added up over days, and a harmless content was rejected.
  it('forgets the crashes of targets that live on', () => {
    for (const target of ['lives', 'back', 'gone']) {
      addCrash(memory, { content: 'h', target }, CrashSource.Store, NOW_MS);
    }
    const laterMs = NOW_MS + 10_000;
    const since: Record<string, number> = { lives: 0, back: NOW_MS + 500 };
    const refuted = refuteCrashes(memory, (target) => since[target] ?? null, laterMs);
    assert.deepEqual(refuted, [{ content: 'h', target: 'lives' }]);
    const stillRefuted = refuteCrashes(memory, (target) => since[target] ?? null, laterMs + 500);
    assert.deepEqual(stillRefuted, [{ content: 'h', target: 'back' }]);
    assert.deepEqual(crashesOf(memory, 'h'), [{ content: 'h', target: 'gone' }]);
  });

  // A gateway lost all targets for a moment and took them for crashed. While the store was away, only
  // their answers could tell that they were not.
  it('forgets the crashes of a target that answers a later request', () => {
    for (const target of ['t1', 't2']) {
      addCrash(memory, { content: 'h', target }, CrashSource.Observed, NOW_MS);
    }
    assert.deepEqual(recordAnswerOf(memory, 't1', NOW_MS), []);
    const refuted = recordAnswerOf(memory, 't1', NOW_MS + 1);
    assert.deepEqual(refuted, [{ content: 'h', target: 't1' }]);
    assert.deepEqual(crashesOf(memory, 'h'), [{ content: 'h', target: 't2' }]);
  });

  // Gateways told each other of a crash that one of them had refuted, again and again.
  it('does not count an old crash of a target that has answered since', () => {
    recordAnswerOf(memory, 't1', NOW_MS);
    addCrash(memory, { content: 'h', target: 't1' }, CrashSource.Peer, NOW_MS + 100, 200);
    assert.equal(crashesOf(memory, 'h').length, 0);
    addCrash(memory, { content: 'h', target: 't1' }, CrashSource.Peer, NOW_MS + 100, 50);
    assert.equal(crashesOf(memory, 'h').length, 1);
  });

  it('keeps no targets without crashes', () => {
    addCrash(memory, { content: 'h', target: 't1' }, CrashSource.Observed, NOW_MS);
    removeCrash(memory, { content: 'h', target: 't1' }, CrashRemoval.Store);
    evictCrashes(memory);
    assert.equal(memory.notedAtMsByTarget.size, 0);
  });

  // The crash of an engine leaves a crash for each content that ran there. They must not push out
  // the contents that are rejected.
  it('keeps a bounded number of suspect contents beside those that are rejected', () => {
    for (const target of ['t1', 't2', 't3']) {
      addCrash(memory, { content: 'rejected', target }, CrashSource.Store, NOW_MS);
    }
    for (let number = 0; number < 3000; number += 1) {
      const note = { content: String(number), target: 't1' };
      addCrash(memory, note, CrashSource.Store, NOW_MS);
    }
    const evicted = evictCrashes(memory);
    assert.equal(evicted.length, 3000 - 1024);
    assert.deepEqual(evicted[0], { content: '0', target: 't1' });
    assert.equal(isQuarantinedContent(memory, 'rejected'), true);
    assert.equal(memory.crashesByContent.size, 1025);
  });

  it('keeps a bounded number of rejected contents', () => {
    for (let number = 0; number < 300; number += 1) {
      for (const target of ['t1', 't2', 't3']) {
        addCrash(memory, { content: String(number), target }, CrashSource.Store, NOW_MS);
      }
    }
    assert.equal(evictCrashes(memory).length, 3 * (300 - 256));
    assert.equal(isQuarantinedContent(memory, '299'), true);
    assert.equal(isQuarantinedContent(memory, '0'), false);
  });

  it('keeps a bounded number of harmless contents', () => {
    for (let content = 0; content < 3000; content += 1) {
      markContentHarmless(memory, String(content), NOW_MS);
    }
    assert.equal(memory.completedAtMs.size, 1024);
  });
});
