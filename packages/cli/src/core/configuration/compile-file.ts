/**
 * Compiles the text of a configuration file and reports its faults together with the file name.
 */
import type { Configuration, Failure } from '@cassiamast/coordination';
import { compileText, reviewText, type ReviewedText } from '@cassiamast/config-text';
import type { Result } from 'neverthrow';
import { TEXT_FAULTY } from '../process/failures.js';

/** Compiles the text of a file. Errors: `text-faulty`, with all faults found. */
export function compileFile(file: string, text: string): Result<Configuration, Failure> {
  return compileText(text).mapErr((faults) => TEXT_FAULTY.of({ file, faults }));
}

/** Compiles and reviews the text of a file. Errors: `text-faulty`, with all faults found. */
export function reviewFile(file: string, text: string): Result<ReviewedText, Failure> {
  return reviewText(text).mapErr((faults) => TEXT_FAULTY.of({ file, faults }));
}
