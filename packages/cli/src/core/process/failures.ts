/**
 * Defines the failures that the command line reports in addition to those of the libraries.
 */
import { defineFailure } from '@cassiamast/coordination';
import type { TextFault } from '@cassiamast/config-text';

/** The faults of a text and the file that contains it. */
export interface TextFaults {
  readonly file: string;
  readonly faults: readonly TextFault[];
}

export const TEXT_FAULTY = defineFailure({
  name: 'text-faulty',
  title: 'The text has faults',
  message: ({ file, faults }: TextFaults) =>
    `${file} has ${String(faults.length)} ${faults.length === 1 ? 'fault' : 'faults'}. Nothing was changed.`,
  hint: 'Mend them and run the command again.',
});

export const FILE_UNREADABLE = defineFailure({
  name: 'file-unreadable',
  title: 'The file could not be read or written',
  message: (data: { readonly file: string; readonly cause: string }) =>
    `${data.file}: ${data.cause}`,
  hint: 'Check the path and its permissions.',
});

export const NO_CONNECTION = defineFailure({
  name: 'no-connection',
  title: 'Connection settings are missing or wrong',
  message: (data: { readonly fault: string }) => data.fault,
  hint: 'Give them as flags, in the environment, or in the file named by --connection.',
});

export const BASE_VERSION_MISSING = defineFailure({
  name: 'base-version-missing',
  title: 'The version that was edited is not known',
  message: (data: { readonly file: string }) =>
    `${data.file} does not begin with the version line that "show" writes, and --from-version is not given.`,
  hint: 'Edit what "cassiamast show" writes, or give --from-version; 0 is for the very first text.',
});

export const NO_SUCH_VERSION = defineFailure({
  name: 'no-such-version',
  title: 'There is no such version',
  message: (data: { readonly version: number | null }) =>
    data.version === null
      ? 'No configuration was ever applied.'
      : `Version ${String(data.version)} is not in the history.`,
  hint: 'The history keeps the latest 64 versions; "cassiamast history" lists them.',
});

export const SERVICE_FAILED = defineFailure({
  name: 'key-value-failed',
  title: 'The key-value service did not answer',
  message: (data: { readonly cause: string }) => `${data.cause} Nothing was changed.`,
  hint: 'Run the command again when the service is back.',
});

export const UNKNOWN_MEMBER_ANSWER = defineFailure({
  name: 'member-not-reached',
  title: 'A process did not answer',
  message: (data: { readonly member: string; readonly cause: string }) =>
    `${data.member}: ${data.cause}`,
  hint: 'Check the address, the secret, and whether this host may use the control network.',
});

export const PARTIAL_ANSWER = defineFailure({
  name: 'partial-answer',
  title: 'Some processes could not be reached',
  message: (data: { readonly unreachable: number; readonly asked: number }) =>
    `${String(data.unreachable)} of ${String(data.asked)} processes did not answer.`,
  hint: 'They are named in the answer; what is shown holds for the others.',
});

export const NOT_IN_FORCE = defineFailure({
  name: 'not-in-force-everywhere',
  title: 'The version is accepted but not yet in force everywhere',
  message: (data: { readonly version: number; readonly behind: readonly string[] }) =>
    `Version ${String(data.version)} is accepted; ${String(data.behind.length)} processes have not confirmed it: ${data.behind.slice(0, 5).join(', ')}.`,
  hint: 'The edit stands. "cassiamast status" shows which processes are behind or cut off.',
});
