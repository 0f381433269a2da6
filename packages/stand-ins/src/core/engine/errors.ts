/**
 * HTTP status codes and error responses of the engine.
 */
import type { ServerResponse } from 'node:http';
import { sendJson } from '../http/http-server.js';

/** HTTP status codes that the engine uses. */
export enum Status {
  Ok = 200,
  Accepted = 202,
  Invalid = 400,
  NotFound = 404,
  Conflict = 409,
  TooMany = 429,
  Unavailable = 503,
}

/** Sends the protocol's error object. */
export function sendError(
  response: ServerResponse,
  status: number,
  error: { readonly code: string; readonly message: string; readonly [more: string]: unknown },
): void {
  sendJson(response, status, { error });
}
