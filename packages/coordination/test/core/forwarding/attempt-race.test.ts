/** Decides which of several attempts of one request goes on. */
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import {
  type AttemptRace,
  addAttempt,
  areAllOverdue,
  createAttemptRace,
  endAttempt,
  isRunElsewhere,
  recordAttemptAccepted,
  recordAttemptAnswer,
  recordAttemptOverdue,
  recordAttemptRead,
  recordAttemptRun,
} from '../../../src/index.js';

/** Creates a race of attempts, the oldest one first, of a request that may repeat. */
function raceOf(...attempts: readonly string[]): AttemptRace<string> {
  return raceThat(true, attempts);
}

/** Creates a race of attempts, the oldest one first, of a request that must not run twice. */
function singleRunOf(...attempts: readonly string[]): AttemptRace<string> {
  return raceThat(false, attempts);
}

function raceThat(mayRepeat: boolean, attempts: readonly string[]): AttemptRace<string> {
  const race = createAttemptRace<string>(mayRepeat);
  for (const attempt of attempts) addAttempt(race, attempt);
  return race;
}

function openIn({ open }: AttemptRace<string>): readonly string[] {
  return [...open.keys()];
}

describe('a race of attempts', () => {
  describe('when a target is sent the request to run it', () => {
    it('keeps all attempts, as the target may still reject it', () => {
      const race = raceOf('older', 'sent', 'younger');
      recordAttemptRun(race, 'sent');
      assert.deepEqual(openIn(race), ['older', 'sent', 'younger']);
    });

    it('ignores an attempt that is over', () => {
      const race = singleRunOf('reader', 'over');
      endAttempt(race, 'over');
      recordAttemptRun(race, 'over');
      assert.equal(isRunElsewhere(race, 'reader'), false);
    });
  });

  describe('when a target has accepted the request', () => {
    it('stops the older attempts only, also those that run it or are silent', () => {
      const race = raceOf('running', 'silent', 'accepted', 'younger');
      for (const attempt of ['running', 'accepted', 'younger']) recordAttemptRun(race, attempt);
      recordAttemptOverdue(race, 'silent');
      assert.deepEqual(recordAttemptAccepted(race, 'accepted'), ['running', 'silent']);
      assert.deepEqual(openIn(race), ['accepted', 'younger']);
    });

    it('stops nothing for an attempt that is over', () => {
      const race = raceOf('older', 'over');
      endAttempt(race, 'over');
      assert.deepEqual(recordAttemptAccepted(race, 'over'), []);
      assert.deepEqual(openIn(race), ['older']);
    });
  });

  describe('when a target may run the request', () => {
    it('lets others wait with what must not run twice', () => {
      const race = singleRunOf('older', 'sent', 'younger');
      recordAttemptRun(race, 'sent');
      assert.equal(isRunElsewhere(race, 'older'), true);
      assert.equal(isRunElsewhere(race, 'younger'), true);
    });

    it('does not wait for itself, nor for targets that only read the prompt', () => {
      const race = singleRunOf('sent', 'reader');
      recordAttemptRun(race, 'sent');
      assert.equal(isRunElsewhere(race, 'sent'), false);
      assert.equal(isRunElsewhere(singleRunOf('first', 'second'), 'second'), false);
    });

    it('lets none wait once it is over', () => {
      const race = singleRunOf('waiting', 'sent');
      recordAttemptRun(race, 'sent');
      endAttempt(race, 'sent');
      assert.equal(isRunElsewhere(race, 'waiting'), false);
    });

    it('lets none wait with what may run twice', () => {
      const race = raceOf('other', 'sent');
      recordAttemptRun(race, 'sent');
      assert.equal(isRunElsewhere(race, 'other'), false);
    });
  });

  describe('when a target has read the prompt', () => {
    it('stops the younger attempts only', () => {
      const race = raceOf('older', 'read', 'younger', 'youngest');
      assert.deepEqual(recordAttemptRead(race, 'read'), ['younger', 'youngest']);
      assert.deepEqual(openIn(race), ['older', 'read']);
    });

    it('stops a younger attempt that was sent to run what may run twice', () => {
      const race = raceOf('read', 'sent');
      recordAttemptRun(race, 'sent');
      assert.deepEqual(recordAttemptRead(race, 'read'), ['sent']);
    });

    it('keeps a younger attempt that was sent to run what must not run twice', () => {
      const race = singleRunOf('read', 'younger', 'sent');
      recordAttemptRun(race, 'sent');
      assert.deepEqual(recordAttemptRead(race, 'read'), ['younger']);
      assert.deepEqual(openIn(race), ['read', 'sent']);
    });

    it('stops nothing for an attempt that is over', () => {
      const race = raceOf('over', 'younger');
      endAttempt(race, 'over');
      assert.deepEqual(recordAttemptRead(race, 'over'), []);
      assert.deepEqual(openIn(race), ['younger']);
    });
  });

  describe('when a target has sent a part of its answer', () => {
    it('stops all others, also those that run the request', () => {
      const race = raceOf('running');
      recordAttemptRun(race, 'running');
      recordAttemptOverdue(race, 'running');
      addAttempt(race, 'answering');
      recordAttemptRun(race, 'answering');
      addAttempt(race, 'reading');
      assert.deepEqual(recordAttemptAnswer(race, 'answering'), ['running', 'reading']);
      assert.deepEqual(openIn(race), ['answering']);
    });

    it('stops nothing for an attempt that another answer has stopped', () => {
      const race = raceOf('answering', 'stopped');
      recordAttemptAnswer(race, 'answering');
      assert.deepEqual(recordAttemptAnswer(race, 'stopped'), []);
      assert.deepEqual(openIn(race), ['answering']);
    });
  });

  describe('of which all answers are overdue', () => {
    it('says so once the last one is', () => {
      const race = raceOf('first', 'second');
      recordAttemptOverdue(race, 'first');
      assert.equal(areAllOverdue(race), false);
      recordAttemptOverdue(race, 'second');
      assert.equal(areAllOverdue(race), true);
    });

    it('keeps them open', () => {
      const race = raceOf('first', 'second');
      for (const attempt of openIn(race)) recordAttemptOverdue(race, attempt);
      assert.deepEqual(openIn(race), ['first', 'second']);
    });

    it('does not count an attempt that is over', () => {
      const race = raceOf('silent', 'failed');
      recordAttemptOverdue(race, 'silent');
      endAttempt(race, 'failed');
      assert.equal(areAllOverdue(race), true);
    });

    it('does not say so any more when a target goes on', () => {
      for (const recordSign of [recordAttemptRead, recordAttemptAnswer]) {
        const race = raceOf('silent');
        recordAttemptOverdue(race, 'silent');
        recordSign(race, 'silent');
        assert.equal(areAllOverdue(race), false);
      }
    });

    it('does not say so without an open attempt', () => {
      const race = raceOf('over');
      recordAttemptOverdue(race, 'over');
      endAttempt(race, 'over');
      assert.equal(areAllOverdue(race), false);
    });

    it('ignores that the answer of an attempt that is over is overdue', () => {
      const race = raceOf('over');
      endAttempt(race, 'over');
      recordAttemptOverdue(race, 'over');
      assert.deepEqual(openIn(race), []);
    });
  });

  describe('when an attempt is over', () => {
    it('tells whether it was still open', () => {
      const race = raceOf('first', 'second');
      assert.equal(endAttempt(race, 'first'), true);
      assert.equal(endAttempt(race, 'first'), false);
      recordAttemptAnswer(race, 'second');
      assert.equal(endAttempt(race, 'second'), true);
    });

    it('was not open any more if another one stopped it', () => {
      const race = raceOf('stopped', 'answering');
      recordAttemptAnswer(race, 'answering');
      assert.equal(endAttempt(race, 'stopped'), false);
    });
  });
});
