/** Parses an HTTP request to `/services/<service>/<path>` into a validated call or a refusal. */
import { createHash } from 'node:crypto';
import type { IncomingHttpHeaders } from 'node:http';
import type { Configuration, RequestKey, WorkspaceSpec } from '@cassiamast/coordination';
import { err, ok, type Result } from 'neverthrow';
import { NOT_SERVED, REQUEST_MALFORMED, type Refusal } from './failures.js';
import { readIdempotencyKey, readTimeoutMs } from './headers.js';
import { refuseNotRun, refuseWithoutLookup } from './refusals.js';
import { findPlainService, isRepeatable } from './service-directory.js';

/** Path prefix of plain services, followed by the service's name. */
export const PLAIN_PATH_PREFIX = '/services/';

const CONTENT_HASH_CHARACTERS = 32;
/** Headers that are not forwarded: hop-by-hop (RFC 9110, 7.6.1) or consumed by the entry. */
const NOT_FORWARDED_HEADERS = new Set([
  'authorization',
  'connection',
  'content-length',
  'expect',
  'host',
  'idempotency-key',
  'keep-alive',
  'prefer',
  'proxy-authorization',
  'proxy-connection',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
]);
/** Methods that HTTP defines as safe, and therefore as idempotent. */
const SAFE_METHODS = new Set(['GET', 'HEAD', 'OPTIONS']);

/** A validated call to a plain service. */
export interface PlainCall {
  readonly key: RequestKey;
  readonly keyFromCaller: boolean;
  readonly service: string;
  readonly method: string;
  /** Path and query relative to the service. */
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly bodyBase64: string;
  readonly repeatable: boolean;
  readonly timeoutMs: number;
  readonly contentHash: string;
}

/** Input of {@link parsePlainCall}. */
export interface PlainCallInput {
  readonly method: string;
  readonly url: string;
  readonly headers: IncomingHttpHeaders;
  readonly body: Buffer;
  readonly workspace: WorkspaceSpec;
  readonly configuration: Configuration;
  readonly makeKey: () => string;
}

/** Validates a call to a plain service. */
export function parsePlainCall(input: PlainCallInput): Result<PlainCall, Refusal> {
  const serviceAndPath = input.url.slice(PLAIN_PATH_PREFIX.length);
  const slash = serviceAndPath.indexOf('/');
  const name = slash < 0 ? serviceAndPath : serviceAndPath.slice(0, slash);
  const path = slash < 0 ? '/' : serviceAndPath.slice(slash);
  const service = findPlainService(input.configuration, name);
  if (service === null) {
    const failure = NOT_SERVED.of({ what: `service ${name}` });
    // An earlier attempt with this key may have run on a service that was removed since.
    const isKeyed = input.headers['idempotency-key'] !== undefined;
    return err(refuseWithoutLookup(failure, 404, null, isKeyed));
  }
  const callerKey = readIdempotencyKey(input.headers);
  if (callerKey === undefined) {
    const faults = ['Idempotency-Key: not a valid key'];
    return err(refuseNotRun(REQUEST_MALFORMED.of({ faults }), 400));
  }
  const bodyBase64 = input.body.toString('base64');
  return ok({
    key: {
      workspace: input.workspace.name,
      idempotencyKey: callerKey ?? input.makeKey(),
    },
    keyFromCaller: callerKey !== null,
    service: service.name,
    method: input.method,
    path,
    headers: endToEndHeaders(input.headers),
    bodyBase64,
    repeatable: SAFE_METHODS.has(input.method) || isRepeatable(service, path),
    timeoutMs: readTimeoutMs(input.headers, service.deadlineMs),
    contentHash: contentHash(input.method, name, path, bodyBase64),
  });
}

function endToEndHeaders(headers: IncomingHttpHeaders): Readonly<Record<string, string>> {
  const forwarded: Record<string, string> = {};
  for (const [name, value] of Object.entries(headers)) {
    if (typeof value === 'string' && !NOT_FORWARDED_HEADERS.has(name)) forwarded[name] = value;
  }
  return forwarded;
}

function contentHash(method: string, service: string, path: string, bodyBase64: string): string {
  const content = JSON.stringify([method, service, path, bodyBase64]);
  return createHash('sha256').update(content).digest('hex').slice(0, CONTENT_HASH_CHARACTERS);
}
