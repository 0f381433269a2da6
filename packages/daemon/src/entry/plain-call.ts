/** Turns an HTTP exchange on `/services/<service>/<path>` into a checked call or a refusal. */
import { createHash } from 'node:crypto';
import type { IncomingHttpHeaders } from 'node:http';
import type { Configuration, RequestKey, WorkspaceSpec } from '@cassiamast/coordination';
import { err, ok, type Result } from 'neverthrow';
import { NOT_SERVED, REQUEST_MALFORMED, type Refusal } from './failures.js';
import { readIdempotencyKey, readTimeoutMs } from './headers.js';
import { refuseNotRun, refuseUnseen } from './refusals.js';
import { findPlainService, isRepeatable } from './service-directory.js';

/** Paths of plain services begin with this, then the service's name. */
export const PLAIN_PATH_PREFIX = '/services/';

const CONTENT_HASH_CHARACTERS = 32;
/** Headers that belong to one hop (RFC 9110, 7.6.1), or that are ours. */
const OWN_HEADERS = new Set([
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
/** Methods that HTTP itself defines as idempotent and safe. */
const SAFE_METHODS = new Set(['GET', 'HEAD', 'OPTIONS']);

/** A call of a plain service. */
export interface PlainCall {
  readonly key: RequestKey;
  readonly keyFromCaller: boolean;
  readonly service: string;
  readonly method: string;
  /** Path and query at the service. */
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly bodyBase64: string;
  readonly repeatable: boolean;
  readonly timeoutMs: number;
  readonly contentHash: string;
}

/** What a plain call is made from. */
export interface PlainCallInput {
  readonly method: string;
  readonly url: string;
  readonly headers: IncomingHttpHeaders;
  readonly body: Buffer;
  readonly workspace: WorkspaceSpec;
  readonly configuration: Configuration;
  readonly makeKey: () => string;
}

/** Checks a call. */
export function parsePlainCall(input: PlainCallInput): Result<PlainCall, Refusal> {
  const rest = input.url.slice(PLAIN_PATH_PREFIX.length);
  const slash = rest.indexOf('/');
  const name = slash < 0 ? rest : rest.slice(0, slash);
  const path = slash < 0 ? '/' : rest.slice(slash);
  const service = findPlainService(input.configuration, name);
  if (service === null) {
    const failure = NOT_SERVED.of({ what: `service ${name}` });
    // A service that was removed meanwhile may have run an earlier sending of this key.
    const isKeyed = input.headers['idempotency-key'] !== undefined;
    return err(refuseUnseen(failure, 404, null, isKeyed));
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
  const kept: Record<string, string> = {};
  for (const [name, value] of Object.entries(headers)) {
    if (typeof value === 'string' && !OWN_HEADERS.has(name)) kept[name] = value;
  }
  return kept;
}

function contentHash(method: string, service: string, path: string, bodyBase64: string): string {
  const content = JSON.stringify([method, service, path, bodyBase64]);
  return createHash('sha256').update(content).digest('hex').slice(0, CONTENT_HASH_CHARACTERS);
}
