/**
 * The operators' side of the configuration, used by the command line: an edit is accepted by one
 * compare-and-swap from the version that it was made from. An answer that was lost is made up for by
 * reading back and looking for the edit's own id; sending the same edit again applies it at most once.
 */
import type { Result } from 'neverthrow';
import { err, ok } from 'neverthrow';
import type { Failure } from '../failures/failure.js';
import type { ConfigurationDocument } from '../model/configuration.js';
import { editConflict, editNotSent, editUnknown } from './failures.js';
import type { ConfigurationHead } from './head.js';
import { REMEMBERED_EDITS, headAfter, parseDocument, parseHead } from './head.js';
import {
  CONFIGURATION_CURRENT_KEY,
  CONFIGURATION_HEAD_KEY,
  historyKey,
  prunedVersion,
} from './keys.js';

/** An edit as the command line prepared it. */
export interface ConfigurationEdit extends Omit<ConfigurationDocument, 'version'> {
  /** The version that the operator saw; 0 for the first configuration of a deployment. */
  readonly baseVersion: number;
}

/** One key as read, or null when absent. */
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

/** An effect of an edit; `waitMs` is to pass before it is performed. */
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
  /** Calls that failed so far; the edit ends when there are too many. */
  failedCalls: number;
  /** Whether a transaction was sent, so that its effect has to be reckoned with. */
  submitted: boolean;
  readonly readsBack: boolean;
}

/** Calls that may fail before the edit gives up; with the waits, about 20 seconds. */
const MAX_FAILED_CALLS = 8;

/** The first wait after a failed call; doubled up to {@link MAX_WAIT_MS}. */
const FIRST_WAIT_MS = 100;
const MAX_WAIT_MS = 4_000;

/** Begins an edit. `readsBack` is a guard; only the fuzzer passes false. */
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

/** Reading the keys failed. */
export function keysReadFailed(state: EditState, random: () => number): EditEffect[] {
  return callFailed(state, random);
}

/** Whether the history names every edit after the base, so that absence proves rejection. */
function historyReaches(head: ConfigurationHead, baseVersion: number): boolean {
  return head.version - baseVersion <= REMEMBERED_EDITS;
}

function decideOnNewer(
  state: EditState,
  head: ConfigurationHead,
  document: ConfigurationDocument | null,
): EditEffect[] {
  const { editId, baseVersion } = state.edit;
  const currentVersion = head.version;
  if (!historyReaches(head, baseVersion)) {
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

/** Decides on what the service holds: already accepted, conflict, or (again) to be sent. */
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
    return decideOnNewer(state, head, document);
  }
  if (head === null && baseVersion !== 0) {
    const data = { baseVersion, currentVersion: 0, currentText: '' };
    return done(err(editConflict.of(data)));
  }
  return submit(state, head, keys);
}

/** The transaction was answered. A refusal may be the echo of an own earlier success: read back. */
export function transactAnswered(
  state: EditState,
  succeeded: boolean,
  random: () => number,
): EditEffect[] {
  if (succeeded) return done(ok(state.edit.baseVersion + 1));
  return callFailed(state, random);
}

/** The transaction's answer was lost: it may have taken effect, now or later. Read back. */
export function transactFailed(state: EditState, random: () => number): EditEffect[] {
  return callFailed(state, random);
}
