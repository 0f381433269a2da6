/**
 * Submits an operator's edit of the configuration; used by the command line. An edit is accepted by
 * one compare-and-swap against the version that it was made from. After a lost answer, the editor
 * reads the head key and looks for its edit id, so sending the same edit again applies it at most
 * once.
 */
import type { Result } from 'neverthrow';
import { err, ok } from 'neverthrow';
import type { Failure } from '../failures/failure.js';
import type { ConfigurationDocument } from '../model/configuration.js';
import { editConflict, editNotSent, editUnknown } from './failures.js';
import type { ConfigurationHead } from './head.js';
import { MAX_RECENT_EDITS, headAfter, parseDocument, parseHead } from './head.js';
import {
  CONFIGURATION_CURRENT_KEY,
  CONFIGURATION_HEAD_KEY,
  historyKey,
  prunedVersion,
} from './keys.js';

/** An edit of the configuration, as prepared by the command line. */
export interface ConfigurationEdit extends Omit<ConfigurationDocument, 'version'> {
  /** The version that the operator edited; 0 for the first configuration of a deployment. */
  readonly baseVersion: number;
}

/** The value and revision of a key that was read, or null when the key is absent. */
export type ReadKey = { readonly value: string; readonly modRevision: number } | null;

/** Kinds of editor effects. */
export enum EditEffectKind {
  /** Read both keys; feed `keysRead` or `keysReadFailed`. */
  ReadKeys = 'read-keys',
  /** Perform the transaction; feed `transactAnswered` or `transactFailed`. */
  Transact = 'transact',
  /** The edit is over. */
  Done = 'done',
}

/** An effect of an edit, to be performed after `waitMs` where it has one. */
export type EditEffect =
  | { readonly kind: EditEffectKind.ReadKeys; readonly waitMs: number }
  | {
      readonly kind: EditEffectKind.Transact;
      readonly compares: readonly { readonly key: string; readonly modRevision: number }[];
      /** A null value removes the key. */
      readonly writes: readonly { readonly key: string; readonly value: string | null }[];
    }
  | { readonly kind: EditEffectKind.Done; readonly outcome: Result<number, Failure> };

/** The state of one edit. */
export interface EditState {
  readonly edit: ConfigurationEdit;
  /** Number of failed calls; the edit ends after {@link MAX_FAILED_CALLS}. */
  failedCalls: number;
  /** Whether a transaction was sent, which may have taken effect even if its answer was lost. */
  submitted: boolean;
  /** Whether the head key is checked for this edit's id before the edit is submitted. */
  readonly readsBack: boolean;
}

/** Failed calls after which the edit gives up: about 20 seconds, including the waits. */
const MAX_FAILED_CALLS = 8;

/** Base of the exponential backoff after failed calls, which is capped at {@link MAX_WAIT_MS}. */
const FIRST_WAIT_MS = 100;
const MAX_WAIT_MS = 4_000;

/** Starts an edit. Only the fuzzer passes false for `readsBack`, to test that the check matters. */
export function startEdit(
  edit: ConfigurationEdit,
  readsBack = true,
): { readonly state: EditState; readonly effects: readonly EditEffect[] } {
  const state = { edit, failedCalls: 0, submitted: false, readsBack };
  return { state, effects: [{ kind: EditEffectKind.ReadKeys, waitMs: 0 }] };
}

function done(outcome: Result<number, Failure>): EditEffect[] {
  return [{ kind: EditEffectKind.Done, outcome }];
}

function callFailed(state: EditState, random: () => number): EditEffect[] {
  state.failedCalls += 1;
  const { editId } = state.edit;
  if (state.failedCalls >= MAX_FAILED_CALLS) {
    const failure = state.submitted
      ? editUnknown.of({ editId, currentVersion: null })
      : editNotSent.of({ editId });
    return done(err(failure));
  }
  const boundMs = Math.min(MAX_WAIT_MS, FIRST_WAIT_MS * 2 ** state.failedCalls);
  return [{ kind: EditEffectKind.ReadKeys, waitMs: boundMs * (0.5 + random() / 2) }];
}

/** Handles a failed read of the keys. */
export function keysReadFailed(state: EditState, random: () => number): EditEffect[] {
  return callFailed(state, random);
}

/** Returns whether the head lists every edit since the base, so that absence proves rejection. */
function coversEditsSince(head: ConfigurationHead, baseVersion: number): boolean {
  return head.version - baseVersion <= MAX_RECENT_EDITS;
}

function rejectOutdatedEdit(
  state: EditState,
  head: ConfigurationHead,
  document: ConfigurationDocument | null,
): EditEffect[] {
  const { editId, baseVersion } = state.edit;
  const currentVersion = head.version;
  if (!coversEditsSince(head, baseVersion)) {
    return done(err(editUnknown.of({ editId, currentVersion })));
  }
  const currentText = document?.text ?? '';
  return done(err(editConflict.of({ baseVersion, currentVersion, currentText })));
}

function submit(
  state: EditState,
  head: ConfigurationHead | null,
  keys: { readonly head: ReadKey; readonly document: ReadKey },
): EditEffect[] {
  const { baseVersion, ...fields } = state.edit;
  const document: ConfigurationDocument = { ...fields, version: baseVersion + 1 };
  const value = JSON.stringify(document);
  const pruned = prunedVersion(document.version);
  state.submitted = true;
  return [
    {
      kind: EditEffectKind.Transact,
      compares: [
        { key: CONFIGURATION_HEAD_KEY, modRevision: keys.head?.modRevision ?? 0 },
        { key: CONFIGURATION_CURRENT_KEY, modRevision: keys.document?.modRevision ?? 0 },
      ],
      writes: [
        { key: CONFIGURATION_HEAD_KEY, value: JSON.stringify(headAfter(head, document)) },
        { key: CONFIGURATION_CURRENT_KEY, value },
        { key: historyKey(document.version), value },
        ...(pruned === null ? [] : [{ key: historyKey(pruned), value: null }]),
      ],
    },
  ];
}

/** Decides from the stored keys whether the edit was accepted, conflicts, or has to be submitted. */
export function keysRead(
  state: EditState,
  keys: { readonly head: ReadKey; readonly document: ReadKey },
): EditEffect[] {
  const { editId, baseVersion } = state.edit;
  const head = keys.head === null ? null : parseHead(keys.head.value);
  const accepted = head?.recentEdits.find((recent) => recent.editId === editId);
  if (accepted !== undefined && state.readsBack) return done(ok(accepted.version));
  if (head !== null && head.version !== baseVersion) {
    const document = keys.document === null ? null : parseDocument(keys.document.value);
    return rejectOutdatedEdit(state, head, document);
  }
  if (head === null && baseVersion !== 0) {
    const data = { baseVersion, currentVersion: 0, currentText: '' };
    return done(err(editConflict.of(data)));
  }
  return submit(state, head, keys);
}

/**
 * Handles the answer to the transaction. A failed compare may be caused by an earlier attempt of the
 * same edit that succeeded, so the keys are read again.
 */
export function transactAnswered(
  state: EditState,
  succeeded: boolean,
  random: () => number,
): EditEffect[] {
  if (succeeded) return done(ok(state.edit.baseVersion + 1));
  return callFailed(state, random);
}

/**
 * Handles a lost answer to the transaction. The transaction may have taken effect or may still do
 * so, so the keys are read again.
 */
export function transactFailed(state: EditState, random: () => number): EditEffect[] {
  return callFailed(state, random);
}
