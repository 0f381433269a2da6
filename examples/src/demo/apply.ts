/**
 * Applies the operators' text the way the command line does: by the library's editor, performed on
 * the key-value service.
 */
import { randomUUID } from 'node:crypto';
import { setTimeout as sleep } from 'node:timers/promises';
import { compileText } from '@cassiamast/config-text';
import type { EditEffect, Failure, Random, ReadKey } from '@cassiamast/coordination';
import {
  CONFIGURATION_CURRENT_KEY,
  CONFIGURATION_HEAD_KEY,
  EditEffectKind,
  keysRead,
  keysReadFailed,
  startEdit,
  transactAnswered,
  transactFailed,
} from '@cassiamast/coordination';
import type { KeyValueClient } from '@cassiamast/ports';
import type { Result } from 'neverthrow';
import { err } from 'neverthrow';

/** Applies a text that was edited from a version; gives the new version. */
export async function applyText(
  client: KeyValueClient,
  text: string,
  baseVersion: number,
  random: Random,
): Promise<Result<number, Failure>> {
  const compiled = compileText(text);
  if (compiled.isErr()) {
    const [fault] = compiled.error;
    if (fault === undefined) throw new RangeError('a refused text has at least one fault');
    return err(fault);
  }
  const { state, effects } = startEdit({
    editId: randomUUID(),
    text,
    compiled: compiled.value,
    editedAtMs: Date.now(),
    editedBy: 'demo',
    baseVersion,
  });
  const queue: EditEffect[] = [...effects];
  for (;;) {
    const effect = queue.shift();
    if (effect === undefined) throw new RangeError('an edit ends by saying so');
    if (effect.kind === EditEffectKind.Done) return effect.outcome;
    if (effect.kind === EditEffectKind.ReadKeys) {
      await sleep(effect.waitMs);
      const keys = await readKeys(client);
      queue.push(...(keys === null ? keysReadFailed(state, random) : keysRead(state, keys)));
      continue;
    }
    const answer = await client.transact(effect.compares, effect.writes);
    queue.push(
      ...answer.match(
        (result) => transactAnswered(state, result.succeeded, random),
        () => transactFailed(state, random),
      ),
    );
  }
}

async function readKeys(
  client: KeyValueClient,
): Promise<{ readonly head: ReadKey; readonly document: ReadKey } | null> {
  const head = await client.get(CONFIGURATION_HEAD_KEY);
  const document = await client.get(CONFIGURATION_CURRENT_KEY);
  if (head.isErr() || document.isErr()) return null;
  return { head: head.value, document: document.value };
}
