/** Suspects: one lone run a service, conviction by content, news without the key-value service. */
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import type { StoredValue } from '../../../src/core/claims/key-value.js';
import {
  PoisonEffectKind,
  PoisonEventKind,
  PoisonWorkKind,
} from '../../../src/core/poison/client-types.js';
import type { PoisonEffect, PoisonEvent } from '../../../src/core/poison/client-types.js';
import { createPoisonClient, handlePoisonEvent } from '../../../src/core/poison/client.js';
import { isConvicted, ledgerKeyOf, loneRunKeyOf } from '../../../src/core/poison/ledger.js';
import {
  clearSuspicion,
  createSuspicionTable,
  noteCrashes,
  readLedger,
  suspicionOf,
} from '../../../src/core/poison/suspicions.js';
import { LoneRunOutcome, Suspicion } from '../../../src/core/records/drive-types.js';
import { LoneProbe } from '../../../src/core/records/messages.js';
import { DEFAULT_POISON_OPTIONS } from '../../../src/core/records/options.js';

class Script {
  readonly state = createPoisonClient();
  effects: readonly PoisonEffect[] = [];

  feed(event: PoisonEvent, nowMs = 0): this {
    const options = { ...DEFAULT_POISON_OPTIONS, maxOperations: 2 };
    this.effects = handlePoisonEvent(this.state, event, { nowMs, random: () => 0, options });
    return this;
  }

  askLoneRun(id = 'ask'): this {
    return this.feed({
      kind: PoisonEventKind.Asked,
      id,
      work: {
        kind: PoisonWorkKind.AskLoneRun,
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

const OTHER = {
  bodyHash: 'other',
  attemptId: 'theirs',
  place: { sidecar: 'sidecar-2', target: 'target-2' },
  sidecarIncarnation: 's2',
};

describe('lone runs', () => {
  it('are written before they begin, over the ledger as it was read', () => {
    const script = new Script().askLoneRun().read({ crashedAttemptIds: ['x'] }, null);
    const transact = script.effect(PoisonEffectKind.Transact);
    assert.deepEqual(
      transact?.compares.map(({ modRevision }) => modRevision),
      [0, 3],
    );
    const outcome = { succeeded: true, current: [] };
    script.feed({ kind: PoisonEventKind.Transacted, id: 'ask', outcome });
    const reply = script.effect(PoisonEffectKind.LoneRunReplied);
    assert.equal(reply?.outcome, LoneRunOutcome.Granted);
  });

  it('wait for the one that stands, and begin once it is over', () => {
    const script = new Script().askLoneRun().read(null, OTHER);
    assert.equal(script.effect(PoisonEffectKind.Probe)?.loneRun.attemptId, 'theirs');
    script.feed({ kind: PoisonEventKind.Probed, id: 'ask', probe: LoneProbe.Over });
    assert.notEqual(script.effect(PoisonEffectKind.Transact), undefined);
  });

  // Story: a lone run crashes its target, the report is slow, and the culprit's caller has sent it
  // again: a third target goes. Cause: the place was given away before the crash was in the ledger.
  it('give their place away only with their crash written', () => {
    const script = new Script().askLoneRun().read(null, OTHER);
    script.feed({ kind: PoisonEventKind.Probed, id: 'ask', probe: LoneProbe.Crashed });
    assert.equal(script.effect(PoisonEffectKind.LoneRunReplied)?.outcome, LoneRunOutcome.Later);
    const read = script.effect(PoisonEffectKind.Read);
    script.feed({
      kind: PoisonEventKind.Read,
      id: read?.id ?? '',
      ledger: null,
      lone: stored(loneRunKeyOf('service'), OTHER),
    });
    const written = script.effect(PoisonEffectKind.Transact)?.writes.map(({ key }) => key);
    assert.deepEqual(written, [loneRunKeyOf('service'), ledgerKeyOf('service', 'other')]);
  });

  it('are refused to a convicted content, and later when the work table is full', () => {
    const script = new Script().askLoneRun().read({ crashedAttemptIds: ['x', 'y'] }, null);
    const reply = script.effect(PoisonEffectKind.LoneRunReplied);
    assert.equal(reply?.outcome, LoneRunOutcome.Convicted);
    script.askLoneRun('one').askLoneRun('two').askLoneRun('three');
    const refused = script.effect(PoisonEffectKind.LoneRunReplied);
    assert.equal(refused?.outcome, LoneRunOutcome.Later);
  });

  it('lost with their sidecar weigh less than crashes that were seen', () => {
    const judge = (crashes: number, losses: number): boolean =>
      isConvicted({
        crashedAttemptIds: Array.from({ length: crashes }, String),
        lostAttemptIds: Array.from({ length: losses }, String),
      });
    assert.deepEqual([judge(1, 1), judge(2, 0), judge(1, 2)], [false, true, true]);
  });
});

describe('suspicions', () => {
  // Story: the key-value service is out; a content crashes one target, and again with another key,
  // and again. Cause: the crash could not be written, and nobody was told.
  it('are announced at once and with each retry of the report', () => {
    const script = new Script().feed({
      kind: PoisonEventKind.Asked,
      id: 'crash',
      work: {
        kind: PoisonWorkKind.ReportCrash,
        service: 'service',
        bodyHash: 'body',
        attemptId: 'a',
      },
    });
    assert.deepEqual(script.effect(PoisonEffectKind.Announce)?.crashedAttemptIds, ['a']);
    script.feed({ kind: PoisonEventKind.CallFailed, id: 'crash' });
    script.feed({ kind: PoisonEventKind.Tick }, DEFAULT_POISON_OPTIONS.retryMs);
    assert.notEqual(script.effect(PoisonEffectKind.Announce), undefined);
  });

  // Story: the sidecar that saw a crash dies in the outage with its report unwritten. Whoever heard
  // of it must write it, or the next restart forgets it. Cause: one process was to report.
  it('that the ledger lacks are found by whoever heard of them', () => {
    const table = createSuspicionTable(10);
    noteCrashes(table, 'body', ['a'], false);
    const { cleared, unwritten } = readLedger(table, new Map());
    assert.deepEqual([cleared, [...unwritten]], [[], [['body', ['a']]]]);
  });

  it('are cleared when the ledger had them and has them no more', () => {
    const table = createSuspicionTable(10);
    readLedger(table, new Map([['body', ['a']]]));
    assert.equal(suspicionOf(table, 'body', isConvicted), Suspicion.Suspect);
    assert.deepEqual(readLedger(table, new Map()).cleared, ['body']);
    assert.equal(suspicionOf(table, 'body', isConvicted), Suspicion.None);
  });

  it('are unread before the first reading, counted by attempt, and bounded', () => {
    const table = createSuspicionTable(2);
    assert.equal(suspicionOf(table, 'body', isConvicted), Suspicion.Unread);
    readLedger(table, new Map());
    noteCrashes(table, 'body', ['a'], false);
    noteCrashes(table, 'body', ['a'], false);
    assert.equal(suspicionOf(table, 'body', isConvicted), Suspicion.Suspect);
    noteCrashes(table, 'body', ['b'], false);
    assert.equal(suspicionOf(table, 'body', isConvicted), Suspicion.Convicted);
    for (const bodyHash of ['one', 'two']) noteCrashes(table, bodyHash, ['a'], false);
    assert.equal(table.byHash.size, 2);
    clearSuspicion(table, 'two');
    assert.equal(table.byHash.size, 1);
  });
});
