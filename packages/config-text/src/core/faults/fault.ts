/**
 * Types for faults in the operators' text. A fault is a failure together with the line and column
 * that an editor can jump to.
 */
import type { Failure } from '@cassiamast/coordination';

/** Keys and list indices from the root of the text to a value. */
export type TextPath = readonly (string | number)[];

/** A position in the text; line and column are 1-based. */
export interface TextPosition {
  readonly line: number;
  readonly column: number;
}

/** A failure whose line and column have not been resolved yet. */
export interface UnlocatedFault {
  readonly failure: Failure;
  readonly path: TextPath;
  /** Whether the fault is reported at the key of the last path element instead of at its value. */
  readonly atKey: boolean;
}

/** A fault as reported to operators; plain data that can be serialized. */
export interface TextFault extends Failure, TextPosition {
  /** Path of the value, such as `services[0].targets[2].sidecar`. */
  readonly path: string;
}

/** Formats a path for operators, such as `services[0].name`. */
export function pathText(path: TextPath): string {
  return path
    .map((part) => (typeof part === 'number' ? `[${String(part)}]` : `.${part}`))
    .join('')
    .replace(/^\./, '');
}
