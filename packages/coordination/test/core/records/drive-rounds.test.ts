/**
 * Story: holders are slow, not gone. An entry that puts its question again and again makes them
 * slower, and callers who left long ago make it ask still; it shows as calls to holders that outnumber
 * the requests by hundreds to one, and as refusals that name holders which live.
 */
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { createRetryBudget } from '../../../src/core/retries/retries.js';
import { createDrive, handleDriveEvent } from '../../../src/core/records/drive.js';
import { DriveEffectKind, DriveEventKind } from '../../../src/core/records/drive-messages.js';
import type { DriveEffect, DriveEvent } from '../../../src/core/records/drive-messages.js';
import { DrivePhase, DriveTimer, Suspicion } from '../../../src/core/records/drive-types.js';
import type { RequestDrive } from '../../../src/core/records/drive-types.js';
import { DEFAULT_DRIVE_OPTIONS } from '../../../src/core/records/options.js';
import { hash32, makeRecord } from '../../fixtures/requests.js';

/** A request whose holders do not answer, in virtual time. */
class Waiting {
  nowMs = 0;
  holders = ['a', 'b'];
  readonly asked: string[] = [];
  refused = false;
  readonly drive: RequestDrive;
  private readonly timers: { readonly atMs: number; readonly event: DriveEvent }[] = [];

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
    this.drive = createDrive('entry-1#1~1', request, 0);
    this.feed({ kind: DriveEventKind.CallerArrived });
  }

  feed(event: DriveEvent): void {
    const effects = handleDriveEvent(this.drive, event, {
      nowMs: this.nowMs,
      random: () => 0,
      hash32,
      entryId: 'entry-1',
      options: DEFAULT_DRIVE_OPTIONS,
      budget: createRetryBudget(DEFAULT_DRIVE_OPTIONS.retry),
      holders: () => this.holders,
      isLive: () => true,
      suspicion: () => Suspicion.None,
      provesAbsence: () => false,
    });
    for (const effect of effects) this.take(effect);
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

  private take(effect: DriveEffect): void {
    if (effect.kind === DriveEffectKind.CallHolder) this.asked.push(effect.to);
    if (effect.kind === DriveEffectKind.TellRefusal) this.refused = true;
    if (effect.kind !== DriveEffectKind.SetTimer || effect.timer !== DriveTimer.Holders) return;
    const { timer, timerId, afterMs } = effect;
    const event: DriveEvent = { kind: DriveEventKind.TimerFired, timer, timerId };
    this.timers.push({ atMs: this.nowMs + afterMs, event });
  }
}

describe('a round of holders that do not answer', () => {
  it('puts its question at most three times to each within its patience', () => {
    const waiting = new Waiting();
    waiting.run(10_000);
    assert.equal(waiting.refused, true);
    assert.ok(waiting.asked.length <= 6, `asked ${String(waiting.asked.length)} times`);
  });

  describe('members that change while it waits', () => {
    it('do not make it ask again who was asked', () => {
      const waiting = new Waiting();
      for (let change = 0; change < 20; change += 1) {
        waiting.feed({ kind: DriveEventKind.MembersChanged });
      }
      assert.deepEqual(waiting.asked, ['a', 'b']);
    });

    it('do not use its patience up', () => {
      const waiting = new Waiting();
      for (let change = 0; change < 20; change += 1) {
        waiting.feed({ kind: DriveEventKind.MembersChanged });
        waiting.run(100);
      }
      assert.equal(waiting.refused, false);
    });

    it('make it ask a holder that is new at once', () => {
      const waiting = new Waiting();
      waiting.holders = ['a', 'c'];
      waiting.feed({ kind: DriveEventKind.MembersChanged });
      assert.deepEqual(waiting.asked, ['a', 'b', 'c']);
    });
  });

  describe('a caller who leaves before the request is accepted', () => {
    it('ends it: nothing was promised, and the caller comes back with its key', () => {
      const waiting = new Waiting();
      waiting.feed({ kind: DriveEventKind.CallerGone });
      waiting.run(10_000);
      assert.equal(waiting.drive.phase, DrivePhase.Done);
      assert.deepEqual(waiting.asked, ['a', 'b']);
    });
  });
});
