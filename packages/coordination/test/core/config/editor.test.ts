/** Tests edits by compare-and-swap against an in-memory key-value service that can lose answers. */
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import type { ConfigurationEdit, EditEffect, EditState, ReadKey } from '../../../src/index.js';
import {
  CONFIGURATION_HEAD_KEY,
  CONFIGURATION_CURRENT_KEY,
  EditEffectKind,
  MAX_RECENT_EDITS,
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

class KeyValueService {
  readonly keys = new Map<string, { value: string; modRevision: number }>();
  revision = 0;

  read(): { head: ReadKey; document: ReadKey } {
    const head = this.keys.get(CONFIGURATION_HEAD_KEY) ?? null;
    return { head, document: this.keys.get(CONFIGURATION_CURRENT_KEY) ?? null };
  }

  transact(transaction: Transaction): boolean {
    const comparesHold = transaction.compares.every(
      ({ key, modRevision }) => (this.keys.get(key)?.modRevision ?? 0) === modRevision,
    );
    if (!comparesHold) return false;
    this.revision += 1;
    for (const { key, value } of transaction.writes) {
      if (value === null) this.keys.delete(key);
      else this.keys.set(key, { value, modRevision: this.revision });
    }
    return true;
  }

  /** Performs effects until the edit ends. `interrupt` may handle a transaction itself. */
  run(
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

  apply(editId: string, baseVersion: number): ReturnType<KeyValueService['run']> {
    const { state, effects } = startEdit(edit(editId, baseVersion));
    return this.run(state, effects);
  }
}

describe('editing the configuration', () => {
  describe('concurrent edits', () => {
    it('accept exactly one edit and reject the other with the current text', () => {
      const service = new KeyValueService();
      service.apply('first', 0);
      const firstEdit = startEdit(edit('ann', 1));
      const outcome = service.run(firstEdit.state, firstEdit.effects, (transaction) => {
        service.apply('bold', 1);
        return transactAnswered(firstEdit.state, service.transact(transaction), random);
      });
      const failure = outcome._unsafeUnwrapErr();
      assert.equal(failure.name, 'edit-conflict');
      assert.deepEqual(failure.data, { baseVersion: 1, currentVersion: 2, currentText: 'bold' });
    });
  });

  /**
   * An operator's edit takes effect, but the answer is lost, and another operator's edit follows at
   * once. The command line must report the edit as accepted; otherwise the operator repeats it.
   */
  describe('an edit whose answer was lost', () => {
    it('is found by reading the head key, even after another edit', () => {
      const service = new KeyValueService();
      service.apply('first', 0);
      const { state, effects } = startEdit(edit('lost', 1));
      const outcome = service.run(state, effects, (transaction) => {
        service.transact(transaction);
        service.apply('later', 2);
        return transactFailed(state, random);
      });
      assert.equal(outcome._unsafeUnwrap(), 2);
    });

    it('is applied once when the edit is sent again', () => {
      const service = new KeyValueService();
      service.apply('first', 0);
      assert.equal(service.apply('second', 1)._unsafeUnwrap(), 2);
      assert.equal(service.apply('second', 1)._unsafeUnwrap(), 2);
      const head = parseHead(service.read().head?.value ?? '');
      assert.equal(head?.version, 2);
    });

    it('is sent again when it did not take effect', () => {
      const service = new KeyValueService();
      const { state, effects } = startEdit(edit('first', 0));
      let lost = false;
      const outcome = service.run(state, effects, () => {
        if (lost) return null;
        lost = true;
        return transactFailed(state, random);
      });
      assert.equal(outcome._unsafeUnwrap(), 1);
    });

    it('ends as unknown when the head no longer lists it', () => {
      const service = new KeyValueService();
      for (let version = 0; version < MAX_RECENT_EDITS + 5; version += 1) {
        service.apply(`edit-${String(version)}`, version);
      }
      const failure = service.apply('edit-0', 0)._unsafeUnwrapErr();
      assert.equal(failure.name, 'edit-unknown');
      const head = parseHead(service.read().head?.value ?? '');
      assert.equal(head?.recentEdits.length, MAX_RECENT_EDITS);
    });
  });

  describe('an outage of the key-value service', () => {
    function failAll(state: EditState): EditEffect | undefined {
      let effect: EditEffect | undefined;
      for (let call = 0; call < 8; call += 1) [effect] = keysReadFailed(state, random);
      return effect;
    }

    it('before the transaction was sent ends the edit as not sent', () => {
      const { state } = startEdit(edit('first', 0));
      const effect = failAll(state);
      assert.ok(effect?.kind === EditEffectKind.Done);
      assert.equal(effect.outcome._unsafeUnwrapErr().name, 'edit-not-sent');
    });

    it('after the transaction was sent ends the edit as unknown, not as not sent', () => {
      const { state } = startEdit(edit('first', 0));
      keysRead(state, { head: null, document: null });
      const effect = failAll(state);
      assert.ok(effect?.kind === EditEffectKind.Done);
      assert.equal(effect.outcome._unsafeUnwrapErr().name, 'edit-unknown');
    });
  });

  describe('a stored value', () => {
    it('is parsed as a document or a head only when it is well-formed', () => {
      const service = new KeyValueService();
      service.apply('first', 0);
      assert.equal(parseDocument(service.read().document?.value ?? '')?.version, 1);
      for (const value of ['', '[]', '{"version":0,"editId":"x","compiled":{}}', 'null', '{']) {
        assert.equal(parseDocument(value), null);
        assert.equal(parseHead(value), null);
      }
    });
  });
});
