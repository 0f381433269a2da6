/** Tests for the record table of a holder and for the repair of its replicas. */
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { createHolder, handleHolderCall, sweepHolder } from '../../../src/core/records/holder.js';
import type { HolderState } from '../../../src/core/records/holder.js';
import { HolderCallKind, HolderReplyKind } from '../../../src/core/records/messages.js';
import type { HolderCall, HolderReply } from '../../../src/core/records/messages.js';
import {
  DEFAULT_HOLDER_OPTIONS,
  DEFAULT_REPAIR_OPTIONS,
} from '../../../src/core/records/options.js';
import type { RequestRecord } from '../../../src/core/records/record.js';
import {
  createRepair,
  handleHolderCallWithRepair,
  onRepairReply,
  scheduleRepair,
  tickRepair,
} from '../../../src/core/records/repair.js';
import type { RepairState } from '../../../src/core/records/repair.js';
import { makeAnswer, makeAttempt, makeRecord } from '../../fixtures/requests.js';

const firstAttempt = makeAttempt('first');
const secondAttempt = makeAttempt('second', { number: 2 });

function call(state: HolderState, holderCall: HolderCall, nowMs = 0): HolderReply {
  return handleHolderCall(state, holderCall, DEFAULT_HOLDER_OPTIONS, nowMs);
}

function create(state: HolderState, record: RequestRecord): HolderReplyKind {
  return call(state, { kind: HolderCallKind.Create, record }).kind;
}

function noteFirstAttempt(state: HolderState): void {
  create(state, makeRecord());
  const record = makeRecord();
  call(state, { kind: HolderCallKind.Note, record, attempt: firstAttempt, previousId: null });
}

function finish(state: HolderState, attempt: typeof firstAttempt): HolderReply {
  const record = makeRecord();
  const answer = makeAnswer(attempt);
  return call(state, { kind: HolderCallKind.Finish, record, answer, failure: null });
}

describe('holder', () => {
  describe('a new record', () => {
    it('is created by the first writer only; other writers get its record or a conflict', () => {
      const state = createHolder(0);
      assert.equal(create(state, makeRecord()), HolderReplyKind.Done);
      assert.equal(create(state, makeRecord()), HolderReplyKind.Done);
      assert.equal(create(state, makeRecord({ creationId: 'other' })), HolderReplyKind.Standing);
      assert.equal(create(state, makeRecord({ bodyHash: 'other' })), HolderReplyKind.Conflict);
    });

    it('is released only by its creator and only before the first attempt', () => {
      const state = createHolder(0);
      create(state, makeRecord());
      const release = (creationId: string): HolderReplyKind =>
        call(state, { kind: HolderCallKind.Release, keyText: 'key', creationId }).kind;
      assert.equal(release('other'), HolderReplyKind.Standing);
      assert.equal(release('creation'), HolderReplyKind.Done);
      noteFirstAttempt(state);
      assert.equal(release('creation'), HolderReplyKind.Standing);
    });
  });

  describe('notes', () => {
    // Two entries serve the same key, see the same attempt fail, and both note a second attempt.
    // Both would run if the holder accepted more than one successor.
    it('let an attempt have at most one successor', () => {
      const state = createHolder(0);
      noteFirstAttempt(state);
      const record = makeRecord({ attempts: [firstAttempt] });
      const note = (id: string): HolderReplyKind =>
        call(state, {
          kind: HolderCallKind.Note,
          record,
          attempt: makeAttempt(id, { number: 2 }),
          previousId: 'first',
        }).kind;
      assert.equal(note('second'), HolderReplyKind.Done);
      assert.equal(note('second'), HolderReplyKind.Done);
      assert.equal(note('rival'), HolderReplyKind.Standing);
    });
  });

  describe('a finish', () => {
    // A target is paused, its request continues on another target, and then the first one resumes
    // and finishes. Accepting its answer would fail the stream of the second attempt.
    it('is refused for an attempt that was replaced', () => {
      const state = createHolder(0);
      noteFirstAttempt(state);
      const record = makeRecord({ attempts: [firstAttempt] });
      call(state, {
        kind: HolderCallKind.Note,
        record,
        attempt: secondAttempt,
        previousId: 'first',
      });
      assert.equal(finish(state, firstAttempt).kind, HolderReplyKind.Standing);
      assert.equal(finish(state, secondAttempt).kind, HolderReplyKind.Done);
      assert.equal(finish(state, secondAttempt).kind, HolderReplyKind.Done);
    });

    it('of a later attempt replaces an uncommitted answer, but not a committed one', () => {
      const state = createHolder(0);
      noteFirstAttempt(state);
      finish(state, firstAttempt);
      assert.equal(finish(state, secondAttempt).kind, HolderReplyKind.Done);
      const committed = makeRecord({
        attempts: [secondAttempt],
        answer: makeAnswer(secondAttempt, 0),
      });
      call(state, { kind: HolderCallKind.Restore, record: committed });
      const third = makeAttempt('third', { number: 3 });
      assert.equal(finish(state, third).kind, HolderReplyKind.Standing);
    });

    it('is accepted by a holder that has lost the record', () => {
      assert.equal(finish(createHolder(0), firstAttempt).record?.answer?.attemptId, 'first');
    });
  });

  describe('bounds', () => {
    it('refuse new records when full but accept the answers of existing ones', () => {
      const state = createHolder(0);
      const options = { ...DEFAULT_HOLDER_OPTIONS, maxRecords: 2 };
      const kinds = ['a', 'b', 'c'].map((keyText) => {
        const record = makeRecord({ keyText });
        return handleHolderCall(state, { kind: HolderCallKind.Create, record }, options, 0).kind;
      });
      assert.deepEqual(kinds, [HolderReplyKind.Done, HolderReplyKind.Done, HolderReplyKind.Full]);
      const record = makeRecord({ keyText: 'a' });
      const answer = makeAnswer(firstAttempt);
      const end: HolderCall = { kind: HolderCallKind.Finish, record, answer, failure: null };
      assert.equal(handleHolderCall(state, end, options, 0).kind, HolderReplyKind.Done);
    });

    it('reserve bytes for answers', () => {
      const state = createHolder(0);
      const options = { ...DEFAULT_HOLDER_OPTIONS, maxBytes: 1300, createBytesRatio: 0.5 };
      const kinds = ['a', 'b'].map((keyText) => {
        const record = makeRecord({ keyText });
        return handleHolderCall(state, { kind: HolderCallKind.Create, record }, options, 0).kind;
      });
      assert.deepEqual(kinds, [HolderReplyKind.Done, HolderReplyKind.Full]);
    });

    it('drop a record only after it has expired', () => {
      const state = createHolder(0);
      create(state, makeRecord());
      const { unfinishedRetentionMs } = DEFAULT_HOLDER_OPTIONS;
      sweepHolder(state, DEFAULT_HOLDER_OPTIONS, 30_000 + unfinishedRetentionMs - 1);
      assert.equal(state.records.size, 1);
      sweepHolder(state, DEFAULT_HOLDER_OPTIONS, 30_000 + unfinishedRetentionMs);
      assert.equal(state.records.size, 0);
      assert.equal(state.totalBytes, 0);
    });
  });
});

describe('repair', () => {
  const holdersElsewhere = (): readonly string[] => ['b', 'c'];
  const { handoverGraceMs } = DEFAULT_REPAIR_OPTIONS;

  function tick(repair: RepairState, state: HolderState, nowMs: number): number {
    const sends = tickRepair(repair, state, 'a', holdersElsewhere, DEFAULT_REPAIR_OPTIONS, nowMs);
    return sends.length;
  }

  function acknowledge(
    repair: RepairState,
    state: HolderState,
    copy: RequestRecord,
    nowMs: number,
  ): void {
    const reply = { kind: HolderReplyKind.Done, record: copy, retryAfterMs: 0, upForMs: 0 };
    const restore = (record: RequestRecord): void => {
      call(state, { kind: HolderCallKind.Restore, record }, nowMs);
    };
    for (const from of holdersElsewhere()) {
      const options = DEFAULT_REPAIR_OPTIONS;
      const answer = { from, keyText: 'key', reply, restore, options, nowMs };
      onRepairReply(repair, state, 'a', holdersElsewhere, answer);
    }
  }

  // The membership changes twice, and the acknowledgement of the first, older copy arrives late. If
  // it counted for the second copy, which alone has the delivered answer, that copy would be
  // dropped.
  it('does not count a late acknowledgement of an older copy for a newer one', () => {
    const state = createHolder(0);
    const repair = createRepair();
    noteFirstAttempt(state);
    finish(state, firstAttempt);
    scheduleRepair(repair, state, 0);
    tick(repair, state, handoverGraceMs);
    acknowledge(repair, state, makeRecord({ attempts: [firstAttempt] }), handoverGraceMs);
    assert.equal(state.records.size, 1);
  });

  // Views of the membership differ for some time after a change, and two members can each regard
  // the other as the holder. Each acknowledges and drops its copy, and a delivered answer is lost.
  it('keeps a copy that belongs elsewhere until the membership is stable for the grace period', () => {
    const state = createHolder(0);
    const repair = createRepair();
    noteFirstAttempt(state);
    scheduleRepair(repair, state, 0);
    assert.equal(tick(repair, state, 0), 2);
    const copy = makeRecord({ attempts: [firstAttempt] });
    acknowledge(repair, state, copy, 10);
    assert.equal(state.records.size, 1);
    assert.equal(tick(repair, state, handoverGraceMs), 2);
    acknowledge(repair, state, copy, handoverGraceMs);
    assert.equal(state.records.size, 0);
  });

  // If a received copy without new data counted as a change that the other holder needs, two
  // holders would restore each other's copies once a second without end.
  it('does not treat a copy without new data as a change', () => {
    const state = createHolder(0);
    noteFirstAttempt(state);
    const before = state.records.get('key')?.record;
    call(
      state,
      { kind: HolderCallKind.Restore, record: makeRecord({ attempts: [firstAttempt] }) },
      5,
    );
    assert.equal(state.records.get('key')?.record, before);
  });

  // A sidecar with an outdated view commits an answer at members that are no longer holders. If
  // repair started only with a membership change, which they do not see, the record would never
  // reach the current holders, and a retry would run the request again.
  it('forwards a record that a member received but should not hold', () => {
    const holder = createHolder(0);
    const repair = createRepair();
    const place = { holder, repair, selfId: 'a', holdersOfKey: holdersElsewhere };
    const record = makeRecord({ attempts: [firstAttempt], answer: makeAnswer(firstAttempt, 0) });
    const restore: HolderCall = { kind: HolderCallKind.Restore, record };
    handleHolderCallWithRepair(place, restore, DEFAULT_HOLDER_OPTIONS, 0);
    assert.equal(tick(repair, holder, 0), 2);
    handleHolderCallWithRepair(place, restore, DEFAULT_HOLDER_OPTIONS, 1);
    assert.deepEqual(repair.queue, []);
  });

  it('is limited to a number of records per tick', () => {
    const state = createHolder(0);
    for (let index = 0; index < 5; index += 1) {
      create(state, makeRecord({ keyText: `key-${String(index)}` }));
    }
    const repair = createRepair();
    scheduleRepair(repair, state, 0);
    const options = { ...DEFAULT_REPAIR_OPTIONS, repairsPerTick: 2 };
    assert.equal(tickRepair(repair, state, 'a', holdersElsewhere, options, 0).length, 4);
    assert.equal(repair.queue.length, 3);
  });
});
