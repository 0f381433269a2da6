/** The entry's request machine, step by step; the fuzzer tries what no list of steps holds. */
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { RunState } from '../../../src/core/model/outcome.js';
import { createRetryBudget } from '../../../src/core/retries/retries.js';
import { createDrive, handleDriveEvent } from '../../../src/core/records/drive.js';
import { eventIdOf, extendHash, parseEventId } from '../../../src/core/records/drive-delivery.js';
import { DriveEffectKind, DriveEventKind } from '../../../src/core/records/drive-messages.js';
import type { DriveEffect, DriveEvent } from '../../../src/core/records/drive-messages.js';
import { ClaimOutcome, DriveTimer, Suspicion } from '../../../src/core/records/drive-types.js';
import type {
  DriveContext,
  DriveRequest,
  RequestDrive,
} from '../../../src/core/records/drive-types.js';
import {
  CancelOutcome,
  HolderReplyKind,
  StreamFailureReason,
} from '../../../src/core/records/messages.js';
import { DEFAULT_DRIVE_OPTIONS } from '../../../src/core/records/options.js';
import type { Attempt, RequestRecord } from '../../../src/core/records/record.js';
import { hash32, makeAnswer, makeAttempt, makeRecord } from '../../fixtures/requests.js';

const UP_FOR_MS = 1e9;

/** Drives one machine by hand; remembers the effects of the last step. */
class Script {
  readonly drive: RequestDrive;
  effects: readonly DriveEffect[] = [];
  live = true;
  suspicion = Suspicion.None;
  provesAbsence = true;

  constructor(overrides: Partial<DriveRequest> = {}) {
    const request: DriveRequest = {
      keyText: 'key',
      workspace: 'workspace',
      service: 'service',
      bodyHash: 'body',
      repeatable: true,
      payload: null,
      deadlineMs: 30_000,
      resume: null,
      ...overrides,
    };
    this.drive = createDrive('entry-1#1~1', request, 0);
  }

  feed(event: DriveEvent): this {
    const { retry } = DEFAULT_DRIVE_OPTIONS;
    const context: DriveContext = {
      nowMs: 0,
      random: () => 0,
      hash32,
      entryId: 'entry-1',
      options: DEFAULT_DRIVE_OPTIONS,
      budget: createRetryBudget(retry),
      holders: () => ['a', 'b'],
      isLive: () => this.live,
      suspicion: () => this.suspicion,
      provesAbsence: () => this.provesAbsence,
    };
    this.effects = handleDriveEvent(this.drive, event, context);
    return this;
  }

  reply(from: string, record: RequestRecord | null, kind = HolderReplyKind.Done): this {
    const reply = { kind, record, retryAfterMs: 0, upForMs: UP_FOR_MS };
    const roundId = this.drive.round?.id ?? -1;
    return this.feed({ kind: DriveEventKind.HolderReplied, roundId, from, reply });
  }

  replies(record: RequestRecord | null, kind = HolderReplyKind.Done): this {
    return this.reply('a', record, kind).reply('b', record, kind);
  }

  arrive(): this {
    return this.feed({ kind: DriveEventKind.CallerArrived });
  }

  admit(): this {
    const place = { sidecar: 'sidecar-1', target: 'target-1' };
    return this.feed({ kind: DriveEventKind.Admitted, askId: this.drive.askId, place });
  }

  session(): this {
    const { askId } = this.drive;
    return this.feed({
      kind: DriveEventKind.SessionOpened,
      askId,
      sessionId: 's1.1',
      sequence: 1,
    });
  }

  /** From arrival to the dispatch of the first attempt. */
  dispatched(): this {
    this.arrive()
      .replies(makeRecord({ creationId: this.drive.id }))
      .admit()
      .session();
    return this.replies(makeRecord({ attempts: this.ownAttempts() }));
  }

  ownAttempts(): Attempt[] {
    return this.drive.attempt === null ? [] : [this.drive.attempt];
  }

  tokens(index: number, tokens: readonly string[]): this {
    const { connectionId } = this.drive;
    return this.feed({ kind: DriveEventKind.StreamTokens, connectionId, index, tokens });
  }

  fails(reason: StreamFailureReason, mayHaveRun: boolean): this {
    const failure = { reason, mayHaveRun, record: null, retryAfterMs: 0 };
    const { connectionId } = this.drive;
    return this.feed({ kind: DriveEventKind.StreamFailed, connectionId, failure });
  }

  fire(timer: DriveTimer): this {
    const timerId = this.drive.timerIds.get(timer) ?? -1;
    return this.feed({ kind: DriveEventKind.TimerFired, timer, timerId });
  }

  effect<Kind extends DriveEffectKind>(
    kind: Kind,
  ): Extract<DriveEffect, { kind: Kind }> | undefined {
    return this.effects.find(
      (effect): effect is Extract<DriveEffect, { kind: Kind }> => effect.kind === kind,
    );
  }
}

describe('drive', () => {
  describe('before the dispatch', () => {
    it('asks for admission only when both holders have the record', () => {
      const script = new Script().arrive().reply('a', makeRecord());
      assert.equal(script.effect(DriveEffectKind.AskAdmission), undefined);
      script.reply('b', makeRecord());
      assert.notEqual(script.effect(DriveEffectKind.AskAdmission), undefined);
    });

    it('dispatches only when both holders have the attempt', () => {
      const script = new Script().arrive().replies(makeRecord()).admit().session();
      script.reply('a', makeRecord({ attempts: script.ownAttempts() }));
      assert.equal(script.effect(DriveEffectKind.Dispatch), undefined);
      script.reply('b', makeRecord({ attempts: script.ownAttempts() }));
      assert.equal(script.effect(DriveEffectKind.Dispatch)?.attempt.number, 1);
    });

    it('says not-run only after the record was taken back, and unknown where memory was lost', () => {
      for (const [provesAbsence, expected] of [
        [true, RunState.NotRun],
        [false, RunState.Unknown],
      ] as const) {
        const script = new Script().arrive().replies(makeRecord());
        script.provesAbsence = provesAbsence;
        const { askId } = script.drive;
        const kind = DriveEventKind.AdmissionRefused;
        script.feed({ kind, askId, reason: 'full', retryAfterMs: 700 });
        assert.equal(script.effect(DriveEffectKind.TellRefusal), undefined);
        script.replies(null);
        const refusal = script.effect(DriveEffectKind.TellRefusal);
        assert.equal(refusal?.runState, expected);
        assert.equal(refusal.retryAfterMs, 700);
      }
    });

    it('refuses the key with another body', () => {
      const script = new Script().arrive().reply('a', null, HolderReplyKind.Conflict).replies(null);
      const refusal = script.effect(DriveEffectKind.TellRefusal);
      assert.equal(refusal?.failure.name, 'idempotency-key-conflict');
    });

    // Story: an entry restarts and is sent the content that crashed two targets an hour ago. It must
    // not lose a third. Cause: it had not read the ledger yet.
    it('waits until the ledger of suspects was read', () => {
      const script = new Script();
      script.suspicion = Suspicion.Unread;
      script.arrive().replies(makeRecord());
      assert.equal(script.effect(DriveEffectKind.AskAdmission), undefined);
      script.suspicion = Suspicion.Convicted;
      script.fire(DriveTimer.BackOff).replies(makeRecord());
      const refusal = script.effect(DriveEffectKind.TellRefusal);
      assert.equal(refusal?.failure.name, 'poisoned-request');
    });
  });

  describe('a call that may not be repeated', () => {
    // Story: two entries hold one key. While the second waits, a late reply brings in the first's
    // attempt, which runs; the second claims over it, and the receipt is issued twice. Cause: the
    // claim was asked for as if that attempt never ran.
    it('does not claim over an attempt that came to light while it waited', () => {
      const script = new Script({ repeatable: false }).arrive().replies(makeRecord());
      const running = makeAttempt('other/1');
      script.drive.known = { ...script.drive.known, attempts: [running] };
      script.admit().session();
      assert.equal(script.effect(DriveEffectKind.TakeClaim)?.replacesId, null);
    });

    it('claims before it notes, and joins the attempt that holds the claim', () => {
      const script = new Script({ repeatable: false }).arrive().replies(makeRecord());
      script.admit().session();
      const { askId } = script.drive;
      const holder = { attempt: makeAttempt('other/1'), bodyHash: 'body' };
      const event = { kind: DriveEventKind.ClaimReplied, askId, retryAfterMs: 0 } as const;
      script.feed({ ...event, outcome: ClaimOutcome.Held, holder });
      assert.equal(script.effect(DriveEffectKind.Attach)?.attempt.id, 'other/1');
    });

    it('is not run without the key-value service, and its refusal says so', () => {
      const script = new Script({ repeatable: false }).arrive().replies(makeRecord());
      script.admit().session();
      const { askId } = script.drive;
      const event = { kind: DriveEventKind.ClaimReplied, askId, holder: null } as const;
      script.feed({ ...event, outcome: ClaimOutcome.Unavailable, retryAfterMs: 5 }).replies(null);
      assert.equal(script.effect(DriveEffectKind.TellRefusal)?.runState, RunState.NotRun);
    });

    it('is unknown, at once, when its target is lost after the dispatch', () => {
      const script = new Script({ repeatable: false }).arrive().replies(makeRecord());
      script.admit().session();
      const { askId } = script.drive;
      const event = { kind: DriveEventKind.ClaimReplied, askId, holder: null } as const;
      script.feed({ ...event, outcome: ClaimOutcome.Granted, retryAfterMs: 0 });
      script.replies(makeRecord({ repeatable: false, attempts: script.ownAttempts() }));
      script.live = false;
      script.feed({ kind: DriveEventKind.MembersChanged });
      assert.equal(script.effect(DriveEffectKind.TellRefusal)?.runState, RunState.Unknown);
    });
  });

  describe('a stream', () => {
    it('that dies is gone on with from the tokens sent', () => {
      const script = new Script().dispatched().tokens(0, ['x', 'y']);
      script.fails(StreamFailureReason.EngineFailed, true).fire(DriveTimer.BackOff);
      script.admit().session();
      const [first, second] = [script.drive.known.attempts[0], script.drive.attempt];
      assert.equal(second?.startIndex, 2);
      const attempts = [first, second].filter((attempt) => attempt !== undefined);
      script.replies(makeRecord({ attempts }));
      assert.deepEqual(script.effect(DriveEffectKind.Dispatch)?.continueFrom, ['x', 'y']);
    });

    // Story: a caller has read half of one attempt's text; its entry joins another attempt, the
    // connection breaks before a token came, and is joined again in the middle: two halves that do
    // not belong together. Cause: the second join took the first's comparison for done.
    it('of another attempt is read from its first token until the texts were compared', () => {
      const script = new Script().dispatched().tokens(0, ['x', 'y']);
      const later = makeAttempt('other/1', { number: 2 });
      const record = makeRecord({ attempts: [...script.drive.known.attempts, later] });
      const failure = {
        reason: StreamFailureReason.Superseded,
        mayHaveRun: true,
        record,
        retryAfterMs: 0,
      };
      const { connectionId } = script.drive;
      script.feed({ kind: DriveEventKind.StreamFailed, connectionId, failure });
      assert.equal(script.effect(DriveEffectKind.Attach)?.fromIndex, 0);
      script.fails(StreamFailureReason.ConnectionLost, true).fire(DriveTimer.Reattach);
      assert.equal(script.effect(DriveEffectKind.Attach)?.fromIndex, 0);
      script.tokens(0, ['x', 'other']);
      const refusal = script.effect(DriveEffectKind.TellRefusal);
      assert.equal(refusal?.failure.name, 'answer-diverged');
    });

    it('of a connection that was left is ignored', () => {
      const script = new Script().dispatched();
      const kind = DriveEventKind.StreamTokens;
      script.feed({ kind, connectionId: 1, index: 0, tokens: ['crossed'] });
      assert.deepEqual(script.effects, []);
    });

    it('that the deadline finds without a token is taken back, then refused', () => {
      const script = new Script().dispatched().fire(DriveTimer.Deadline);
      const attempt = script.effect(DriveEffectKind.CancelAttempt)?.attempt;
      const event = { kind: DriveEventKind.CancelReplied, attemptId: attempt?.id ?? '' } as const;
      script.feed({ ...event, outcome: CancelOutcome.NeverRuns }).replies(null);
      assert.equal(script.effect(DriveEffectKind.TellRefusal)?.runState, RunState.NotRun);
    });

    it('that the deadline finds running is told as running', () => {
      const script = new Script().dispatched().fire(DriveTimer.Deadline).fire(DriveTimer.Cancel);
      assert.equal(script.effect(DriveEffectKind.TellRefusal)?.runState, RunState.Running);
    });
  });

  describe('a caller that returns', () => {
    const answer = makeAnswer(makeAttempt('a'), 0);
    const record = makeRecord({ answer });
    const firstHash = extendHash(hash32, 0, answer.tokens[0] ?? '');

    it('gets the rest after the event that it names', () => {
      const resume = parseEventId(eventIdOf(1, firstHash));
      const script = new Script({ resume }).arrive().replies(record, HolderReplyKind.Standing);
      assert.deepEqual(script.effect(DriveEffectKind.TellTokens)?.tokens, ['a:1']);
      assert.notEqual(script.effect(DriveEffectKind.TellAnswer), undefined);
    });

    it('is refused when the text differs from what it has read', () => {
      const resume = { index: 1, hash: firstHash + 1 };
      const script = new Script({ resume }).arrive().replies(record, HolderReplyKind.Standing);
      const refusal = script.effect(DriveEffectKind.TellRefusal);
      assert.equal(refusal?.failure.name, 'answer-diverged');
      assert.equal(script.effect(DriveEffectKind.TellTokens), undefined);
    });

    it('is told an answer only once all holders have committed it', () => {
      const script = new Script().arrive();
      script.reply('a', makeRecord({ answer: makeAnswer(makeAttempt('a')) }));
      script.reply('b', makeRecord());
      assert.equal(script.effect(DriveEffectKind.TellAnswer), undefined);
      script.replies(makeRecord({ answer: makeAnswer(makeAttempt('a')) }));
      assert.equal(script.effect(DriveEffectKind.TellAnswer), undefined);
      script.replies(record);
      assert.notEqual(script.effect(DriveEffectKind.TellAnswer), undefined);
    });
  });

  // Story: a target wakes from a pause and brings its answer to one holder, while the next attempt
  // is read by a caller. Another caller of the key finds that answer, carries it to all holders, and
  // the first caller is cut at the end. Cause: an answer that was not committed was taken for final.
  it('leaves an uncommitted answer alone while a later attempt runs', () => {
    const first = makeAttempt('other/1');
    const attempts = [first, makeAttempt('other/2', { number: 2 })];
    const record = makeRecord({ attempts, answer: makeAnswer(first) });
    const script = new Script().arrive().replies(record, HolderReplyKind.Standing);
    assert.equal(script.effect(DriveEffectKind.Attach)?.attempt.id, 'other/2');
  });

  // Story: one key is used for two bodies after both holders lost it. Each holder keeps another
  // body, and both callers waited for ever. Cause: holders that never agreed were asked again.
  it('gives up when the holders cannot agree on an answer', () => {
    const script = new Script().arrive();
    const record = makeRecord({ answer: makeAnswer(makeAttempt('a')) });
    script.replies(record, HolderReplyKind.Standing);
    for (let round = 0; round <= DEFAULT_DRIVE_OPTIONS.holderRounds; round += 1) {
      if (script.effect(DriveEffectKind.TellRefusal) !== undefined) break;
      script.reply('a', record).reply('b', null, HolderReplyKind.Full);
    }
    assert.equal(script.effect(DriveEffectKind.TellRefusal)?.runState, RunState.Ran);
  });
});
