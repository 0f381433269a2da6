/** The table of records: first writer, fences, bounds, repair. */
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
  handleHolderCallAt,
  onRepairReply,
  scheduleRepair,
  tickRepair,
} from '../../../src/core/records/repair.js';
import type { RepairState } from '../../../src/core/records/repair.js';
import { makeAnswer, makeAttempt, makeRecord } from '../../fixtures/requests.js';

const first = makeAttempt('first');
const second = makeAttempt('second', { number: 2 });

function call(state: HolderState, holderCall: HolderCall, nowMs = 0): HolderReply {
  return handleHolderCall(state, holderCall, DEFAULT_HOLDER_OPTIONS, nowMs);
}

function create(state: HolderState, record: RequestRecord): HolderReplyKind {
  return call(state, { kind: HolderCallKind.Create, record }).kind;
}

function noted(state: HolderState): void {
  create(state, makeRecord());
  const record = makeRecord();
  call(state, { kind: HolderCallKind.Note, record, attempt: first, previousId: null });
}

function finish(state: HolderState, attempt: typeof first): HolderReply {
  const record = makeRecord();
  const answer = makeAnswer(attempt);
  return call(state, { kind: HolderCallKind.Finish, record, answer, failure: null });
}

describe('holder', () => {
  describe('a new record', () => {
    it('is the first writer’s; others get the standing one, other bodies a conflict', () => {
      const state = createHolder(0);
      assert.equal(create(state, makeRecord()), HolderReplyKind.Done);
      assert.equal(create(state, makeRecord()), HolderReplyKind.Done);
      assert.equal(create(state, makeRecord({ creationId: 'other' })), HolderReplyKind.Standing);
      assert.equal(create(state, makeRecord({ bodyHash: 'other' })), HolderReplyKind.Conflict);
    });

    it('is released only by its own creation and before any attempt', () => {
      const state = createHolder(0);
      create(state, makeRecord());
      const release = (creationId: string): HolderReplyKind =>
        call(state, { kind: HolderCallKind.Release, keyText: 'key', creationId }).kind;
      assert.equal(release('other'), HolderReplyKind.Standing);
      assert.equal(release('creation'), HolderReplyKind.Done);
      noted(state);
      assert.equal(release('creation'), HolderReplyKind.Standing);
    });
  });

  describe('notes', () => {
    // Story: two entries hold one key; the engine fails and both go for a second attempt. One of
    // them must yield, or both run. Cause: both saw the same attempt fail.
    it('let one attempt follow another', () => {
      const state = createHolder(0);
      noted(state);
      const record = makeRecord({ attempts: [first] });
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

  describe('finishes', () => {
    // Story: a target is paused, its request goes on elsewhere, the target wakes and finishes. The
    // caller, who reads the second attempt, must not be cut. Cause: the first answer came first.
    it('are refused for an attempt that was replaced', () => {
      const state = createHolder(0);
      noted(state);
      const record = makeRecord({ attempts: [first] });
      call(state, { kind: HolderCallKind.Note, record, attempt: second, previousId: 'first' });
      assert.equal(finish(state, first).kind, HolderReplyKind.Standing);
      assert.equal(finish(state, second).kind, HolderReplyKind.Done);
      assert.equal(finish(state, second).kind, HolderReplyKind.Done);
    });

    it('of a later attempt replace an answer that is not committed, and no other', () => {
      const state = createHolder(0);
      noted(state);
      finish(state, first);
      assert.equal(finish(state, second).kind, HolderReplyKind.Done);
      const committed = makeRecord({ attempts: [second], answer: makeAnswer(second, 0) });
      call(state, { kind: HolderCallKind.Restore, record: committed });
      const third = makeAttempt('third', { number: 3 });
      assert.equal(finish(state, third).kind, HolderReplyKind.Standing);
    });

    it('are taken by a holder that has lost the record', () => {
      assert.equal(finish(createHolder(0), first).record?.answer?.attemptId, 'first');
    });
  });

  describe('bounds', () => {
    it('refuse new records when full and still take the ends of the accepted ones', () => {
      const state = createHolder(0);
      const options = { ...DEFAULT_HOLDER_OPTIONS, maxRecords: 2 };
      const kinds = ['a', 'b', 'c'].map((keyText) => {
        const record = makeRecord({ keyText });
        return handleHolderCall(state, { kind: HolderCallKind.Create, record }, options, 0).kind;
      });
      assert.deepEqual(kinds, [HolderReplyKind.Done, HolderReplyKind.Done, HolderReplyKind.Full]);
      const record = makeRecord({ keyText: 'a' });
      const answer = makeAnswer(first);
      const end: HolderCall = { kind: HolderCallKind.Finish, record, answer, failure: null };
      assert.equal(handleHolderCall(state, end, options, 0).kind, HolderReplyKind.Done);
    });

    it('keep bytes back for ends', () => {
      const state = createHolder(0);
      const options = { ...DEFAULT_HOLDER_OPTIONS, maxBytes: 1300, createBytesRatio: 0.5 };
      const kinds = ['a', 'b'].map((keyText) => {
        const record = makeRecord({ keyText });
        return handleHolderCall(state, { kind: HolderCallKind.Create, record }, options, 0).kind;
      });
      assert.deepEqual(kinds, [HolderReplyKind.Done, HolderReplyKind.Full]);
    });

    it('drop a record after its time only', () => {
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
  const elsewhere = (): readonly string[] => ['b', 'c'];
  const { handoverGraceMs } = DEFAULT_REPAIR_OPTIONS;

  function tick(repair: RepairState, state: HolderState, nowMs: number): number {
    const sends = tickRepair(repair, state, 'a', elsewhere, DEFAULT_REPAIR_OPTIONS, nowMs);
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
    for (const from of elsewhere()) {
      const options = DEFAULT_REPAIR_OPTIONS;
      const answer = { from, keyText: 'key', reply, restore, options, nowMs };
      onRepairReply(repair, state, 'a', elsewhere, answer);
    }
  }

  // Story: members change twice; the acknowledgement of the first, older copy comes late. The
  // answer, which only the second copy has, was told and must not be dropped. Cause: the late
  // acknowledgement counted for the second copy.
  it('does not take a late acknowledgement of an older copy for the newer one’s', () => {
    const state = createHolder(0);
    const repair = createRepair();
    noted(state);
    finish(state, first);
    scheduleRepair(repair, state, 0);
    tick(repair, state, handoverGraceMs);
    acknowledge(repair, state, makeRecord({ attempts: [first] }), handoverGraceMs);
    assert.equal(state.records.size, 1);
  });

  // Story: after a change two members each believe the other holds the key. Each acknowledges and
  // each drops: the told answer is gone. Cause: views agree only some time after a change.
  it('keeps a copy that belongs elsewhere until members have not changed for the grace', () => {
    const state = createHolder(0);
    const repair = createRepair();
    noted(state);
    scheduleRepair(repair, state, 0);
    assert.equal(tick(repair, state, 0), 2);
    const copy = makeRecord({ attempts: [first] });
    acknowledge(repair, state, copy, 10);
    assert.equal(state.records.size, 1);
    assert.equal(tick(repair, state, handoverGraceMs), 2);
    acknowledge(repair, state, copy, handoverGraceMs);
    assert.equal(state.records.size, 0);
  });

  // Story: two holders restore each other's copies once a second for ever; nothing is seen but the
  // traffic. Cause: each copy that came counted as a change that the other must have.
  it('does not count a copy that brings nothing as a change', () => {
    const state = createHolder(0);
    noted(state);
    const before = state.records.get('key')?.record;
    call(state, { kind: HolderCallKind.Restore, record: makeRecord({ attempts: [first] }) }, 5);
    assert.equal(state.records.get('key')?.record, before);
  });

  // Story: a sidecar's view is old; it commits an answer at members that hold the key to it alone.
  // Their own view never changes, so nothing moved the record, and a resend ran anew. Cause: repair
  // began only with a change of members.
  it('hands on what a member was given and should not hold', () => {
    const holder = createHolder(0);
    const repair = createRepair();
    const place = { holder, repair, selfId: 'a', holdersOfKey: elsewhere };
    const record = makeRecord({ attempts: [first], answer: makeAnswer(first, 0) });
    const restore: HolderCall = { kind: HolderCallKind.Restore, record };
    handleHolderCallAt(place, restore, DEFAULT_HOLDER_OPTIONS, 0);
    assert.equal(tick(repair, holder, 0), 2);
    handleHolderCallAt(place, restore, DEFAULT_HOLDER_OPTIONS, 1);
    assert.deepEqual(repair.queue, []);
  });

  it('is paced', () => {
    const state = createHolder(0);
    for (let index = 0; index < 5; index += 1) {
      create(state, makeRecord({ keyText: `key-${String(index)}` }));
    }
    const repair = createRepair();
    scheduleRepair(repair, state, 0);
    const options = { ...DEFAULT_REPAIR_OPTIONS, repairsPerTick: 2 };
    assert.equal(tickRepair(repair, state, 'a', elsewhere, options, 0).length, 4);
    assert.equal(repair.queue.length, 3);
  });
});
