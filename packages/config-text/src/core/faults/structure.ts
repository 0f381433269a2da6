/**
 * Turns what zod finds into the catalogue's faults, one for each.
 */
import type { Failure } from '@cassiamast/coordination';
import type { z } from 'zod';
import { quoted } from '../quantities/quantity.js';
import { knownFields } from '../schema/known-fields.js';
import type { TextPath, UnplacedFault } from './fault.js';
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

const TYPE_WORDS: Readonly<Record<string, string>> = {
  array: 'a list',
  object: 'a mapping',
  record: 'a mapping',
  string: 'a text',
  number: 'a number',
  int: 'a whole number',
  boolean: 'true or false',
};

/** The value at a path of plain data; undefined where the path ends early. */
export function valueAt(root: unknown, path: TextPath): unknown {
  let value = root;
  for (const part of path) {
    if (typeof value !== 'object' || value === null || !Object.hasOwn(value, part))
      return undefined;
    value = (value as Record<string | number, unknown>)[part];
  }
  return value;
}

function foundWord(value: unknown): string {
  if (value === null || value === undefined) return 'nothing';
  if (Array.isArray(value)) return 'a list';
  if (typeof value === 'object') return 'a mapping';
  return quoted(value);
}

function at(failure: Failure, path: TextPath, atKey = false): UnplacedFault {
  return { failure, path, atKey };
}

function unknownFields(path: TextPath, fields: readonly string[]): UnplacedFault[] {
  const known = knownFields(path);
  return fields.map((field) => {
    const failure = UNKNOWN_FIELD.of({ field: quoted(field), nearest: nearestName(field, known) });
    return at(failure, [...path, field], true);
  });
}

function wrongType(root: unknown, path: TextPath, expected: string): UnplacedFault {
  const value = valueAt(root, path);
  if (value === undefined) return missing(path);
  const failure = WRONG_TYPE.of({
    expected: TYPE_WORDS[expected] ?? expected,
    found: foundWord(value),
  });
  return at(failure, path);
}

function missing(path: TextPath): UnplacedFault {
  return at(MISSING_FIELD.of({ field: String(path.at(-1) ?? 'text') }), path, true);
}

function carriedFailure(issue: Issue): Failure | null {
  if (issue.code !== 'custom') return null;
  const failure: unknown = issue.params?.failure;
  return failure === undefined ? null : (failure as Failure);
}

/** The faults that one issue stands for. */
export function structureFaults(root: unknown, issue: Issue): UnplacedFault[] {
  const path = issue.path.filter((part) => typeof part !== 'symbol');
  const carried = carriedFailure(issue);
  if (carried !== null) {
    return [valueAt(root, path) === undefined ? missing(path) : at(carried, path)];
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
        at(MALFORMED.of({ found: foundWord(valueAt(root, path)), expected: issue.message }), path),
      ];
  }
}

function invalidValue(root: unknown, path: TextPath, allowed: readonly unknown[]): UnplacedFault {
  const value = valueAt(root, path);
  if (value === undefined) return missing(path);
  const expected = `one of: ${allowed.map(quoted).join(', ')}`;
  return at(MALFORMED.of({ found: foundWord(value), expected }), path);
}

function tooBig(root: unknown, path: TextPath, issue: z.core.$ZodIssueTooBig): UnplacedFault {
  const maximum = Number(issue.maximum);
  if (issue.origin === 'array') return at(TOO_MANY.of({ max: maximum }), path);
  const found = foundWord(valueAt(root, path));
  return at(OUT_OF_RANGE.of({ found, range: `at most ${String(maximum)}` }), path);
}

function tooSmall(root: unknown, path: TextPath, issue: z.core.$ZodIssueTooSmall): UnplacedFault {
  const minimum = Number(issue.minimum);
  if (issue.origin === 'array') return at(TOO_FEW.of({ min: minimum }), path);
  const found = foundWord(valueAt(root, path));
  const words = issue.inclusive === false ? 'more than' : 'at least';
  return at(OUT_OF_RANGE.of({ found, range: `${words} ${String(minimum)}` }), path);
}
