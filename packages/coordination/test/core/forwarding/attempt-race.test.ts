/** Decides which of several attempts of one request goes on. */
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import {
  type AttemptRace,
  addAttempt,
  areAllOverdue,
  createAttemptRace,
  endAttempt,
  recordAttemptAnswer,
  recordAttemptOverdue,
  recordAttemptRead,
  recordAttemptRun,
} from '../../../src/index.js';

/** Creates a race of attempts, the oldest one first. */
function raceOf(...attempts: readonly string[]): AttemptRace<string> {
  const race = createAttemptRace<string>();
  for (const attempt of attempts) addAttempt(race, attempt);
  return race;
}

function openIn({ open }: AttemptRace<string>): readonly string[] {
  return [...open.keys()];
}

describe('a race of attempts', () => {
  describe('when a target is sent the request to run it', () => {
    it('stops the attempts whose targets only read the prompt, older and younger ones', () => {
      const race = raceOf('older', 'sent', 'younger');
      assert.deepEqual(recordAttemptRun(race, 'sent'), ['older', 'younger']);
      assert.deepEqual(openIn(race), ['sent']);
    });

    it('keeps an attempt whose target runs it and has fallen silent', () => {
      const race = raceOf('silent', 'sent');
      recordAttemptRun(race, 'silent');
      addAttempt(race, 'sent');
      recordAttemptOverdue(race, 'silent', true);
      assert.deepEqual(recordAttemptRun(race, 'sent'), []);
      assert.deepEqual(openIn(race), ['silent', 'sent']);
    });

    it('stops an attempt whose target runs it and is only slow', () => {
      const race = raceOf('slow');
      recordAttemptRun(race, 'slow');
      recordAttemptOverdue(race, 'slow', false);
      addAttempt(race, 'sent');
      assert.deepEqual(recordAttemptRun(race, 'sent'), ['slow']);
    });

    it('stops nothing for an attempt that is over', () => {
      const race = raceOf('reader', 'over');
      endAttempt(race, 'over');
      assert.deepEqual(recordAttemptRun(race, 'over'), []);
      assert.deepEqual(openIn(race), ['reader']);
    });
  });

  describe('when a target has read the prompt', () => {
    it('stops the younger attempts only', () => {
      const race = raceOf('older', 'read', 'younger', 'youngest');
      assert.deepEqual(recordAttemptRead(race, 'read'), ['younger', 'youngest']);
      assert.deepEqual(openIn(race), ['older', 'read']);
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
      recordAttemptOverdue(race, 'running', true);
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
      recordAttemptOverdue(race, 'first', true);
      assert.equal(areAllOverdue(race), false);
      recordAttemptOverdue(race, 'second', true);
      assert.equal(areAllOverdue(race), true);
    });

    it('keeps them open', () => {
      const race = raceOf('first', 'second');
      for (const attempt of openIn(race)) recordAttemptOverdue(race, attempt, true);
      assert.deepEqual(openIn(race), ['first', 'second']);
    });

    it('does not count an attempt that is over', () => {
      const race = raceOf('silent', 'failed');
      recordAttemptOverdue(race, 'silent', true);
      endAttempt(race, 'failed');
      assert.equal(areAllOverdue(race), true);
    });

    it('does not say so any more when a target goes on', () => {
      for (const recordSign of [recordAttemptRead, recordAttemptAnswer]) {
        const race = raceOf('silent');
        recordAttemptOverdue(race, 'silent', true);
        recordSign(race, 'silent');
        assert.equal(areAllOverdue(race), false);
      }
    });

    it('does not say so without an open attempt', () => {
      const race = raceOf('over');
      recordAttemptOverdue(race, 'over', true);
      endAttempt(race, 'over');
      assert.equal(areAllOverdue(race), false);
    });

    it('ignores that the answer of an attempt that is over is overdue', () => {
      const race = raceOf('over');
      endAttempt(race, 'over');
      recordAttemptOverdue(race, 'over', true);
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
