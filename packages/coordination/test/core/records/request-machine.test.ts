/** Tests the request machine of an entry step by step; the fuzzer covers other orders of events. */
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { RunState } from '../../../src/core/model/outcome.js';
import { createRetryBudget } from '../../../src/core/retries/retries.js';
import {
  createRequestMachine,
  handleRequestEvent,
} from '../../../src/core/records/request-machine.js';
import { eventIdOf, extendHash, parseEventId } from '../../../src/core/records/request-delivery.js';
import { RequestEffectKind, RequestEventKind } from '../../../src/core/records/request-events.js';
import type { RequestEffect, RequestEvent } from '../../../src/core/records/request-events.js';
import { ClaimOutcome, RequestTimer, Suspicion } from '../../../src/core/records/request-types.js';
import type {
  RequestContext,
  CallerRequest,
  RequestMachine,
} from '../../../src/core/records/request-types.js';
import {
  CancelOutcome,
  HolderReplyKind,
  StreamFailureReason,
} from '../../../src/core/records/messages.js';
import { DEFAULT_REQUEST_MACHINE_OPTIONS } from '../../../src/core/records/options.js';
import type { Attempt, RequestRecord } from '../../../src/core/records/record.js';
import { hash32, makeAnswer, makeAttempt, makeRecord } from '../../fixtures/requests.js';

const UP_FOR_MS = 1e9;

/** Feeds events to one machine and keeps the effects of the last event. */
class Script {
  readonly machine: RequestMachine;
  effects: readonly RequestEffect[] = [];
  live = true;
  suspicion = Suspicion.None;
  provesAbsence = true;

  constructor(overrides: Partial<CallerRequest> = {}) {
    const request: CallerRequest = {
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
    this.machine = createRequestMachine('entry-1#1~1', request, 0);
  }

  feed(event: RequestEvent): this {
    const { retry } = DEFAULT_REQUEST_MACHINE_OPTIONS;
    const context: RequestContext = {
      nowMs: 0,
      random: () => 0,
      hash32,
      entryId: 'entry-1',
      options: DEFAULT_REQUEST_MACHINE_OPTIONS,
      budget: createRetryBudget(retry),
      holders: () => ['a', 'b'],
      isLive: () => this.live,
      suspicion: () => this.suspicion,
      provesAbsence: () => this.provesAbsence,
    };
    this.effects = handleRequestEvent(this.machine, event, context);
    return this;
  }

  reply(from: string, record: RequestRecord | null, kind = HolderReplyKind.Done): this {
    const reply = { kind, record, retryAfterMs: 0, upForMs: UP_FOR_MS };
    const roundId = this.machine.round?.id ?? -1;
    return this.feed({ kind: RequestEventKind.HolderReplied, roundId, from, reply });
  }

  replies(record: RequestRecord | null, kind = HolderReplyKind.Done): this {
    return this.reply('a', record, kind).reply('b', record, kind);
  }

  arrive(): this {
    return this.feed({ kind: RequestEventKind.CallerArrived });
  }

  admit(): this {
    const place = { sidecar: 'sidecar-1', target: 'target-1' };
    return this.feed({ kind: RequestEventKind.Admitted, askId: this.machine.askId, place });
  }

  session(): this {
    const { askId } = this.machine;
    return this.feed({
      kind: RequestEventKind.SessionOpened,
      askId,
      sessionId: 's1.1',
      sequence: 1,
    });
  }

  /** Runs the machine from the arrival of the caller to the dispatch of the first attempt. */
  dispatched(): this {
    this.arrive()
      .replies(makeRecord({ creationId: this.machine.id }))
      .admit()
      .session();
    return this.replies(makeRecord({ attempts: this.ownAttempts() }));
  }

  ownAttempts(): Attempt[] {
    return this.machine.attempt === null ? [] : [this.machine.attempt];
  }

  tokens(index: number, tokens: readonly string[]): this {
    const { connectionId } = this.machine;
    return this.feed({ kind: RequestEventKind.StreamTokens, connectionId, index, tokens });
  }

  fails(reason: StreamFailureReason, mayHaveRun: boolean): this {
    const failure = { reason, mayHaveRun, record: null, retryAfterMs: 0 };
    const { connectionId } = this.machine;
    return this.feed({ kind: RequestEventKind.StreamFailed, connectionId, failure });
  }

  fire(timer: RequestTimer): this {
    const timerId = this.machine.timerIds.get(timer) ?? -1;
    return this.feed({ kind: RequestEventKind.TimerFired, timer, timerId });
  }

  effect<Kind extends RequestEffectKind>(
    kind: Kind,
  ): Extract<RequestEffect, { kind: Kind }> | undefined {
    return this.effects.find(
      (effect): effect is Extract<RequestEffect, { kind: Kind }> => effect.kind === kind,
    );
  }
}

describe('request machine', () => {
  describe('before the dispatch', () => {
    it('requests admission only after both holders have the record', () => {
      const script = new Script().arrive().reply('a', makeRecord());
      assert.equal(script.effect(RequestEffectKind.AskAdmission), undefined);
      script.reply('b', makeRecord());
      assert.notEqual(script.effect(RequestEffectKind.AskAdmission), undefined);
    });

    it('dispatches an attempt only after both holders have recorded it', () => {
      const script = new Script().arrive().replies(makeRecord()).admit().session();
      script.reply('a', makeRecord({ attempts: script.ownAttempts() }));
      assert.equal(script.effect(RequestEffectKind.Dispatch), undefined);
      script.reply('b', makeRecord({ attempts: script.ownAttempts() }));
      assert.equal(script.effect(RequestEffectKind.Dispatch)?.attempt.number, 1);
    });

    it('reports not-run only after releasing the record, and unknown if records may be lost', () => {
      for (const [provesAbsence, expected] of [
        [true, RunState.NotRun],
        [false, RunState.Unknown],
      ] as const) {
        const script = new Script().arrive().replies(makeRecord());
        script.provesAbsence = provesAbsence;
        const { askId } = script.machine;
        const kind = RequestEventKind.AdmissionRefused;
        script.feed({ kind, askId, reason: 'full', retryAfterMs: 700 });
        assert.equal(script.effect(RequestEffectKind.TellRefusal), undefined);
        script.replies(null);
        const refusal = script.effect(RequestEffectKind.TellRefusal);
        assert.equal(refusal?.runState, expected);
        assert.equal(refusal.retryAfterMs, 700);
      }
    });

    it('refuses a key that is in use for a different body', () => {
      const script = new Script().arrive().reply('a', null, HolderReplyKind.Conflict).replies(null);
      const refusal = script.effect(RequestEffectKind.TellRefusal);
      assert.equal(refusal?.failure.name, 'idempotency-key-conflict');
    });

    // Guards against crashing a third target with content that has crashed two. A restarted entry
    // receives such content before it has loaded the poison ledger.
    it('waits until the poison ledger is loaded', () => {
      const script = new Script();
      script.suspicion = Suspicion.Unread;
      script.arrive().replies(makeRecord());
      assert.equal(script.effect(RequestEffectKind.AskAdmission), undefined);
      script.suspicion = Suspicion.Convicted;
      script.fire(RequestTimer.BackOff).replies(makeRecord());
      const refusal = script.effect(RequestEffectKind.TellRefusal);
      assert.equal(refusal?.failure.name, 'poisoned-request');
    });
  });

  describe('a call that may not be repeated', () => {
    // Guards against running a call twice. Two entries work on one key. While the second waits for
    // admission, a late reply adds the running attempt of the first to its state. The second
    // replaced the claim of that attempt as if the attempt would never run.
    it('does not replace the claim of an attempt that it learned of while waiting', () => {
      const script = new Script({ repeatable: false }).arrive().replies(makeRecord());
      const running = makeAttempt('other/1');
      script.machine.known = { ...script.machine.known, attempts: [running] };
      script.admit().session();
      assert.equal(script.effect(RequestEffectKind.TakeClaim)?.replacesId, null);
    });

    it('claims before recording the attempt, and attaches to the attempt that holds the claim', () => {
      const script = new Script({ repeatable: false }).arrive().replies(makeRecord());
      script.admit().session();
      const { askId } = script.machine;
      const holder = { attempt: makeAttempt('other/1'), bodyHash: 'body' };
      const event = { kind: RequestEventKind.ClaimReplied, askId, retryAfterMs: 0 } as const;
      script.feed({ ...event, outcome: ClaimOutcome.Held, holder });
      assert.equal(script.effect(RequestEffectKind.Attach)?.attempt.id, 'other/1');
    });

    it('is refused as not-run if the key-value service is unavailable', () => {
      const script = new Script({ repeatable: false }).arrive().replies(makeRecord());
      script.admit().session();
      const { askId } = script.machine;
      const event = { kind: RequestEventKind.ClaimReplied, askId, holder: null } as const;
      script.feed({ ...event, outcome: ClaimOutcome.Unavailable, retryAfterMs: 5 }).replies(null);
      assert.equal(script.effect(RequestEffectKind.TellRefusal)?.runState, RunState.NotRun);
    });

    it('is refused as unknown immediately if its target is lost after the dispatch', () => {
      const script = new Script({ repeatable: false }).arrive().replies(makeRecord());
      script.admit().session();
      const { askId } = script.machine;
      const event = { kind: RequestEventKind.ClaimReplied, askId, holder: null } as const;
      script.feed({ ...event, outcome: ClaimOutcome.Granted, retryAfterMs: 0 });
      script.replies(makeRecord({ repeatable: false, attempts: script.ownAttempts() }));
      script.live = false;
      script.feed({ kind: RequestEventKind.MembersChanged });
      assert.equal(script.effect(RequestEffectKind.TellRefusal)?.runState, RunState.Unknown);
    });
  });

  describe('a stream', () => {
    it('that fails is continued by the next attempt after the tokens sent', () => {
      const script = new Script().dispatched().tokens(0, ['x', 'y']);
      script.fails(StreamFailureReason.EngineFailed, true).fire(RequestTimer.BackOff);
      script.admit().session();
      const [first, second] = [script.machine.known.attempts[0], script.machine.attempt];
      assert.equal(second?.startIndex, 2);
      const attempts = [first, second].filter((attempt) => attempt !== undefined);
      script.replies(makeRecord({ attempts }));
      assert.deepEqual(script.effect(RequestEffectKind.Dispatch)?.continueFrom, ['x', 'y']);
    });

    // Guards against splicing the texts of two attempts if the connection to the second one breaks
    // before its first token.
    it('of another attempt is read from its first token until the texts are compared', () => {
      const script = new Script().dispatched().tokens(0, ['x', 'y']);
      const later = makeAttempt('other/1', { number: 2 });
      const record = makeRecord({ attempts: [...script.machine.known.attempts, later] });
      const failure = {
        reason: StreamFailureReason.Superseded,
        mayHaveRun: true,
        record,
        retryAfterMs: 0,
      };
      const { connectionId } = script.machine;
      script.feed({ kind: RequestEventKind.StreamFailed, connectionId, failure });
      assert.equal(script.effect(RequestEffectKind.Attach)?.fromIndex, 0);
      script.fails(StreamFailureReason.ConnectionLost, true).fire(RequestTimer.Reattach);
      assert.equal(script.effect(RequestEffectKind.Attach)?.fromIndex, 0);
      script.tokens(0, ['x', 'other']);
      const refusal = script.effect(RequestEffectKind.TellRefusal);
      assert.equal(refusal?.failure.name, 'answer-diverged');
    });

    it('on an abandoned connection is ignored', () => {
      const script = new Script().dispatched();
      const kind = RequestEventKind.StreamTokens;
      script.feed({ kind, connectionId: 1, index: 0, tokens: ['crossed'] });
      assert.deepEqual(script.effects, []);
    });

    it('without a token at the deadline is cancelled and then refused', () => {
      const script = new Script().dispatched().fire(RequestTimer.Deadline);
      const attempt = script.effect(RequestEffectKind.CancelAttempt)?.attempt;
      const event = { kind: RequestEventKind.CancelReplied, attemptId: attempt?.id ?? '' } as const;
      script.feed({ ...event, outcome: CancelOutcome.NeverRuns }).replies(null);
      assert.equal(script.effect(RequestEffectKind.TellRefusal)?.runState, RunState.NotRun);
    });

    it('that cannot be cancelled at the deadline is reported as running', () => {
      const script = new Script()
        .dispatched()
        .fire(RequestTimer.Deadline)
        .fire(RequestTimer.Cancel);
      assert.equal(script.effect(RequestEffectKind.TellRefusal)?.runState, RunState.Running);
    });
  });

  describe('a resuming caller', () => {
    const answer = makeAnswer(makeAttempt('a'), 0);
    const record = makeRecord({ answer });
    const firstHash = extendHash(hash32, 0, answer.tokens[0] ?? '');

    it('receives the rest of the answer after its last event', () => {
      const resume = parseEventId(eventIdOf(1, firstHash));
      const script = new Script({ resume }).arrive().replies(record, HolderReplyKind.Standing);
      assert.deepEqual(script.effect(RequestEffectKind.TellTokens)?.tokens, ['a:1']);
      assert.notEqual(script.effect(RequestEffectKind.TellAnswer), undefined);
    });

    it('is refused if the text differs from what it has received', () => {
      const resume = { index: 1, hash: firstHash + 1 };
      const script = new Script({ resume }).arrive().replies(record, HolderReplyKind.Standing);
      const refusal = script.effect(RequestEffectKind.TellRefusal);
      assert.equal(refusal?.failure.name, 'answer-diverged');
      assert.equal(script.effect(RequestEffectKind.TellTokens), undefined);
    });

    it('receives an answer only after all holders have committed it', () => {
      const script = new Script().arrive();
      script.reply('a', makeRecord({ answer: makeAnswer(makeAttempt('a')) }));
      script.reply('b', makeRecord());
      assert.equal(script.effect(RequestEffectKind.TellAnswer), undefined);
      script.replies(makeRecord({ answer: makeAnswer(makeAttempt('a')) }));
      assert.equal(script.effect(RequestEffectKind.TellAnswer), undefined);
      script.replies(record);
      assert.notEqual(script.effect(RequestEffectKind.TellAnswer), undefined);
    });
  });

  // Guards against cutting off the caller of a later attempt by an uncommitted answer of an earlier
  // one that another caller of the key finds.
  it('does not deliver an uncommitted answer while a later attempt runs', () => {
    const first = makeAttempt('other/1');
    const attempts = [first, makeAttempt('other/2', { number: 2 })];
    const record = makeRecord({ attempts, answer: makeAnswer(first) });
    const script = new Script().arrive().replies(record, HolderReplyKind.Standing);
    assert.equal(script.effect(RequestEffectKind.Attach)?.attempt.id, 'other/2');
  });

  // Guards against callers that wait without end. A key is used for two bodies after both holders
  // lost it, so each holder has a different body, and the machine kept calling holders that never
  // agree.
  it('gives up if the holders cannot agree on an answer', () => {
    const script = new Script().arrive();
    const record = makeRecord({ answer: makeAnswer(makeAttempt('a')) });
    script.replies(record, HolderReplyKind.Standing);
    for (let round = 0; round <= DEFAULT_REQUEST_MACHINE_OPTIONS.maxHolderWaits; round += 1) {
      if (script.effect(RequestEffectKind.TellRefusal) !== undefined) break;
      script.reply('a', record).reply('b', null, HolderReplyKind.Full);
    }
    assert.equal(script.effect(RequestEffectKind.TellRefusal)?.runState, RunState.Ran);
  });
});
