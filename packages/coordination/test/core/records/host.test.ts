/** Tests for the state machine that hosts attempts in a sidecar, and for its dispatch sessions. */
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
  LoneRunStatus,
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

interface Harness {
  readonly state: HostState;
  readonly feed: (event: HostEvent, nowMs?: number) => readonly HostEffect[];
  readonly context: (nowMs?: number) => HostContext;
}

function createHarness(options: Partial<HostOptions> = {}): Harness {
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

function makeDispatch(attempt: Attempt, overrides: Partial<DispatchMessage> = {}): HostEvent {
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

function countStarts(effects: readonly HostEffect[]): number {
  return effects.filter((effect) => effect.kind === HostEffectKind.StartEngine).length;
}

function failureOf(effects: readonly HostEffect[]): StreamFailureReason | null {
  const failed = effects.find((effect) => effect.kind === HostEffectKind.FailStream);
  return failed?.failure.reason ?? null;
}

const attempt = makeAttempt('a1');

function finishAttemptAt(host: Harness, nowMs: number): readonly HostEffect[] {
  host.feed(makeDispatch(attempt));
  const tokens = ['x', 'y'];
  host.feed({ kind: HostEventKind.EngineTokens, attemptId: 'a1', index: 0, tokens });
  const { ending } = makeAnswer(attempt);
  return host.feed({ kind: HostEventKind.EngineEnded, attemptId: 'a1', ending }, nowMs);
}

function makeReply(record: RequestRecord | null, kind = HolderReplyKind.Done) {
  return { kind, record, retryAfterMs: 0, upForMs: 0 };
}

describe('dispatch sessions', () => {
  it('accept each sequence number once, and none below the window', () => {
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

  it('are limited in number, and a dispatch of a dropped session is refused', () => {
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
    it('runs once when it is delivered repeatedly', () => {
      const host = createHarness();
      assert.equal(countStarts(host.feed(makeDispatch(attempt))), 1);
      assert.equal(countStarts(host.feed(makeDispatch(attempt))), 0);
    });

    // The deadline of a caller passes while its dispatch is in flight; the entry cancels the
    // attempt and reports "not-run". The network can deliver the dispatch two minutes later, and it
    // must not run.
    it('that was cancelled before it arrived never runs', () => {
      const host = createHarness();
      const { outcome } = cancelHosted(host.state, { attempt }, host.context());
      assert.equal(outcome, CancelOutcome.NeverRuns);
      const effects = host.feed(makeDispatch(attempt), 120_000);
      assert.equal(countStarts(effects), 0);
      assert.equal(failureOf(effects), StreamFailureReason.Cancelled);
    });

    it('cannot be cancelled after it started, and one of an earlier incarnation is unknown', () => {
      const host = createHarness();
      host.feed(makeDispatch(attempt));
      const cancel = (other: Attempt): CancelOutcome =>
        cancelHosted(host.state, { attempt: other }, host.context()).outcome;
      assert.equal(cancel(attempt), CancelOutcome.Started);
      assert.equal(cancel(makeAttempt('old', { sessionId: 's0.1' })), CancelOutcome.Unknown);
    });

    it('in a session of an earlier incarnation does not run', () => {
      const effects = createHarness().feed(makeDispatch(makeAttempt('old', { sessionId: 's0.1' })));
      assert.equal(countStarts(effects), 0);
      assert.equal(failureOf(effects), StreamFailureReason.SessionRequired);
    });

    it('beyond a limit is refused as busy, and its repetition as cancelled', () => {
      const host = createHarness({ maxAttempts: 1 });
      host.feed(makeDispatch(attempt));
      const more = makeAttempt('a2', { sequence: 2 });
      assert.equal(failureOf(host.feed(makeDispatch(more))), StreamFailureReason.Busy);
      assert.equal(failureOf(host.feed(makeDispatch(more))), StreamFailureReason.Cancelled);
      const crowded = createHarness({ maxBytes: 100 });
      assert.equal(failureOf(crowded.feed(makeDispatch(attempt))), StreamFailureReason.Busy);
    });

    it('without remaining time is refused as expired', () => {
      const effects = createHarness().feed(makeDispatch(attempt, { remainingMs: 0 }));
      assert.equal(failureOf(effects), StreamFailureReason.Expired);
    });
  });

  describe('an answer', () => {
    // If the end were reported before the holders have the answer, a caller could receive the whole
    // answer, the sidecar and one holder die, and a retry run again and return another text.
    it('ends for its readers only after every holder has committed it', () => {
      const host = createHarness();
      finishAttemptAt(host, 0);
      const ends = (from: string): number => {
        const event = { kind: HostEventKind.HolderReplied, attemptId: 'a1', from } as const;
        const effects = host.feed({ ...event, reply: makeReply(null) });
        return effects.filter((effect) => effect.kind === HostEffectKind.EndStream).length;
      };
      assert.deepEqual(['a', 'b', 'a', 'b'].map(ends), [0, 0, 0, 1]);
    });

    // A slow holder was called twice with the answer, and its second reply arrives after the commit
    // mark was sent. If any reply counted for the current call, the end would be reported while no
    // holder has the mark, and the answer of another run could replace this one.
    it('does not end for late replies to the call before the commit mark', () => {
      const host = createHarness();
      finishAttemptAt(host, 0);
      const unmarked = makeRecord({ answer: makeAnswer(makeAttempt('a1')) });
      const ends = (from: string): number => {
        const event = { kind: HostEventKind.HolderReplied, attemptId: 'a1', from } as const;
        const effects = host.feed({ ...event, reply: makeReply(unmarked) });
        return effects.filter((effect) => effect.kind === HostEffectKind.EndStream).length;
      };
      assert.deepEqual(['a', 'b', 'a', 'b'].map(ends), [0, 0, 0, 0]);
    });

    // A sidecar must not stop between the end of an answer and the report of this end.
    it('is open until the holders have committed it', () => {
      const host = createHarness();
      finishAttemptAt(host, 0);
      const open = ['a', 'b', 'a', 'b'].map((from) => {
        const before = openAttempts(host.state).length;
        const event = { kind: HostEventKind.HolderReplied, attemptId: 'a1', from } as const;
        host.feed({ ...event, reply: makeReply(null) });
        return before;
      });
      assert.deepEqual([...open, openAttempts(host.state).length], [1, 1, 1, 1, 0]);
    });

    // A sidecar must not stop before a slow reader has received the end of its answer.
    it('is open until its readers have received it', () => {
      const host = createHarness();
      const reader = { attachId: 'to-a1' };
      finishAttemptAt(host, 0);
      host.feed({ kind: HostEventKind.ReaderPaused, ...reader });
      for (const from of ['a', 'b', 'a', 'b']) {
        const event = { kind: HostEventKind.HolderReplied, attemptId: 'a1', from } as const;
        host.feed({ ...event, reply: makeReply(null) });
      }
      assert.equal(openAttempts(host.state).length, 1);
      host.feed({ kind: HostEventKind.ReaderResumed, ...reader });
      assert.equal(openAttempts(host.state).length, 0);
    });

    it('that conflicts with a stored answer fails as superseded', () => {
      const host = createHarness();
      finishAttemptAt(host, 0);
      const standing = makeRecord({ answer: makeAnswer(makeAttempt('other')) });
      const reply = makeReply(standing, HolderReplyKind.Standing);
      const event = { kind: HostEventKind.HolderReplied, attemptId: 'a1', from: 'a' } as const;
      assert.equal(failureOf(host.feed({ ...event, reply })), StreamFailureReason.Superseded);
    });

    // The link from the sidecar to one holder is cut in one direction, but the membership protocol
    // still reaches the holder through other members and regards it as alive. The caller would have
    // the whole text and wait for its end without limit.
    it('that the sidecar cannot commit is handed to its readers after a timeout', () => {
      const host = createHarness();
      finishAttemptAt(host, 0);
      const { commitTimeoutMs } = DEFAULT_HOST_OPTIONS;
      assert.equal(failureOf(host.feed({ kind: HostEventKind.Tick }, commitTimeoutMs - 1)), null);
      const effects = host.feed({ kind: HostEventKind.Tick }, commitTimeoutMs);
      assert.equal(failureOf(effects), StreamFailureReason.Superseded);
    });

    it('stays in the shared buffer while a reader is paused', () => {
      const host = createHarness();
      host.feed(makeDispatch(attempt));
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

    it('longer than the limit fails the stream', () => {
      const host = createHarness({ maxAnswerTokens: 1 });
      host.feed(makeDispatch(attempt));
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
    const check = (host: Harness, stands: boolean): readonly HostEffect[] =>
      host.feed({
        kind: HostEventKind.LoneRunChecked,
        attemptId: 'lone',
        isCurrentLoneRun: stands,
      });

    // The dispatch of a lone run waits in a paused sidecar. Meanwhile its slot goes to another run,
    // which crashes, and the content is convicted. Without a check of the ledger, the resumed
    // sidecar would still start the run and lose a third target.
    it('start only while the ledger names them', () => {
      const host = createHarness();
      const effects = host.feed(makeDispatch(lone));
      assert.ok(effects.some((effect) => effect.kind === HostEffectKind.CheckLoneRun));
      assert.equal(failureOf(check(host, false)), StreamFailureReason.Cancelled);
      assert.equal(countStarts(check(host, true)), 0);
    });

    it('wait until nothing else runs, and block other attempts meanwhile', () => {
      const host = createHarness();
      host.feed(makeDispatch(attempt));
      assert.equal(countStarts(host.feed(makeDispatch(lone))), 0);
      const other = makeDispatch(makeAttempt('a3', { sequence: 3 }));
      assert.equal(failureOf(host.feed(other)), StreamFailureReason.Busy);
      const failed = { kind: HostEventKind.EngineStreamFailed, attemptId: 'a1' } as const;
      host.feed({ ...failed, mayHaveRun: true });
      assert.equal(countStarts(check(host, true)), 1);
    });

    // A sidecar restarts while its engine keeps running. If it counted only its own attempts, a
    // suspect could start and crash the engine together with the streams of the earlier
    // incarnation.
    it('wait for streams that an earlier incarnation left in the engine', () => {
      const host = createHarness();
      const inherit = (count: number): readonly HostEffect[] =>
        host.feed({
          kind: HostEventKind.EngineInherited,
          inherited: { count, mayBeLone: false },
        });
      inherit(1);
      assert.equal(countStarts(host.feed(makeDispatch(lone))), 0);
      assert.equal(countStarts(check(host, true)), 0);
      inherit(0);
      assert.equal(countStarts(check(host, true)), 1);
    });

    // Two suspects compete for the lone run of their service. Without a grace period for dispatches
    // in flight, each would be probed before it arrives and forbidden in favor of the other, and
    // neither would ever run.
    it('that do not arrive within the grace period never run', () => {
      const host = createHarness();
      const message = { attemptId: 'lone', sidecarIncarnation: 's1' };
      const { loneRunGraceMs } = DEFAULT_HOST_OPTIONS;
      const probe = (nowMs: number): LoneRunStatus =>
        probeLoneRun(host.state, message, host.context(nowMs));
      assert.equal(probe(0), LoneRunStatus.Running);
      assert.equal(probe(loneRunGraceMs), LoneRunStatus.Over);
      assert.equal(countStarts(host.feed(makeDispatch(lone), loneRunGraceMs + 1)), 0);
    });

    it('are reported as running, crashed, or gone with an earlier incarnation', () => {
      const host = createHarness();
      const message = { attemptId: 'lone', sidecarIncarnation: 's1' };
      host.feed(makeDispatch(lone));
      check(host, true);
      assert.equal(probeLoneRun(host.state, message, host.context()), LoneRunStatus.Running);
      host.feed({ kind: HostEventKind.EngineCrashed });
      assert.equal(probeLoneRun(host.state, message, host.context()), LoneRunStatus.Crashed);
      const former = { ...message, sidecarIncarnation: 's0' };
      assert.equal(probeLoneRun(host.state, former, host.context()), LoneRunStatus.Gone);
    });
  });

  describe('a crash of the engine', () => {
    it('marks each running content as suspect at the holders and in the ledger', () => {
      const host = createHarness();
      host.feed(makeDispatch(attempt));
      const effects = host.feed({ kind: HostEventKind.EngineCrashed });
      assert.equal(failureOf(effects), StreamFailureReason.EngineCrashed);
      const kinds = effects.map((effect) => effect.kind);
      assert.equal(kinds.filter((kind) => kind === HostEffectKind.CallHolder).length, 2);
      assert.ok(kinds.includes(HostEffectKind.ReportCrash));
      const again = makeDispatch(makeAttempt('a2', { sequence: 2 }));
      assert.equal(failureOf(host.feed(again)), StreamFailureReason.Suspected);
    });

    // A sidecar is paused while its engine crashes and restarts. It resumes, starts a request, and
    // only then receives the report of the crash, which is older than the start. It would mark the
    // request as crashed although it runs, and start a suspect beside it.
    it('that is reported late leaves no untracked attempt running', () => {
      const host = createHarness();
      host.feed(makeDispatch(attempt));
      const effects = host.feed({ kind: HostEventKind.EngineCrashed });
      assert.ok(effects.some((effect) => effect.kind === HostEffectKind.CancelEngine));
      const lone = makeAttempt('lone', { alone: true, sequence: 2 });
      assert.equal(countStarts(host.feed(makeDispatch(lone))), 0);
    });
  });
});
