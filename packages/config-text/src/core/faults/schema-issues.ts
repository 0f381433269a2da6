/**
 * Converts zod issues to the failures that operators see.
 */
import type { Failure } from '@cassiamast/coordination';
import type { z } from 'zod';
import { quoted } from '../quantities/quantity.js';
import { knownFields } from '../schema/known-fields.js';
import type { TextPath, UnlocatedFault } from './fault.js';
import {
  MALFORMED,
  MISSING_FIELD,
  OUT_OF_RANGE,
  TOO_FEW,
  TOO_MANY,
  UNKNOWN_FIELD,
  WRONG_TYPE,
} from './failures.js';
import { nearestName } from './nearest.js';

type Issue = z.core.$ZodIssue;

const TYPE_DESCRIPTIONS: Readonly<Record<string, string>> = {
  array: 'a list',
  object: 'a mapping',
  record: 'a mapping',
  string: 'a text',
  number: 'a number',
  int: 'a whole number',
  boolean: 'true or false',
};

/** Returns the value at a path in plain data, or undefined if the path does not exist. */
export function valueAt(root: unknown, path: TextPath): unknown {
  let value = root;
  for (const part of path) {
    if (typeof value !== 'object' || value === null || !Object.hasOwn(value, part))
      return undefined;
    value = (value as Record<string | number, unknown>)[part];
  }
  return value;
}

function describeValue(value: unknown): string {
  if (value === null || value === undefined) return 'nothing';
  if (Array.isArray(value)) return 'a list';
  if (typeof value === 'object') return 'a mapping';
  return quoted(value);
}

function faultAt(failure: Failure, path: TextPath, atKey = false): UnlocatedFault {
  return { failure, path, atKey };
}

function unknownFields(path: TextPath, fields: readonly string[]): UnlocatedFault[] {
  const known = knownFields(path);
  return fields.map((field) => {
    const failure = UNKNOWN_FIELD.of({ field: quoted(field), nearest: nearestName(field, known) });
    return faultAt(failure, [...path, field], true);
  });
}

function wrongType(root: unknown, path: TextPath, expected: string): UnlocatedFault {
  const value = valueAt(root, path);
  if (value === undefined) return missingField(path);
  const failure = WRONG_TYPE.of({
    expected: TYPE_DESCRIPTIONS[expected] ?? expected,
    found: describeValue(value),
  });
  return faultAt(failure, path);
}

function missingField(path: TextPath): UnlocatedFault {
  return faultAt(MISSING_FIELD.of({ field: String(path.at(-1) ?? 'text') }), path, true);
}

function attachedFailure(issue: Issue): Failure | null {
  if (issue.code !== 'custom') return null;
  const failure: unknown = issue.params?.failure;
  return failure === undefined ? null : (failure as Failure);
}

/** Converts one zod issue to faults. An issue about unknown keys yields one fault per key. */
export function structureFaults(root: unknown, issue: Issue): UnlocatedFault[] {
  const path = issue.path.filter((part) => typeof part !== 'symbol');
  const attached = attachedFailure(issue);
  if (attached !== null) {
    return [valueAt(root, path) === undefined ? missingField(path) : faultAt(attached, path)];
  }
  switch (issue.code) {
    case 'unrecognized_keys':
      return unknownFields(path, issue.keys);
    case 'invalid_type':
      return [wrongType(root, path, issue.expected)];
    case 'invalid_value':
      return [invalidValue(root, path, issue.values)];
    case 'too_big':
      return [tooBig(root, path, issue)];
    case 'too_small':
      return [tooSmall(root, path, issue)];
    default:
      return [
        faultAt(
          MALFORMED.of({ found: describeValue(valueAt(root, path)), expected: issue.message }),
          path,
        ),
      ];
  }
}

function invalidValue(root: unknown, path: TextPath, allowed: readonly unknown[]): UnlocatedFault {
  const value = valueAt(root, path);
  if (value === undefined) return missingField(path);
  const expected = `one of: ${allowed.map(quoted).join(', ')}`;
  return faultAt(MALFORMED.of({ found: describeValue(value), expected }), path);
}

function tooBig(root: unknown, path: TextPath, issue: z.core.$ZodIssueTooBig): UnlocatedFault {
  const maximum = Number(issue.maximum);
  if (issue.origin === 'array') return faultAt(TOO_MANY.of({ max: maximum }), path);
  const found = describeValue(valueAt(root, path));
  return faultAt(OUT_OF_RANGE.of({ found, range: `at most ${String(maximum)}` }), path);
}

function tooSmall(root: unknown, path: TextPath, issue: z.core.$ZodIssueTooSmall): UnlocatedFault {
  const minimum = Number(issue.minimum);
  if (issue.origin === 'array') return faultAt(TOO_FEW.of({ min: minimum }), path);
  const found = describeValue(valueAt(root, path));
  const comparison = issue.inclusive === false ? 'more than' : 'at least';
  return faultAt(OUT_OF_RANGE.of({ found, range: `${comparison} ${String(minimum)}` }), path);
}
