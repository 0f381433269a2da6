/** Failures of configuration sync and of configuration edits. */
import { defineFailure } from '../failures/failure.js';

/** Another edit was accepted first. */
export const editConflict = defineFailure({
  name: 'edit-conflict',
  title: 'Another edit was accepted first',
  message: (data: { baseVersion: number; currentVersion: number; currentText: string }) =>
    `The edit was made from version ${String(data.baseVersion)}, but version ` +
    `${String(data.currentVersion)} is in force. Nothing was changed.`,
  hint: 'Look at the difference, repeat the edit on the current text and send it again.',
});

/** The outcome of an edit cannot be determined. */
export const editUnknown = defineFailure({
  name: 'edit-unknown',
  title: 'Whether the edit was accepted is not known',
  message: (data: { editId: string; currentVersion: number | null }) =>
    data.currentVersion === null
      ? `The key-value service did not answer; edit ${data.editId} may or may not be in force.`
      : `Too many edits followed; the history of version ${String(data.currentVersion)} no longer ` +
        `reaches back to edit ${data.editId}.`,
  hint: 'Run the same command again with the same edit id: it applies the edit at most once.',
});

/** This process has no document newer than the requested one. */
export const configurationNotHeld = defineFailure({
  name: 'configuration-not-held',
  title: 'This process holds no configuration yet',
  message: (data: { haveVersion: number }) =>
    `Nothing newer than version ${String(data.haveVersion)} is held here.`,
  hint: 'Nothing to do: the asker tries another member.',
});

/** Applying a patch did not produce the expected document. */
export const patchMismatch = defineFailure({
  name: 'configuration-patch-mismatch',
  title: 'A configuration patch did not fit',
  message: (data: { fromVersion: number; toVersion: number }) =>
    `The patch from version ${String(data.fromVersion)} to ${String(data.toVersion)} gave another ` +
    `document than the one it was made from.`,
  hint: 'Nothing to do: the whole document is fetched instead. Report it if it repeats.',
});

/** The edit was not sent this time; an earlier command with the same edit id may have sent it. */
export const editNotSent = defineFailure({
  name: 'edit-not-sent',
  title: 'The key-value service did not answer',
  message: (data: { editId: string }) =>
    `This command did not send edit ${data.editId}, since the present version could not be read.`,
  hint: 'Run the same command again when the service is back.',
});
