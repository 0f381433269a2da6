/**
 * Field types used by the text's schema: names, addresses, digests and quantities. Each attaches a
 * typed failure to the `params` of its zod issues.
 */
import { isIP } from 'node:net';
import type { Address, Failure } from '@cassiamast/coordination';
import { z } from 'zod';
import { MAX_NAME_LENGTH } from '../compile/limits.js';
import { MALFORMED } from '../faults/failures.js';
import {
  parseQuantity,
  quantityPattern,
  quoted,
  type Dimension,
  type QuantityRange,
} from '../quantities/quantity.js';

/** The `params` of a zod issue that a field type reports. */
export interface FaultParams {
  readonly failure: Failure;
}

const NAME_PATTERN = /^[a-z0-9]([a-z0-9.-]*[a-z0-9])?$/;
const VERSION_PATTERN = /^[A-Za-z0-9][A-Za-z0-9._-]*$/;
const MODEL_PATTERN = /^[A-Za-z0-9][A-Za-z0-9._/:-]*$/;
const PATH_PATTERN = /^\/[A-Za-z0-9._~/-]*$/;
const DIGEST_PATTERN = /^[0-9a-f]{64}$/;
const ADDRESS_PATTERN = /^(?:\[([^\]]+)\]|([^:[\]]+)):(\d{1,5})$/;
const MAX_PORT = 65_535;
const MAX_MODEL_LENGTH = 128;
const MAX_PATH_LENGTH = 256;

type TextCheck = (value: string) => Failure | null;

function checkedText(check: TextCheck) {
  return z.string().superRefine((value, context) => {
    const failure = check(value);
    if (failure !== null) context.addIssue({ code: 'custom', params: { failure } });
  });
}

function matching(pattern: RegExp, maxLength: number, expected: string): TextCheck {
  return (value) =>
    value.length <= maxLength && pattern.test(value)
      ? null
      : MALFORMED.of({ found: quoted(value), expected });
}

/** The name of a service, target, workspace or failure domain. */
export const nameField = checkedText(
  matching(
    NAME_PATTERN,
    MAX_NAME_LENGTH,
    `a name of at most ${String(MAX_NAME_LENGTH)} small letters, digits, "-" and "."`,
  ),
).meta({ pattern: NAME_PATTERN.source, maxLength: MAX_NAME_LENGTH });

/** The name of a model or adapter, as used in requests. */
export const modelField = checkedText(
  matching(
    MODEL_PATTERN,
    MAX_MODEL_LENGTH,
    `a model name of at most ${String(MAX_MODEL_LENGTH)} letters, digits, ".", "_", "/", ":" and "-"`,
  ),
).meta({ pattern: MODEL_PATTERN.source, maxLength: MAX_MODEL_LENGTH });

/** A model's version. */
export const versionField = checkedText(
  matching(VERSION_PATTERN, MAX_NAME_LENGTH, 'a version, such as "2026-11"; put numbers in quotes'),
).meta({ pattern: VERSION_PATTERN.source, maxLength: MAX_NAME_LENGTH });

/** The path prefix of calls to a plain service. */
export const pathField = checkedText(
  matching(PATH_PATTERN, MAX_PATH_LENGTH, 'a path that begins with "/"'),
).meta({ pattern: PATH_PATTERN.source, maxLength: MAX_PATH_LENGTH });

/** The SHA-256 digest of an API key. The key itself must not appear in the text. */
export const digestField = checkedText(
  // The message omits the value, because it may be a key that was pasted instead of its digest.
  (value) =>
    DIGEST_PATTERN.test(value)
      ? null
      : MALFORMED.of({
          found: 'this value',
          expected: 'a SHA-256 digest of 64 small hex digits; never put the key itself here',
        }),
).meta({ pattern: DIGEST_PATTERN.source });

/** Parses `IP:port`. Returns null if the text is not a valid address. */
export function parseAddress(text: string): Address | null {
  const match = ADDRESS_PATTERN.exec(text);
  if (match === null) return null;
  const host = match[1] ?? match[2] ?? '';
  const port = Number(match[3]);
  const family = match[1] === undefined ? 4 : 6;
  if (isIP(host) !== family || port < 1 || port > MAX_PORT) return null;
  return { host, port };
}

/** An IP address and port, such as `10.1.0.11:7000` or `[fd00::1]:7000`. */
export const addressField = z
  .string()
  .transform((value, context): Address => {
    const address = parseAddress(value);
    if (address !== null) return address;
    const expected = 'an IP number and a port, such as 10.1.0.11:7000';
    const failure = MALFORMED.of({ found: quoted(value), expected });
    context.issues.push({ code: 'custom', input: value, params: { failure } });
    return z.NEVER;
  })
  .meta({ examples: ['10.1.0.11:7000'] });

/** A quantity within a range, converted to the base unit of its dimension. */
export function quantityField(dimension: Dimension, range: QuantityRange, description: string) {
  return z
    .unknown()
    .meta({
      type: 'string',
      pattern: quantityPattern(dimension),
      description: `${description} From ${range.min} to ${range.max}.`,
    })
    .transform((value, context): number => {
      const result = parseQuantity(value, dimension, range);
      if (result.isOk()) return result.value;
      const failure = result.error;
      context.issues.push({ code: 'custom', input: value, params: { failure } });
      return z.NEVER;
    });
}
