/**
 * Applies an edit: performs what the library's editor decides, on the key-value service, until the
 * outcome is known or can not be told.
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

/** What applying needs from its surroundings. */
export interface ApplyContext {
  readonly port: Pick<KeyValuePort, 'get' | 'transact'>;
  readonly random: Random;
  readonly sleep: (delayMs: number) => Promise<unknown>;
  /** Told before each call to the service. */
  readonly onStep: (step: string) => void;
}

const EDIT_ID_CHARACTERS = 32;

/**
 * An id that is the same whenever the same text is applied to the same version, so that a command
 * which is simply run again after a lost answer recognises its own edit.
 */
export function editIdOf(baseVersion: number, text: string): string {
  const content = JSON.stringify([baseVersion, text]);
  return createHash('sha256').update(content).digest('hex').slice(0, EDIT_ID_CHARACTERS);
}

/** Carries the edit through. Gives the accepted version, or the editor's failure. */
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
  // The editor's every step answers with an effect; one that does not is a defect of the library.
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
