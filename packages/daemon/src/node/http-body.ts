/** Reads the body of an HTTP message up to a maximum size. */
import type { IncomingMessage } from 'node:http';
import { err, ok, type Result } from 'neverthrow';

/** Why a body was rejected. */
export enum BodyFault {
  TooLarge = 'too-large',
  Broken = 'broken',
}

/**
 * Collects the body. A body over the limit is rejected at once and the rest is discarded; otherwise
 * one caller could fill the memory that all callers share.
 */
export function readBody(
  message: IncomingMessage,
  maxBytes: number,
): Promise<Result<Buffer, BodyFault>> {
  const { promise, resolve } = withResolvers<Result<Buffer, BodyFault>>();
  const declared = Number(message.headers['content-length'] ?? 0);
  if (declared > maxBytes) return Promise.resolve(err(BodyFault.TooLarge));
  const parts: Buffer[] = [];
  let receivedBytes = 0;
  message.on('data', (part: Buffer) => {
    receivedBytes += part.length;
    if (receivedBytes > maxBytes) {
      message.removeAllListeners('data');
      message.resume();
      resolve(err(BodyFault.TooLarge));
      return;
    }
    parts.push(part);
  });
  message.on('end', () => {
    resolve(ok(Buffer.concat(parts)));
  });
  message.on('close', () => {
    resolve(err(BodyFault.Broken));
  });
  return promise;
}

/** Returns a promise with its resolver, like `Promise.withResolvers`, which Node 20 lacks. */
export function withResolvers<Value>(): {
  readonly promise: Promise<Value>;
  readonly resolve: (value: Value) => void;
} {
  let resolve!: (value: Value) => void;
  const promise = new Promise<Value>((settle) => {
    resolve = settle;
  });
  return { promise, resolve };
}
