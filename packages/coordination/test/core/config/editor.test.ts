/** Edits by compare-and-swap against a small in-memory service that can lose answers. */
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import type { ConfigurationEdit, EditEffect, EditState, ReadKey } from '../../../src/index.js';
import {
  CONFIGURATION_HEAD_KEY,
  CONFIGURATION_CURRENT_KEY,
  EditEffectKind,
  REMEMBERED_EDITS,
  keysRead,
  keysReadFailed,
  parseDocument,
  parseHead,
  startEdit,
  transactAnswered,
  transactFailed,
} from '../../../src/index.js';
import { configuration } from '../../fixtures/configuration.js';

const random = (): number => 0.5;

function edit(editId: string, baseVersion: number): ConfigurationEdit {
  const compiled = configuration(1);
  return { editId, baseVersion, text: editId, compiled, editedAtMs: 0, editedBy: 'operator' };
}

type Transaction = Extract<EditEffect, { kind: EditEffectKind.Transact }>;

class Service {
  readonly keys = new Map<string, { value: string; modRevision: number }>();
  revision = 0;

  read(): { head: ReadKey; document: ReadKey } {
    const head = this.keys.get(CONFIGURATION_HEAD_KEY) ?? null;
    return { head, document: this.keys.get(CONFIGURATION_CURRENT_KEY) ?? null };
  }

  transact(transaction: Transaction): boolean {
    const holds = transaction.compares.every(
      ({ key, modRevision }) => (this.keys.get(key)?.modRevision ?? 0) === modRevision,
    );
    if (!holds) return false;
    this.revision += 1;
    for (const { key, value } of transaction.writes) {
      if (value === null) this.keys.delete(key);
      else this.keys.set(key, { value, modRevision: this.revision });
    }
    return true;
  }

  /** Performs effects until the edit is over or `interrupt` takes a transaction over. */
  drive(
    state: EditState,
    effects: readonly EditEffect[],
    interrupt: (transaction: Transaction) => readonly EditEffect[] | null = () => null,
  ): Extract<EditEffect, { kind: EditEffectKind.Done }>['outcome'] {
    let next: readonly EditEffect[] = effects;
    for (let step = 0; step < 100; step += 1) {
      const [effect] = next;
      if (effect === undefined) break;
      if (effect.kind === EditEffectKind.Done) return effect.outcome;
      if (effect.kind === EditEffectKind.ReadKeys) next = keysRead(state, this.read());
      else next = interrupt(effect) ?? transactAnswered(state, this.transact(effect), random);
    }
    throw new RangeError('the edit did not end');
  }

  apply(editId: string, baseVersion: number): ReturnType<Service['drive']> {
    const { state, effects } = startEdit(edit(editId, baseVersion));
    return this.drive(state, effects);
  }
}

describe('editing the configuration', () => {
  describe('racing operators', () => {
    it('gives exactly one the next version, and the other a conflict with the present text', () => {
      const service = new Service();
      service.apply('first', 0);
      const ann = startEdit(edit('ann', 1));
      const outcome = service.drive(ann.state, ann.effects, (transaction) => {
        service.apply('bold', 1);
        return transactAnswered(ann.state, service.transact(transaction), random);
      });
      const failure = outcome._unsafeUnwrapErr();
      assert.equal(failure.name, 'edit-conflict');
      assert.deepEqual(failure.data, { baseVersion: 1, currentVersion: 2, currentText: 'bold' });
    });
  });

  /**
   * An operator's edit takes effect, but the answer is lost; a colleague's edit follows at once. The
   * command line must say that the edit was accepted: told otherwise, the operator repeats it.
   */
  describe('an acceptance that was lost on the way back', () => {
    it('is found on reading back, also after further edits', () => {
      const service = new Service();
      service.apply('first', 0);
      const { state, effects } = startEdit(edit('lost', 1));
      const outcome = service.drive(state, effects, (transaction) => {
        service.transact(transaction);
        service.apply('later', 2);
        return transactFailed(state, random);
      });
      assert.equal(outcome._unsafeUnwrap(), 2);
    });

    it('is applied once when the edit is sent again', () => {
      const service = new Service();
      service.apply('first', 0);
      assert.equal(service.apply('second', 1)._unsafeUnwrap(), 2);
      assert.equal(service.apply('second', 1)._unsafeUnwrap(), 2);
      const head = parseHead(service.read().head?.value ?? '');
      assert.equal(head?.version, 2);
    });

    it('is sent again when it had not taken effect', () => {
      const service = new Service();
      const { state, effects } = startEdit(edit('first', 0));
      let lost = false;
      const outcome = service.drive(state, effects, () => {
        if (lost) return null;
        lost = true;
        return transactFailed(state, random);
      });
      assert.equal(outcome._unsafeUnwrap(), 1);
    });

    it('says unknown when the history no longer reaches back', () => {
      const service = new Service();
      for (let version = 0; version < REMEMBERED_EDITS + 5; version += 1) {
        service.apply(`edit-${String(version)}`, version);
      }
      const failure = service.apply('edit-0', 0)._unsafeUnwrapErr();
      assert.equal(failure.name, 'edit-unknown');
      const head = parseHead(service.read().head?.value ?? '');
      assert.equal(head?.recentEdits.length, REMEMBERED_EDITS);
    });
  });

  describe('an outage', () => {
    function failAll(state: EditState): EditEffect | undefined {
      let effect: EditEffect | undefined;
      for (let call = 0; call < 8; call += 1) [effect] = keysReadFailed(state, random);
      return effect;
    }

    it('before anything was sent leaves a truthful "not sent"', () => {
      const { state } = startEdit(edit('first', 0));
      const effect = failAll(state);
      assert.ok(effect?.kind === EditEffectKind.Done);
      assert.equal(effect.outcome._unsafeUnwrapErr().name, 'edit-not-sent');
    });

    it('after the transaction was sent leaves "unknown", never "not sent"', () => {
      const { state } = startEdit(edit('first', 0));
      keysRead(state, { head: null, document: null });
      const effect = failAll(state);
      assert.ok(effect?.kind === EditEffectKind.Done);
      assert.equal(effect.outcome._unsafeUnwrapErr().name, 'edit-unknown');
    });
  });

  describe('what is stored', () => {
    it('is read back as a document, and anything else is not', () => {
      const service = new Service();
      service.apply('first', 0);
      assert.equal(parseDocument(service.read().document?.value ?? '')?.version, 1);
      for (const value of ['', '[]', '{"version":0,"editId":"x","compiled":{}}', 'null', '{']) {
        assert.equal(parseDocument(value), null);
        assert.equal(parseHead(value), null);
      }
    });
  });
});
