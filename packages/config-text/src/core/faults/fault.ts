/**
 * One fault of the operators' text: a failure of the catalogue together with the place in the text
 * that an editor can jump to.
 */
import type { Failure } from '@cassiamast/coordination';

/** Keys and list indices from the root of the text to a value. */
export type TextPath = readonly (string | number)[];

/** A place in the text; both count from 1. */
export interface TextPosition {
  readonly line: number;
  readonly column: number;
}

/** A failure before its place in the text is looked up. */
export interface UnplacedFault {
  readonly failure: Failure;
  readonly path: TextPath;
  /** Whether the place is the key at the end of the path and not its value. */
  readonly atKey: boolean;
}

/** A fault as it is reported; plain data. */
export interface TextFault extends Failure, TextPosition {
  /** Where in the data, such as `services[0].targets[2].sidecar`. */
  readonly path: string;
}

/** Writes a path as operators read it. */
export function pathText(path: TextPath): string {
  return path
    .map((part) => (typeof part === 'number' ? `[${String(part)}]` : `.${part}`))
    .join('')
    .replace(/^\./, '');
}
