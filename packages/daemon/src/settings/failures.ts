/** Defines the failures that reading the daemon's settings can return. */
import { defineFailure } from '@cassiamast/coordination';

/** The settings file can't be read or is not YAML. */
export const SETTINGS_UNREADABLE = defineFailure({
  name: 'settings-unreadable',
  title: 'The settings can not be read',
  message: (data: { readonly file: string; readonly cause: string }) =>
    `${data.file}: ${data.cause}`,
  hint: 'Check that the file exists, is readable by the daemon and is valid YAML.',
});

/** The settings are valid YAML but don't match the schema; every fault is listed. */
export const SETTINGS_INVALID = defineFailure({
  name: 'settings-invalid',
  title: 'The settings are not valid',
  message: (data: { readonly file: string; readonly faults: readonly string[] }) =>
    `${data.file}: ${data.faults.join('; ')}`,
  hint: 'docs/RUNNING.md lists every setting with its unit and default.',
});
