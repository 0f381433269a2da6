/** The sidecar's attempt machine and its dispatch sessions. */
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import {
  cancelHosted,
  createHost,
  handleHostEvent,
  probeLoneRun,
} from '../../../src/core/records/host.js';
import { openAttempts } from '../../../src/core/records/host-dispatch.js';
import { HostEffectKind, HostEventKind } from '../../../src/core/records/host-types.js';
import type {
  HostContext,
  HostEffect,
  HostEvent,
  HostOptions,
  HostState,
} from '../../../src/core/records/host-types.js';
import {
  CancelOutcome,
  HolderReplyKind,
  LoneProbe,
  StreamFailureReason,
} from '../../../src/core/records/messages.js';
import type { DispatchMessage } from '../../../src/core/records/messages.js';
import { DEFAULT_HOST_OPTIONS } from '../../../src/core/records/options.js';
import type { Attempt, RequestRecord } from '../../../src/core/records/record.js';
import {
  SequenceVerdict,
  createSessions,
  judgeSequence,
  markSeen,
  openSession,
} from '../../../src/core/records/sessions.js';
import { makeAnswer, makeAttempt, makeRecord } from '../../fixtures/requests.js';

interface Bench {
  readonly state: HostState;
  readonly feed: (event: HostEvent, nowMs?: number) => readonly HostEffect[];
  readonly context: (nowMs?: number) => HostContext;
}

function bench(options: Partial<HostOptions> = {}): Bench {
  const state = createHost('sidecar-1', 'target-1', 's1');
  const context = (nowMs = 0): HostContext => ({
    nowMs,
    options: { ...DEFAULT_HOST_OPTIONS, ...options },
    holdersOfKey: () => ['a', 'b'],
  });
  const feed = (event: HostEvent, nowMs = 0): readonly HostEffect[] =>
    handleHostEvent(state, event, context(nowMs));
  openSession(state.sessions, 'entry-1#1', DEFAULT_HOST_OPTIONS.sessions);
  feed({ kind: HostEventKind.EngineInherited, inherited: { count: 0, mayBeLone: false } });
  return { state, feed, context };
}

function dispatchOf(attempt: Attempt, overrides: Partial<DispatchMessage> = {}): HostEvent {
  const message: DispatchMessage = {
    attempt,
    record: makeRecord({ keyText: attempt.id, attempts: [attempt] }),
    continueFrom: [],
    payload: null,
    remainingMs: 30_000,
    ...overrides,
  };
  return { kind: HostEventKind.Dispatched, attachId: `to-${attempt.id}`, message };
}

function starts(effects: readonly HostEffect[]): number {
  return effects.filter((effect) => effect.kind === HostEffectKind.StartEngine).length;
}

function failureOf(effects: readonly HostEffect[]): StreamFailureReason | null {
  const failed = effects.find((effect) => effect.kind === HostEffectKind.FailStream);
  return failed?.failure.reason ?? null;
}

const attempt = makeAttempt('a1');

function finishAt(host: Bench, nowMs: number): readonly HostEffect[] {
  host.feed(dispatchOf(attempt));
  const tokens = ['x', 'y'];
  host.feed({ kind: HostEventKind.EngineTokens, attemptId: 'a1', index: 0, tokens });
  const { ending } = makeAnswer(attempt);
  return host.feed({ kind: HostEventKind.EngineEnded, attemptId: 'a1', ending }, nowMs);
}

function replyOf(record: RequestRecord | null, kind = HolderReplyKind.Done) {
  return { kind, record, retryAfterMs: 0, upForMs: 0 };
}

describe('dispatch sessions', () => {
  it('take each number once, and none below the window', () => {
    const sessions = createSessions('s1');
    const options = { maxSessions: 4, windowSize: 3 };
    const sessionId = openSession(sessions, 'entry', options);
    const judge = (sequence: number): SequenceVerdict =>
      judgeSequence(sessions.byId.get(sessionId), sequence);
    for (const sequence of [1, 2, 6]) {
      assert.equal(judge(sequence), SequenceVerdict.Fresh);
      markSeen(sessions, makeAttempt('a', { sessionId, sequence }), false, options);
    }
    assert.equal(judge(6), SequenceVerdict.Stale);
    assert.equal(judge(3), SequenceVerdict.Stale);
    assert.equal(judge(4), SequenceVerdict.Fresh);
    assert.equal(judgeSequence(undefined, 1), SequenceVerdict.NoSession);
  });

  it('are bounded; what a dropped session brings late is refused', () => {
    const sessions = createSessions('s1');
    const options = { maxSessions: 2, windowSize: 3 };
    const first = openSession(sessions, 'entry-1', options);
    openSession(sessions, 'entry-2', options);
    openSession(sessions, 'entry-3', options);
    assert.equal(sessions.byId.size, 2);
    assert.equal(judgeSequence(sessions.byId.get(first), 9), SequenceVerdict.NoSession);
    assert.notEqual(openSession(sessions, 'entry-1', options), first);
  });
});

describe('host', () => {
  describe('a dispatch', () => {
    it('runs once, however often it comes', () => {
      const host = bench();
      assert.equal(starts(host.feed(dispatchOf(attempt))), 1);
      assert.equal(starts(host.feed(dispatchOf(attempt))), 0);
    });

    // Story: a caller's deadline passes while its dispatch is under way; the entry takes the attempt
    // back and says "not-run". Two minutes later the dispatch arrives and must not run. Cause: the
    // network delays without bound.
    it('that was taken back before it came never runs', () => {
      const host = bench();
      const { outcome } = cancelHosted(host.state, { attempt }, host.context());
      assert.equal(outcome, CancelOutcome.NeverRuns);
      const effects = host.feed(dispatchOf(attempt), 120_000);
      assert.equal(starts(effects), 0);
      assert.equal(failureOf(effects), StreamFailureReason.Cancelled);
    });

    it('that came cannot be taken back, and one of a former incarnation is not known', () => {
      const host = bench();
      host.feed(dispatchOf(attempt));
      const cancel = (other: Attempt): CancelOutcome =>
        cancelHosted(host.state, { attempt: other }, host.context()).outcome;
      assert.equal(cancel(attempt), CancelOutcome.Started);
      assert.equal(cancel(makeAttempt('old', { sessionId: 's0.1' })), CancelOutcome.Unknown);
    });

    it('of a former incarnation’s session does not run', () => {
      const effects = bench().feed(dispatchOf(makeAttempt('old', { sessionId: 's0.1' })));
      assert.equal(starts(effects), 0);
      assert.equal(failureOf(effects), StreamFailureReason.SessionRequired);
    });

    it('beyond the bound is refused as busy, and so is its late copy', () => {
      const host = bench({ maxAttempts: 1 });
      host.feed(dispatchOf(attempt));
      const more = makeAttempt('a2', { sequence: 2 });
      assert.equal(failureOf(host.feed(dispatchOf(more))), StreamFailureReason.Busy);
      assert.equal(failureOf(host.feed(dispatchOf(more))), StreamFailureReason.Cancelled);
      const crowded = bench({ maxBytes: 100 });
      assert.equal(failureOf(crowded.feed(dispatchOf(attempt))), StreamFailureReason.Busy);
    });

    it('whose time is over is refused as not run', () => {
      const effects = bench().feed(dispatchOf(attempt, { remainingMs: 0 }));
      assert.equal(failureOf(effects), StreamFailureReason.Expired);
    });
  });

  describe('an answer', () => {
    // Story: a caller reads its whole answer; the sidecar and one holder die; the resend runs anew
    // and gets another text. Cause: the end was told before the holders had the answer.
    it('is told as whole only once every holder has committed it', () => {
      const host = bench();
      finishAt(host, 0);
      const ends = (from: string): number => {
        const event = { kind: HostEventKind.HolderReplied, attemptId: 'a1', from } as const;
        const effects = host.feed({ ...event, reply: replyOf(null) });
        return effects.filter((effect) => effect.kind === HostEffectKind.EndStream).length;
      };
      assert.deepEqual(['a', 'b', 'a', 'b'].map(ends), [0, 0, 0, 1]);
    });

    // Story: as above, but a holder is slow: it was asked twice to take the answer, and its second
    // reply comes after the mark was sent. The end is told while no holder has the mark, and another
    // run's answer may take its place. Cause: any reply counted for the call that was under way.
    it('is not told for late replies to the call before the mark', () => {
      const host = bench();
      finishAt(host, 0);
      const unmarked = makeRecord({ answer: makeAnswer(makeAttempt('a1')) });
      const ends = (from: string): number => {
        const event = { kind: HostEventKind.HolderReplied, attemptId: 'a1', from } as const;
        const effects = host.feed({ ...event, reply: replyOf(unmarked) });
        return effects.filter((effect) => effect.kind === HostEffectKind.EndStream).length;
      };
      assert.deepEqual(['a', 'b', 'a', 'b'].map(ends), [0, 0, 0, 0]);
    });

    // Guards against a sidecar that stops between the end of an answer and its being told.
    it('is open until the holders have it', () => {
      const host = bench();
      finishAt(host, 0);
      const open = ['a', 'b', 'a', 'b'].map((from) => {
        const before = openAttempts(host.state).length;
        const event = { kind: HostEventKind.HolderReplied, attemptId: 'a1', from } as const;
        host.feed({ ...event, reply: replyOf(null) });
        return before;
      });
      assert.deepEqual([...open, openAttempts(host.state).length], [1, 1, 1, 1, 0]);
    });

    // Guards against a sidecar that stops before a slow reader has had the end of its answer.
    it('is open until its readers have had it', () => {
      const host = bench();
      const reader = { attachId: 'to-a1' };
      finishAt(host, 0);
      host.feed({ kind: HostEventKind.ReaderPaused, ...reader });
      for (const from of ['a', 'b', 'a', 'b']) {
        const event = { kind: HostEventKind.HolderReplied, attemptId: 'a1', from } as const;
        host.feed({ ...event, reply: replyOf(null) });
      }
      assert.equal(openAttempts(host.state).length, 1);
      host.feed({ kind: HostEventKind.ReaderResumed, ...reader });
      assert.equal(openAttempts(host.state).length, 0);
    });

    it('that another one preceded is not told; the reader learns what stands', () => {
      const host = bench();
      finishAt(host, 0);
      const standing = makeRecord({ answer: makeAnswer(makeAttempt('other')) });
      const reply = replyOf(standing, HolderReplyKind.Standing);
      const event = { kind: HostEventKind.HolderReplied, attemptId: 'a1', from: 'a' } as const;
      assert.equal(failureOf(host.feed({ ...event, reply })), StreamFailureReason.Superseded);
    });

    // Story: the link from the sidecar to one holder is cut one way; membership reaches it through
    // others, so it counts as alive. The caller has the whole text and waits for its end for ever.
    it('that cannot be committed from here is handed to its readers after a wait', () => {
      const host = bench();
      finishAt(host, 0);
      const { commitPatienceMs } = DEFAULT_HOST_OPTIONS;
      assert.equal(failureOf(host.feed({ kind: HostEventKind.Tick }, commitPatienceMs - 1)), null);
      const effects = host.feed({ kind: HostEventKind.Tick }, commitPatienceMs);
      assert.equal(failureOf(effects), StreamFailureReason.Superseded);
    });

    it('waits for a paused reader in the one copy that is kept', () => {
      const host = bench();
      host.feed(dispatchOf(attempt));
      host.feed({ kind: HostEventKind.ReaderPaused, attachId: 'to-a1' });
      const tokens = ['x', 'y'];
      const event = {
        kind: HostEventKind.EngineTokens,
        attemptId: 'a1',
        index: 0,
        tokens,
      } as const;
      assert.deepEqual(host.feed(event), []);
      const resumed = host.feed({ kind: HostEventKind.ReaderResumed, attachId: 'to-a1' });
      assert.deepEqual(resumed, [
        { kind: HostEffectKind.SendTokens, attachId: 'to-a1', index: 0, tokens },
      ]);
    });

    it('longer than the bound ends the stream', () => {
      const host = bench({ maxAnswerTokens: 1 });
      host.feed(dispatchOf(attempt));
      const tokens = ['x', 'y'];
      const event = {
        kind: HostEventKind.EngineTokens,
        attemptId: 'a1',
        index: 0,
        tokens,
      } as const;
      assert.equal(failureOf(host.feed(event)), StreamFailureReason.EngineFailed);
    });
  });

  describe('lone runs', () => {
    const lone = makeAttempt('lone', { alone: true, sequence: 2 });
    const check = (host: Bench, stands: boolean): readonly HostEffect[] =>
      host.feed({ kind: HostEventKind.LoneRunChecked, attemptId: 'lone', stands });

    // Story: a lone run's dispatch waits in a paused sidecar; its place goes to another, which
    // crashes, and the content is convicted. The sidecar wakes and loses a third target. Cause: the
    // dispatch was still good by itself.
    it('start only while the ledger names them', () => {
      const host = bench();
      const effects = host.feed(dispatchOf(lone));
      assert.ok(effects.some((effect) => effect.kind === HostEffectKind.CheckLoneRun));
      assert.equal(failureOf(check(host, false)), StreamFailureReason.Cancelled);
      assert.equal(starts(check(host, true)), 0);
    });

    it('wait until nothing else runs, and keep others out meanwhile', () => {
      const host = bench();
      host.feed(dispatchOf(attempt));
      assert.equal(starts(host.feed(dispatchOf(lone))), 0);
      const other = dispatchOf(makeAttempt('a3', { sequence: 3 }));
      assert.equal(failureOf(host.feed(other)), StreamFailureReason.Busy);
      const failed = { kind: HostEventKind.EngineStreamFailed, attemptId: 'a1' } as const;
      host.feed({ ...failed, mayHaveRun: true });
      assert.equal(starts(check(host, true)), 1);
    });

    // Story: a sidecar restarts while its engine works on; a suspect is sent to it and crashes the
    // engine with streams that nobody counted. Cause: the new sidecar knew only its own attempts.
    it('wait for streams that a former incarnation left in the engine', () => {
      const host = bench();
      const inherit = (count: number): readonly HostEffect[] =>
        host.feed({
          kind: HostEventKind.EngineInherited,
          inherited: { count, mayBeLone: false },
        });
      inherit(1);
      assert.equal(starts(host.feed(dispatchOf(lone))), 0);
      assert.equal(starts(check(host, true)), 0);
      inherit(0);
      assert.equal(starts(check(host, true)), 1);
    });

    // Story: two suspects want the lone run of their service; each, asked after before it arrives,
    // is forbidden for the other's sake, and none ever runs. Cause: no grace for what is under way.
    it('that do not come within the grace give way, and then never run', () => {
      const host = bench();
      const message = { attemptId: 'lone', sidecarIncarnation: 's1' };
      const { loneRunGraceMs } = DEFAULT_HOST_OPTIONS;
      const probe = (nowMs: number): LoneProbe =>
        probeLoneRun(host.state, message, host.context(nowMs));
      assert.equal(probe(0), LoneProbe.Running);
      assert.equal(probe(loneRunGraceMs), LoneProbe.Over);
      assert.equal(starts(host.feed(dispatchOf(lone), loneRunGraceMs + 1)), 0);
    });

    it('are told apart: running, crashed, and gone with a former incarnation', () => {
      const host = bench();
      const message = { attemptId: 'lone', sidecarIncarnation: 's1' };
      host.feed(dispatchOf(lone));
      check(host, true);
      assert.equal(probeLoneRun(host.state, message, host.context()), LoneProbe.Running);
      host.feed({ kind: HostEventKind.EngineCrashed });
      assert.equal(probeLoneRun(host.state, message, host.context()), LoneProbe.Crashed);
      const former = { ...message, sidecarIncarnation: 's0' };
      assert.equal(probeLoneRun(host.state, former, host.context()), LoneProbe.Gone);
    });
  });

  describe('a crash of the engine', () => {
    it('makes each running content a suspect, at the holders and for the ledger', () => {
      const host = bench();
      host.feed(dispatchOf(attempt));
      const effects = host.feed({ kind: HostEventKind.EngineCrashed });
      assert.equal(failureOf(effects), StreamFailureReason.EngineCrashed);
      const kinds = effects.map((effect) => effect.kind);
      assert.equal(kinds.filter((kind) => kind === HostEffectKind.CallHolder).length, 2);
      assert.ok(kinds.includes(HostEffectKind.ReportCrash));
      const again = dispatchOf(makeAttempt('a2', { sequence: 2 }));
      assert.equal(failureOf(host.feed(again)), StreamFailureReason.Suspected);
    });

    // Story: a sidecar is paused while its engine crashes and restarts. It wakes, starts a request,
    // then hears of the crash and takes that request for crashed; a suspect is started beside it.
    // Cause: the news of the crash were older than the start.
    it('that is heard of late leaves nothing running unseen', () => {
      const host = bench();
      host.feed(dispatchOf(attempt));
      const effects = host.feed({ kind: HostEventKind.EngineCrashed });
      assert.ok(effects.some((effect) => effect.kind === HostEffectKind.CancelEngine));
      const lone = makeAttempt('lone', { alone: true, sequence: 2 });
      assert.equal(starts(host.feed(dispatchOf(lone))), 0);
    });
  });
});
