/**
 * Formats failures as lines for the terminal.
 */
import type { Failure } from '@cassiamast/coordination';
import type { TextFault, TextFinding } from '@cassiamast/config-text';
import { TEXT_FAULTY } from '../process/failures.js';

/** Formats a fault; editors and terminals turn its `file:line:column` prefix into a link. */
export function faultLines(file: string, fault: TextFault): string[] {
  const location = `${file}:${String(fault.line)}:${String(fault.column)}`;
  return [`${location}: ${fault.title}: ${fault.message}`, `    ${fault.hint}`];
}

/** Formats a finding like a fault, marked as a warning. */
export function warningLines(file: string, finding: TextFinding): string[] {
  return faultLines(file, { ...finding, title: `warning: ${finding.title}` });
}

/** Formats a failure, preceded by each fault of the text if it has any. */
export function failureLines(failure: Failure): string[] {
  const details = TEXT_FAULTY.is(failure)
    ? failure.data.faults.flatMap((fault) => faultLines(failure.data.file, fault))
    : [];
  return [...details, `${failure.title}: ${failure.message}`, `    ${failure.hint}`];
}
