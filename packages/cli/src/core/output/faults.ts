/**
 * Failures as an operator reads them in the terminal.
 */
import type { Failure } from '@cassiamast/coordination';
import type { TextFault } from '@cassiamast/config-text';
import { TEXT_FAULTY } from '../process/failures.js';

/** A fault in the form that editors and terminals turn into a link: `file:line:column`. */
export function faultLines(file: string, fault: TextFault): string[] {
  const place = `${file}:${String(fault.line)}:${String(fault.column)}`;
  return [`${place}: ${fault.title}: ${fault.message}`, `    ${fault.hint}`];
}

/** A failure with all that it carries. */
export function failureLines(failure: Failure): string[] {
  const details = TEXT_FAULTY.is(failure)
    ? failure.data.faults.flatMap((fault) => faultLines(failure.data.file, fault))
    : [];
  return [...details, `${failure.title}: ${failure.message}`, `    ${failure.hint}`];
}
