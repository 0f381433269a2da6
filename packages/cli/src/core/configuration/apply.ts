/**
 * Applies an edit of the configuration: performs the reads and transactions that the library's
 * editor requests on the key-value service, until the editor reports an outcome. The outcome may be
 * that the result of the write is unknown.
 */
import { createHash } from 'node:crypto';
import {
  CONFIGURATION_CURRENT_KEY,
  CONFIGURATION_HEAD_KEY,
  EditEffectKind,
  keysRead,
  keysReadFailed,
  startEdit,
  transactAnswered,
  transactFailed,
  type ConfigurationEdit,
  type EditEffect,
  type EditState,
  type Failure,
  type Random,
} from '@cassiamast/coordination';
import type { KeyValuePort } from '@cassiamast/ports';
import type { Result } from 'neverthrow';

/** Dependencies of {@link applyEdit}. */
export interface ApplyContext {
  readonly port: Pick<KeyValuePort, 'get' | 'transact'>;
  readonly random: Random;
  readonly sleep: (delayMs: number) => Promise<unknown>;
  /** Called with a description of the step before each call to the service. */
  readonly onStep: (step: string) => void;
}

const EDIT_ID_CHARACTERS = 32;

/**
 * Returns an edit id derived from the text and its base version. Because it is deterministic, a
 * command that is run again after a lost response recognizes its own edit.
 */
export function editIdOf(baseVersion: number, text: string): string {
  const hashInput = JSON.stringify([baseVersion, text]);
  return createHash('sha256').update(hashInput).digest('hex').slice(0, EDIT_ID_CHARACTERS);
}

/** Runs the edit to its outcome. Returns the accepted version, or the editor's failure. */
export async function applyEdit(
  edit: ConfigurationEdit,
  context: ApplyContext,
): Promise<Result<number, Failure>> {
  const { state, effects } = startEdit(edit);
  let [effect] = effects;
  while (effect !== undefined) {
    if (effect.kind === EditEffectKind.Done) return effect.outcome;
    [effect] = await perform(state, effect, context);
  }
  // Every step of the editor returns an effect; a step without one is a defect of the library.
  throw new TypeError('the editor stopped without an outcome');
}

function perform(
  state: EditState,
  effect: Exclude<EditEffect, { readonly kind: EditEffectKind.Done }>,
  context: ApplyContext,
): Promise<readonly EditEffect[]> {
  if (effect.kind === EditEffectKind.ReadKeys) return readKeys(state, effect.waitMs, context);
  return transact(state, effect, context);
}

async function readKeys(
  state: EditState,
  waitMs: number,
  { port, random, sleep, onStep }: ApplyContext,
): Promise<readonly EditEffect[]> {
  if (waitMs > 0) await sleep(waitMs);
  onStep(state.submitted ? 'reading back' : 'reading the present version');
  const head = await port.get(CONFIGURATION_HEAD_KEY);
  const document = await port.get(CONFIGURATION_CURRENT_KEY);
  if (head.isErr() || document.isErr()) return keysReadFailed(state, random);
  return keysRead(state, { head: head.value, document: document.value });
}

async function transact(
  state: EditState,
  effect: Extract<EditEffect, { readonly kind: EditEffectKind.Transact }>,
  { port, random, onStep }: ApplyContext,
): Promise<readonly EditEffect[]> {
  onStep('writing');
  const result = await port.transact(effect.compares, effect.writes);
  if (result.isErr()) return transactFailed(state, random);
  return transactAnswered(state, result.value.succeeded, random);
}
