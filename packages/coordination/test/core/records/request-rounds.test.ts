/**
 * Guards against refusals because of holders that are alive, but slow from repeated calls of entries
 * and of machines whose callers have left.
 */
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { createRetryBudget } from '../../../src/core/retries/retries.js';
import {
  createRequestMachine,
  handleRequestEvent,
} from '../../../src/core/records/request-machine.js';
import { RequestEffectKind, RequestEventKind } from '../../../src/core/records/request-events.js';
import type { RequestEffect, RequestEvent } from '../../../src/core/records/request-events.js';
import { RequestPhase, RequestTimer, Suspicion } from '../../../src/core/records/request-types.js';
import type { RequestMachine } from '../../../src/core/records/request-types.js';
import { DEFAULT_REQUEST_MACHINE_OPTIONS } from '../../../src/core/records/options.js';
import { hash32, makeRecord } from '../../fixtures/requests.js';

/** Runs a request whose holders do not reply, in simulated time. */
class UnansweredRequest {
  nowMs = 0;
  holders = ['a', 'b'];
  readonly calledHolders: string[] = [];
  refused = false;
  readonly machine: RequestMachine;
  private readonly timers: { readonly atMs: number; readonly event: RequestEvent }[] = [];

  constructor() {
    const { keyText, service, bodyHash } = makeRecord();
    const request = {
      keyText,
      workspace: 'workspace',
      service,
      bodyHash,
      repeatable: true,
      payload: null,
      deadlineMs: 60_000,
      resume: null,
    };
    this.machine = createRequestMachine('entry-1#1~1', request, 0);
    this.feed({ kind: RequestEventKind.CallerArrived });
  }

  feed(event: RequestEvent): void {
    const effects = handleRequestEvent(this.machine, event, {
      nowMs: this.nowMs,
      random: () => 0,
      hash32,
      entryId: 'entry-1',
      options: DEFAULT_REQUEST_MACHINE_OPTIONS,
      budget: createRetryBudget(DEFAULT_REQUEST_MACHINE_OPTIONS.retry),
      holders: () => this.holders,
      isLive: () => true,
      suspicion: () => Suspicion.None,
      provesAbsence: () => false,
    });
    for (const effect of effects) this.apply(effect);
  }

  run(forMs: number): void {
    const endMs = this.nowMs + forMs;
    for (;;) {
      this.timers.sort((left, right) => left.atMs - right.atMs);
      const next = this.timers[0];
      if (next === undefined || next.atMs > endMs) break;
      this.timers.shift();
      this.nowMs = next.atMs;
      this.feed(next.event);
    }
    this.nowMs = endMs;
  }

  private apply(effect: RequestEffect): void {
    if (effect.kind === RequestEffectKind.CallHolder) this.calledHolders.push(effect.to);
    if (effect.kind === RequestEffectKind.TellRefusal) this.refused = true;
    if (effect.kind !== RequestEffectKind.SetTimer || effect.timer !== RequestTimer.Holders) return;
    const { timer, timerId, afterMs } = effect;
    const event: RequestEvent = { kind: RequestEventKind.TimerFired, timer, timerId };
    this.timers.push({ atMs: this.nowMs + afterMs, event });
  }
}

describe('a round whose holders do not reply', () => {
  it('calls each holder at most three times before it gives up', () => {
    const request = new UnansweredRequest();
    request.run(10_000);
    assert.equal(request.refused, true);
    assert.ok(
      request.calledHolders.length <= 6,
      `called ${String(request.calledHolders.length)} times`,
    );
  });

  describe('membership changes during the round', () => {
    it('do not repeat pending calls', () => {
      const request = new UnansweredRequest();
      for (let change = 0; change < 20; change += 1) {
        request.feed({ kind: RequestEventKind.MembersChanged });
      }
      assert.deepEqual(request.calledHolders, ['a', 'b']);
    });

    it('do not make it give up earlier', () => {
      const request = new UnansweredRequest();
      for (let change = 0; change < 20; change += 1) {
        request.feed({ kind: RequestEventKind.MembersChanged });
        request.run(100);
      }
      assert.equal(request.refused, false);
    });

    it('make it call a new holder immediately', () => {
      const request = new UnansweredRequest();
      request.holders = ['a', 'c'];
      request.feed({ kind: RequestEventKind.MembersChanged });
      assert.deepEqual(request.calledHolders, ['a', 'b', 'c']);
    });
  });

  describe('a caller that disconnects before the request is accepted', () => {
    it('ends the round, because nothing was promised and the caller can retry with its key', () => {
      const request = new UnansweredRequest();
      request.feed({ kind: RequestEventKind.CallerGone });
      request.run(10_000);
      assert.equal(request.machine.phase, RequestPhase.Done);
      assert.deepEqual(request.calledHolders, ['a', 'b']);
    });
  });
});
