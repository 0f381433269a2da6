/**
 * Answers of the gateway's own: refusals of what has not run, and failures of what may have. A
 * refusal is given at once and says when to come back; it is only given while no target can have
 * run the request.
 */
import type { ServerResponse } from 'node:http';
import type { CallerWire, OwnAnswer } from '@cassiamast/ports';
import type { Exchange } from './exchange.js';

/** Status codes of the gateway's own answers. */
export enum OwnStatus {
  NoRoute = 404,
  TooLarge = 413,
  /** A target broke off an answer; whether it ran is not known. */
  BadGateway = 502,
  /** Not run, and it never will be. */
  Refused = 503,
  /** The time is up; whether it ran is not known. */
  TimedOut = 504,
}

/** Sends an answer of the gateway's own; says whether it could still be sent. */
export function sendOwnAnswer(
  response: ServerResponse,
  wire: CallerWire,
  answer: OwnAnswer,
): boolean {
  if (response.headersSent || response.destroyed) return false;
  const body = JSON.stringify({ error: answer.reason });
  response.writeHead(answer.status, {
    ...wire.ownHeaders(answer),
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(body),
  });
  response.end(body);
  return true;
}

/** The status that is true of an exchange that can't be served. */
export function failureStatus(exchange: Exchange, timedOut: boolean): OwnStatus {
  if (!exchange.mayHaveRun) return OwnStatus.Refused;
  return timedOut ? OwnStatus.TimedOut : OwnStatus.BadGateway;
}
