/**
 * Compiles a file's text, with its faults under the file's name.
 */
import type { Configuration, Failure } from '@cassiamast/coordination';
import { compileText } from '@cassiamast/config-text';
import type { Result } from 'neverthrow';
import { TEXT_FAULTY } from '../process/failures.js';

/** Compiles the text of a file. Errors: `text-faulty` with every fault. */
export function compileFile(file: string, text: string): Result<Configuration, Failure> {
  return compileText(text).mapErr((faults) => TEXT_FAULTY.of({ file, faults }));
}
