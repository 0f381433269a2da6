/** Reading a request's body with bounds on size and time. */
import type { IncomingMessage } from 'node:http';
import { err, ok, type Result } from 'neverthrow';

/** Why a body was not taken. */
export enum BodyFault {
  TooLarge = 'too-large',
  Broken = 'broken',
}

/**
 * Collects the body. A body over the bound is refused as soon as it is, without keeping the rest:
 * otherwise one caller fills the memory that all others share.
 */
export function readBody(
  message: IncomingMessage,
  maxBytes: number,
): Promise<Result<Buffer, BodyFault>> {
  const { promise, resolve } = withResolvers<Result<Buffer, BodyFault>>();
  const declared = Number(message.headers['content-length'] ?? 0);
  if (declared > maxBytes) return Promise.resolve(err(BodyFault.TooLarge));
  const parts: Buffer[] = [];
  let bytes = 0;
  message.on('data', (part: Buffer) => {
    bytes += part.length;
    if (bytes > maxBytes) {
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

/** A promise with its resolver outside; Node 20 does not bring it. */
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
