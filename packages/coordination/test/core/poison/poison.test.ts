/**
 * Tests the handling of suspected contents: one lone run per service, conviction by content, and
 * announcements that work without the key-value service.
 */
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import type { StoredValue } from '../../../src/core/claims/key-value.js';
import {
  PoisonEffectKind,
  PoisonEventKind,
  PoisonWorkKind,
} from '../../../src/core/poison/poison-client-types.js';
import type { PoisonEffect, PoisonEvent } from '../../../src/core/poison/poison-client-types.js';
import { createPoisonClient, handlePoisonEvent } from '../../../src/core/poison/poison-client.js';
import { isConvicted, ledgerKeyOf, loneRunKeyOf } from '../../../src/core/poison/ledger.js';
import {
  clearSuspicion,
  createSuspicionTable,
  recordCrashes,
  mergeLedger,
  suspicionOf,
} from '../../../src/core/poison/suspicions.js';
import { LoneRunOutcome, Suspicion } from '../../../src/core/records/request-types.js';
import { LoneRunStatus } from '../../../src/core/records/messages.js';
import { DEFAULT_POISON_OPTIONS } from '../../../src/core/records/options.js';

/** Feeds events to a poison client and keeps the effects of the last one. */
class ClientHarness {
  readonly state = createPoisonClient();
  effects: readonly PoisonEffect[] = [];

  feed(event: PoisonEvent, nowMs = 0): this {
    const options = { ...DEFAULT_POISON_OPTIONS, maxOperations: 2 };
    this.effects = handlePoisonEvent(this.state, event, { nowMs, random: () => 0, options });
    return this;
  }

  askLoneRun(id = 'ask'): this {
    return this.feed({
      kind: PoisonEventKind.Requested,
      id,
      work: {
        kind: PoisonWorkKind.RequestLoneRun,
        service: 'service',
        bodyHash: 'body',
        attemptId: 'mine',
        place: { sidecar: 'sidecar-1', target: 'target-1' },
        sidecarIncarnation: 's1',
      },
    });
  }

  read(ledger: object | null, lone: object | null): this {
    return this.feed({
      kind: PoisonEventKind.Read,
      id: 'ask',
      ledger: stored(ledgerKeyOf('service', 'body'), ledger),
      lone: stored(loneRunKeyOf('service'), lone),
    });
  }

  effect<Kind extends PoisonEffectKind>(
    kind: Kind,
  ): Extract<PoisonEffect, { kind: Kind }> | undefined {
    return this.effects.find(
      (effect): effect is Extract<PoisonEffect, { kind: Kind }> => effect.kind === kind,
    );
  }
}

function stored(key: string, value: object | null): StoredValue | null {
  return value === null ? null : { key, value: JSON.stringify(value), modRevision: 3 };
}

const OTHER_LONE_RUN = {
  bodyHash: 'other',
  attemptId: 'theirs',
  place: { sidecar: 'sidecar-2', target: 'target-2' },
  sidecarIncarnation: 's2',
};

describe('lone runs', () => {
  it('are stored before they begin, on condition that the ledger is unchanged', () => {
    const harness = new ClientHarness().askLoneRun().read({ crashedAttemptIds: ['x'] }, null);
    const transact = harness.effect(PoisonEffectKind.Transact);
    assert.deepEqual(
      transact?.compares.map(({ modRevision }) => modRevision),
      [0, 3],
    );
    const outcome = { succeeded: true, current: [] };
    harness.feed({ kind: PoisonEventKind.Transacted, id: 'ask', outcome });
    const reply = harness.effect(PoisonEffectKind.LoneRunReplied);
    assert.equal(reply?.outcome, LoneRunOutcome.Granted);
  });

  it('wait for the stored lone run, and begin once it is over', () => {
    const harness = new ClientHarness().askLoneRun().read(null, OTHER_LONE_RUN);
    assert.equal(harness.effect(PoisonEffectKind.Probe)?.loneRun.attemptId, 'theirs');
    harness.feed({ kind: PoisonEventKind.Probed, id: 'ask', probe: LoneRunStatus.Over });
    assert.notEqual(harness.effect(PoisonEffectKind.Transact), undefined);
  });

  // A lone run crashes its target, the crash report is slow, and the caller retries the request. If
  // the slot is freed before the crash is in the ledger, the content crashes a third target.
  it('free their slot only together with writing their crash', () => {
    const harness = new ClientHarness().askLoneRun().read(null, OTHER_LONE_RUN);
    harness.feed({ kind: PoisonEventKind.Probed, id: 'ask', probe: LoneRunStatus.Crashed });
    assert.equal(harness.effect(PoisonEffectKind.LoneRunReplied)?.outcome, LoneRunOutcome.Later);
    const read = harness.effect(PoisonEffectKind.Read);
    harness.feed({
      kind: PoisonEventKind.Read,
      id: read?.id ?? '',
      ledger: null,
      lone: stored(loneRunKeyOf('service'), OTHER_LONE_RUN),
    });
    const written = harness.effect(PoisonEffectKind.Transact)?.writes.map(({ key }) => key);
    assert.deepEqual(written, [loneRunKeyOf('service'), ledgerKeyOf('service', 'other')]);
  });

  it('are refused to a convicted content, and delayed while too many operations are pending', () => {
    const harness = new ClientHarness().askLoneRun().read({ crashedAttemptIds: ['x', 'y'] }, null);
    const reply = harness.effect(PoisonEffectKind.LoneRunReplied);
    assert.equal(reply?.outcome, LoneRunOutcome.Convicted);
    harness.askLoneRun('one').askLoneRun('two').askLoneRun('three');
    const refused = harness.effect(PoisonEffectKind.LoneRunReplied);
    assert.equal(refused?.outcome, LoneRunOutcome.Later);
  });

  it('lost with their sidecar weigh less than observed crashes', () => {
    const isConvictedBy = (crashes: number, losses: number): boolean =>
      isConvicted({
        crashedAttemptIds: Array.from({ length: crashes }, String),
        lostAttemptIds: Array.from({ length: losses }, String),
      });
    assert.deepEqual(
      [isConvictedBy(1, 1), isConvictedBy(2, 0), isConvictedBy(1, 2)],
      [false, true, true],
    );
  });
});

describe('suspicions', () => {
  // During an outage of the key-value service a crash can't be written to the ledger. Without
  // announcements, the content crashes one target after another under new idempotency keys.
  it('are announced immediately and with each retry of the report', () => {
    const harness = new ClientHarness().feed({
      kind: PoisonEventKind.Requested,
      id: 'crash',
      work: {
        kind: PoisonWorkKind.ReportCrash,
        service: 'service',
        bodyHash: 'body',
        attemptId: 'a',
      },
    });
    assert.deepEqual(harness.effect(PoisonEffectKind.Announce)?.crashedAttemptIds, ['a']);
    harness.feed({ kind: PoisonEventKind.CallFailed, id: 'crash' });
    harness.feed({ kind: PoisonEventKind.Tick }, DEFAULT_POISON_OPTIONS.retryMs);
    assert.notEqual(harness.effect(PoisonEffectKind.Announce), undefined);
  });

  // The sidecar that saw a crash may die in an outage before its report is written. If it were the
  // only reporter, the crash would be lost with the next restart, so every process that received
  // the announcement must find that it is missing.
  it('that are missing from the ledger are found by every process that knows of them', () => {
    const table = createSuspicionTable(10);
    recordCrashes(table, 'body', ['a'], false);
    const { cleared, unwritten } = mergeLedger(table, new Map());
    assert.deepEqual([cleared, [...unwritten]], [[], [['body', ['a']]]]);
  });

  it('are cleared when they are removed from the ledger', () => {
    const table = createSuspicionTable(10);
    mergeLedger(table, new Map([['body', ['a']]]));
    assert.equal(suspicionOf(table, 'body', isConvicted), Suspicion.Suspect);
    assert.deepEqual(mergeLedger(table, new Map()).cleared, ['body']);
    assert.equal(suspicionOf(table, 'body', isConvicted), Suspicion.None);
  });

  it('are unread until the ledger is read, counted by attempt, and bounded', () => {
    const table = createSuspicionTable(2);
    assert.equal(suspicionOf(table, 'body', isConvicted), Suspicion.Unread);
    mergeLedger(table, new Map());
    recordCrashes(table, 'body', ['a'], false);
    recordCrashes(table, 'body', ['a'], false);
    assert.equal(suspicionOf(table, 'body', isConvicted), Suspicion.Suspect);
    recordCrashes(table, 'body', ['b'], false);
    assert.equal(suspicionOf(table, 'body', isConvicted), Suspicion.Convicted);
    for (const bodyHash of ['one', 'two']) recordCrashes(table, bodyHash, ['a'], false);
    assert.equal(table.byHash.size, 2);
    clearSuspicion(table, 'two');
    assert.equal(table.byHash.size, 1);
  });
});
