/**
 * The engine's statuses and its error object.
 */
import type { ServerResponse } from 'node:http';
import { sendJson } from '../http/http-server.js';

/** Statuses that the engine answers with. */
export enum Status {
  Ok = 200,
  Accepted = 202,
  Invalid = 400,
  NotFound = 404,
  Conflict = 409,
  TooMany = 429,
  Unavailable = 503,
}

/** Answers with the protocol's error object. */
export function sendError(
  response: ServerResponse,
  status: number,
  error: { readonly code: string; readonly message: string; readonly [more: string]: unknown },
): void {
  sendJson(response, status, { error });
}
