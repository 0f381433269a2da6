/** Formats refusals as RFC 9457 problem documents that include the error fields of OpenAI's API. */
import type { ServerResponse } from 'node:http';
import type { Refusal } from './failures.js';

const PROBLEM_TYPE = 'application/problem+json';
const TYPE_PREFIX = 'urn:cassiamast:problem:';
const MS_PER_S = 1000;

/** Converts a refusal to a problem document. */
export function toProblem(refusal: Refusal): Readonly<Record<string, unknown>> {
  const { failure, status, runState, retryAfterMs } = refusal;
  return {
    type: TYPE_PREFIX + failure.name,
    title: failure.title,
    status,
    detail: failure.message,
    hint: failure.hint,
    runState,
    ...(retryAfterMs === null ? {} : { retryAfterMs }),
    error: { message: failure.message, type: failure.name, code: failure.name, param: null },
  };
}

/** Sends a refusal as the response; does nothing if a response was already started. */
export function sendProblem(
  response: ServerResponse,
  refusal: Refusal,
  headers: Readonly<Record<string, string>> = {},
): void {
  if (response.headersSent || response.destroyed) return;
  const body = JSON.stringify(toProblem(refusal));
  response.writeHead(refusal.status, {
    ...headers,
    ...retryAfterHeader(refusal.retryAfterMs),
    'content-type': PROBLEM_TYPE,
    'content-length': Buffer.byteLength(body),
  });
  response.end(body);
}

/** Retry-After has whole seconds; rounding up prevents callers from retrying too early. */
function retryAfterHeader(retryAfterMs: number | null): Readonly<Record<string, string>> {
  if (retryAfterMs === null) return {};
  return { 'retry-after': String(Math.ceil(retryAfterMs / MS_PER_S)) };
}
