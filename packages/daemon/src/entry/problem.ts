/** Refusals as RFC 9457 problem documents, with the members that OpenAI's clients read as well. */
import type { ServerResponse } from 'node:http';
import type { Refusal } from './failures.js';

const PROBLEM_TYPE = 'application/problem+json';
const TYPE_PREFIX = 'urn:cassiamast:problem:';
const MS_PER_S = 1000;

/** The problem document of a refusal. */
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

/** Answers with a refusal; a response that has begun can not take one. */
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

/** Retry-After counts whole seconds: rounded up, so that nobody comes back too early. */
function retryAfterHeader(retryAfterMs: number | null): Readonly<Record<string, string>> {
  if (retryAfterMs === null) return {};
  return { 'retry-after': String(Math.ceil(retryAfterMs / MS_PER_S)) };
}
