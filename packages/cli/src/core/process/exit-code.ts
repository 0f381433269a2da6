/**
 * Maps failures to the exit codes that scripts rely on. The operators' page `docs/operators/command-line.md` lists the
 * same numbers.
 */
import { editConflict, editNotSent, editUnknown, type Failure } from '@cassiamast/coordination';
import {
  BASE_VERSION_MISSING,
  FILE_UNREADABLE,
  NO_CONNECTION,
  NO_SUCH_VERSION,
  PARTIAL_ANSWER,
  SERVICE_FAILED,
  TEXT_FAULTY,
  UNKNOWN_MEMBER_ANSWER,
  NOT_IN_FORCE,
} from './failures.js';

/** Exit codes of every command. */
export enum ExitCode {
  Done = 0,
  /** An error of the command line itself. */
  Failed = 1,
  /** Wrong arguments, a missing file or missing connection settings. */
  BadUsage = 2,
  /** The text has faults; nothing was changed. */
  TextFaulty = 3,
  /** Another edit was accepted first; nothing was changed. */
  Conflict = 4,
  /** It is unknown whether the edit was accepted; run the same command again. */
  Unknown = 5,
  /** The key-value service or the entry did not respond; nothing was changed. */
  Unreachable = 6,
  /** Some processes could not be reached, or have not applied the version yet. */
  Partial = 7,
  /** The text has no faults, but settings that have no effect or contradict each other. */
  Warnings = 8,
}

const CODES: ReadonlyMap<string, ExitCode> = new Map([
  [TEXT_FAULTY.name, ExitCode.TextFaulty],
  [editConflict.name, ExitCode.Conflict],
  [editUnknown.name, ExitCode.Unknown],
  [editNotSent.name, ExitCode.Unreachable],
  [SERVICE_FAILED.name, ExitCode.Unreachable],
  [UNKNOWN_MEMBER_ANSWER.name, ExitCode.Unreachable],
  [PARTIAL_ANSWER.name, ExitCode.Partial],
  [NOT_IN_FORCE.name, ExitCode.Partial],
  [NO_CONNECTION.name, ExitCode.BadUsage],
  [FILE_UNREADABLE.name, ExitCode.BadUsage],
  [BASE_VERSION_MISSING.name, ExitCode.BadUsage],
  [NO_SUCH_VERSION.name, ExitCode.BadUsage],
]);

/** Returns the exit code for a failure. */
export function exitCodeOf(failure: Failure): ExitCode {
  return CODES.get(failure.name) ?? ExitCode.Failed;
}
