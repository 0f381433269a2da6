/**
 * Defines every failure that the check of the operators' text can report. Each message names the
 * offending value and each hint explains how to correct it.
 */
import { defineFailure } from '@cassiamast/coordination';

export const SYNTAX = defineFailure({
  name: 'text-syntax',
  title: 'The text is not valid YAML',
  message: (data: { readonly detail: string }) => data.detail,
  hint: 'Check the indentation, quotes and brackets at this place.',
});

export const TEXT_TOO_LARGE = defineFailure({
  name: 'text-too-large',
  title: 'The text is too large',
  message: (data: { readonly sizeBytes: number; readonly maxBytes: number }) =>
    `The text takes ${String(data.sizeBytes)} bytes; at most ${String(data.maxBytes)} are allowed.`,
  hint: 'Remove what is not needed; the key-value service holds no larger value.',
});

export const DOCUMENT_TOO_LARGE = defineFailure({
  name: 'document-too-large',
  title: 'The stored document would be too large',
  message: (data: { readonly sizeBytes: number; readonly maxBytes: number }) =>
    `Stored with what it compiles to, the text takes ${String(data.sizeBytes)} bytes; at most ${String(data.maxBytes)} are allowed.`,
  hint: 'Shorten comments and names, or remove targets and workspaces that are gone.',
});

export const NESTED_TOO_DEEP = defineFailure({
  name: 'nested-too-deep',
  title: 'The text is nested too deeply',
  message: (data: { readonly maxDepth: number }) =>
    `Lists and mappings may be nested ${String(data.maxDepth)} levels deep.`,
  hint: 'Compare the text with the example in the operators’ pages.',
});

export const TOO_MANY_TOKENS = defineFailure({
  name: 'too-many-tokens',
  title: 'The text has too many parts',
  message: (data: { readonly maxTokens: number }) =>
    `The text has more than ${String(data.maxTokens)} words and signs.`,
  hint: 'Remove what is not needed, or split the deployment.',
});

export const ALIAS_USED = defineFailure({
  name: 'alias-used',
  title: 'Anchors and aliases are not allowed',
  message: (data: { readonly alias: string }) => `The alias "*${data.alias}" is used.`,
  hint: 'Write the value out: a small text of aliases can expand to gigabytes.',
});

export const UNKNOWN_FIELD = defineFailure({
  name: 'unknown-field',
  title: 'Unknown field',
  message: (data: { readonly field: string; readonly nearest: string | null }) =>
    data.nearest === null
      ? `There is no field "${data.field}" here.`
      : `There is no field "${data.field}" here; did you mean "${data.nearest}"?`,
  hint: 'Correct the name, or remove the field.',
});

export const MISSING_FIELD = defineFailure({
  name: 'missing-field',
  title: 'Missing field',
  message: (data: { readonly field: string }) => `The field "${data.field}" is missing.`,
  hint: 'Add the field; it has no default.',
});

export const WRONG_TYPE = defineFailure({
  name: 'wrong-type',
  title: 'Wrong kind of value',
  message: (data: { readonly expected: string; readonly found: string }) =>
    `Expected ${data.expected}, found ${data.found}.`,
  hint: 'Write a value of the expected kind.',
});

export const UNIT_MISSING = defineFailure({
  name: 'unit-missing',
  title: 'The unit is missing',
  message: (data: { readonly found: string; readonly units: readonly string[] }) =>
    `"${data.found}" has no unit; use one of: ${data.units.join(', ')}.`,
  hint: 'Write the number and its unit, such as "360 ms" or "40 GB".',
});

export const WRONG_UNIT = defineFailure({
  name: 'wrong-unit',
  title: 'Wrong unit',
  message: (data: {
    readonly found: string;
    readonly unit: string;
    readonly units: readonly string[];
  }) => `"${data.found}" has the unit "${data.unit}"; use one of: ${data.units.join(', ')}.`,
  hint: 'Units are written exactly as listed; capital and small letters differ.',
});

export const NOT_A_QUANTITY = defineFailure({
  name: 'not-a-quantity',
  title: 'Not a number with a unit',
  message: (data: { readonly found: string; readonly units: readonly string[] }) =>
    `"${data.found}" is not a number followed by one of: ${data.units.join(', ')}.`,
  hint: 'Write the number and its unit, such as "360 ms" or "40 GB".',
});

export const OUT_OF_RANGE = defineFailure({
  name: 'out-of-range',
  title: 'Out of range',
  message: (data: { readonly found: string; readonly range: string }) =>
    `"${data.found}" is out of range: ${data.range}.`,
  hint: 'Choose a value within the range.',
});

export const MALFORMED = defineFailure({
  name: 'malformed-value',
  title: 'The value does not have the right form',
  message: (data: { readonly found: string; readonly expected: string }) =>
    `"${data.found}" is not ${data.expected}.`,
  hint: 'Correct the value.',
});

export const TOO_MANY = defineFailure({
  name: 'too-many',
  title: 'Too many entries',
  message: (data: { readonly max: number }) => `At most ${String(data.max)} are allowed here.`,
  hint: 'Remove entries, or split the deployment.',
});

export const TOO_FEW = defineFailure({
  name: 'too-few',
  title: 'Too few entries',
  message: (data: { readonly min: number }) => `At least ${String(data.min)} is needed here.`,
  hint: 'Add an entry.',
});

export const DUPLICATE = defineFailure({
  name: 'duplicate',
  title: 'Given twice',
  message: (data: { readonly what: string; readonly value: string; readonly first: string }) =>
    `The ${data.what} "${data.value}" is already used at ${data.first}.`,
  hint: 'Rename or remove one of the two.',
});

export const UNKNOWN_NAME = defineFailure({
  name: 'unknown-name',
  title: 'Unknown name',
  message: (data: {
    readonly what: string;
    readonly value: string;
    readonly nearest: string | null;
  }) =>
    data.nearest === null
      ? `There is no ${data.what} "${data.value}".`
      : `There is no ${data.what} "${data.value}"; did you mean "${data.nearest}"?`,
  hint: 'Correct the name, or declare it.',
});

export const DEPENDENCY_CYCLE = defineFailure({
  name: 'dependency-cycle',
  title: 'Services depend on each other in a circle',
  message: (data: { readonly cycle: readonly string[] }) =>
    `None of these could become ready first: ${data.cycle.join(' → ')}.`,
  hint: 'Remove one of the dependencies.',
});

export const DOES_NOT_APPLY = defineFailure({
  name: 'does-not-apply',
  title: 'The field does not apply',
  message: (data: { readonly field: string; readonly kind: string }) =>
    `The field "${data.field}" has no meaning for a service of kind "${data.kind}".`,
  hint: 'Remove the field, or correct the kind.',
});

export const FLOOR_TOO_HIGH = defineFailure({
  name: 'floor-too-high',
  title: 'The floor cannot be met',
  message: (data: { readonly floorTargets: number; readonly servingTargets: number }) =>
    `The floor is ${String(data.floorTargets)} targets, but only ${String(data.servingTargets)} are not withdrawn.`,
  hint: 'Lower the floor, or return a withdrawn target.',
});

export const MORE_FAULTS = defineFailure({
  name: 'more-faults',
  title: 'More faults',
  message: (data: { readonly omitted: number }) =>
    `${String(data.omitted)} more faults are not listed.`,
  hint: 'Mend the listed ones and check again.',
});
