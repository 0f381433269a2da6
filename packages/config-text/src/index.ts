/**
 * Parses, validates and compiles the operators' YAML configuration, reports faults with line and
 * column, and compares two configurations.
 */
export { compileText } from './core/compile/compile.js';
export { MAX_DOCUMENT_BYTES, MAX_FAULTS, MAX_TEXT_BYTES } from './core/compile/limits.js';
export { diffConfigurations } from './core/diff/diff.js';
export {
  DifferenceChange,
  DifferenceSubject,
  differenceText,
  type Difference,
} from './core/diff/difference.js';
export type { TextFault, TextPosition } from './core/faults/fault.js';
export { FindingKind, type TextFinding } from './core/review/finding.js';
export { reviewText, type ReviewedText } from './core/review/review.js';
export { textJsonSchema } from './core/schema/json-schema.js';
