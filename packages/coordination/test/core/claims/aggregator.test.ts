/** Tests claims: batches, conflicts, lost answers, outages and limits. */
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import {
  AggregatorEffectKind,
  AggregatorEventKind,
  DEFAULT_AGGREGATOR_OPTIONS,
  createAggregator,
  handleAggregatorEvent,
} from '../../../src/core/claims/aggregator.js';
import type {
  AggregatorEffect,
  AggregatorEvent,
  AggregatorOptions,
} from '../../../src/core/claims/aggregator.js';
import { ClaimReplyKind, claimKeyOf } from '../../../src/core/claims/claim.js';
import {
  ClaimClientEffectKind,
  requestClaim,
  createClaimClient,
  onClaimReply,
  tickClaimClient,
} from '../../../src/core/claims/claim-client.js';
import { DEFAULT_CLAIM_CLIENT_OPTIONS } from '../../../src/core/records/options.js';
import { makeAttempt } from '../../fixtures/requests.js';

function requestOf(keyText: string, attemptId: string, replacesId: string | null = null) {
  return { keyText, bodyHash: 'body', attempt: makeAttempt(attemptId), replacesId };
}

function storedOf(keyText: string, attemptId: string, modRevision = 7) {
  const value = JSON.stringify({ attempt: makeAttempt(attemptId), bodyHash: 'body' });
  return { key: claimKeyOf(keyText), value, modRevision };
}

/** Feeds events to an aggregator and keeps the effects of the last one and all replies. */
class AggregatorHarness {
  readonly state = createAggregator();
  effects: readonly AggregatorEffect[] = [];
  readonly answers = new Map<string, ClaimReplyKind>();

  constructor(private readonly options: Partial<AggregatorOptions> = {}) {}

  feed(event: AggregatorEvent, nowMs = 0): this {
    const options = { ...DEFAULT_AGGREGATOR_OPTIONS, ...this.options };
    this.effects = handleAggregatorEvent(this.state, event, { nowMs, random: () => 0.5, options });
    for (const effect of this.effects) {
      if (effect.kind === AggregatorEffectKind.Reply) {
        this.answers.set(effect.callId, effect.reply.kind);
      }
    }
    return this;
  }

  ask(callId: string, request: ReturnType<typeof requestOf>): this {
    return this.feed({ kind: AggregatorEventKind.Requested, callId, request });
  }

  /** Fires the batch timer, and grants a lease if the aggregator requests one. */
  flush(nowMs = 0): this {
    const { timerId } = this.state;
    this.feed({ kind: AggregatorEventKind.TimerFired, timerId }, nowMs);
    if (this.state.isLeaseRequested) {
      this.feed({ kind: AggregatorEventKind.LeaseGranted, leaseId: 'lease' }, nowMs);
    }
    return this;
  }

  writes(): number {
    const transact = this.effects.find((effect) => effect.kind === AggregatorEffectKind.Transact);
    return transact?.writes.length ?? 0;
  }
}

describe('claim aggregator', () => {
  it('writes the claims of a few milliseconds in one transaction', () => {
    const harness = new AggregatorHarness();
    for (const key of ['a', 'b', 'c']) harness.ask(key, requestOf(key, `${key}/1`));
    assert.equal(harness.flush().writes(), 3);
    harness.feed({
      kind: AggregatorEventKind.Transacted,
      outcome: { succeeded: true, current: [] },
    });
    assert.deepEqual([...harness.answers.values()], Array(3).fill(ClaimReplyKind.Granted));
  });

  it('answers claims that are held and retries the others', () => {
    const harness = new AggregatorHarness();
    harness.ask('a', requestOf('a', 'a/1')).ask('b', requestOf('b', 'b/1')).flush();
    const outcome = { succeeded: false, current: [storedOf('a', 'other/1')] };
    harness.feed({ kind: AggregatorEventKind.Transacted, outcome });
    assert.equal(harness.answers.get('a'), ClaimReplyKind.Held);
    assert.equal(harness.writes(), 1);
  });

  it('replaces only an attempt that is known never to run, at its revision', () => {
    const harness = new AggregatorHarness();
    harness.ask('a', requestOf('a', 'a/2', 'a/1')).flush();
    const outcome = { succeeded: false, current: [storedOf('a', 'a/1', 9)] };
    harness.feed({ kind: AggregatorEventKind.Transacted, outcome });
    const transact = harness.effects.find((e) => e.kind === AggregatorEffectKind.Transact);
    assert.deepEqual(transact?.compares, [{ key: claimKeyOf('a'), modRevision: 9 }]);
  });

  // A transaction may take effect although its answer is lost. The retry then finds the claim stored
  // by the same attempt, and must not reject the call because of its own claim, or claim it again.
  it('grants a claim that the same attempt had stored before its answer was lost', () => {
    const harness = new AggregatorHarness().ask('a', requestOf('a', 'a/1')).flush();
    harness.feed({ kind: AggregatorEventKind.TransactionFailed }).flush();
    assert.equal(harness.writes(), 1);
    const outcome = { succeeded: false, current: [storedOf('a', 'a/1')] };
    harness.feed({ kind: AggregatorEventKind.Transacted, outcome });
    assert.equal(harness.answers.get('a'), ClaimReplyKind.Granted);
  });

  it('rejects after a timeout in an outage, and immediately when the queue is full', () => {
    const harness = new AggregatorHarness({ maxQueue: 1 });
    harness.ask('a', requestOf('a', 'a/1')).ask('b', requestOf('b', 'b/1'));
    assert.equal(harness.answers.get('b'), ClaimReplyKind.Unavailable);
    harness.flush();
    const { giveUpAfterMs } = DEFAULT_AGGREGATOR_OPTIONS;
    harness.feed({ kind: AggregatorEventKind.TransactionFailed }, giveUpAfterMs);
    assert.equal(harness.answers.get('a'), ClaimReplyKind.Unavailable);
  });
});

describe('claim client', () => {
  const context = (nowMs: number) => ({
    nowMs,
    options: { ...DEFAULT_CLAIM_CLIENT_OPTIONS, maxPending: 1 },
    aggregatorOf: () => 'aggregator',
  });

  it('resends, gives up after a timeout, and accepts only the first answer', () => {
    const { resendAfterMs, giveUpAfterMs } = DEFAULT_CLAIM_CLIENT_OPTIONS;
    const state = createClaimClient();
    requestClaim(state, 'one', requestOf('a', 'a/1'), context(0));
    const rejected = requestClaim(state, 'two', requestOf('b', 'b/1'), context(0));
    assert.equal(rejected[0]?.kind, ClaimClientEffectKind.Decided);
    const [resent] = tickClaimClient(state, context(resendAfterMs));
    assert.equal(resent?.kind, ClaimClientEffectKind.Send);
    const [timedOut] = tickClaimClient(state, context(giveUpAfterMs));
    assert.equal(timedOut?.kind, ClaimClientEffectKind.Decided);
    const lateReply = { kind: ClaimReplyKind.Granted, holder: null, retryAfterMs: 0 };
    assert.deepEqual(onClaimReply(state, 'one', lateReply), []);
  });
});
