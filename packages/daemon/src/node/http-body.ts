/** Reads the body of an HTTP message up to a maximum size. */
import type { IncomingMessage } from 'node:http';
import { createByteStore } from '@cassiamast/coordination';
import { err, ok, type Result } from 'neverthrow';
import type { RequestHold } from './client-guard.js';
import { withResolvers } from './promises.js';

/** Why a body was rejected. */
export enum BodyFault {
  TooLarge = 'too-large',
  Broken = 'broken',
  /** All clients of the process together hold too much. */
  Refused = 'refused',
}

/**
 * Collects the body. A body over the limit is rejected at once, and so is one that the guard of the
 * process refuses; the rest is discarded until its connection ends.
 */
export function readBody(
  message: IncomingMessage,
  maxBytes: number,
  hold: RequestHold,
): Promise<Result<Buffer, BodyFault>> {
  const { promise, resolve } = withResolvers<Result<Buffer, BodyFault>>();
  const store = createByteStore(hold.blocks, maxBytes);
  let isOver = false;
  const reject = (fault: BodyFault): void => {
    if (isOver) return;
    isOver = true;
    message.off('data', add);
    message.resume();
    store.clear();
    hold.setBodyBytes(0);
    if (fault !== BodyFault.Broken) hold.endConnection();
    resolve(err(fault));
  };
  const add = (part: Buffer): void => {
    if (store.length() + part.length > maxBytes) {
      reject(BodyFault.TooLarge);
      return;
    }
    const capacity = store.capacity();
    store.append(part);
    if (store.capacity() !== capacity) hold.setBodyBytes(store.capacity());
  };
  hold.onRefused(() => {
    reject(BodyFault.Refused);
  });
  if (Number(message.headers['content-length'] ?? 0) > maxBytes) {
    reject(BodyFault.TooLarge);
    return promise;
  }
  message.on('data', add);
  message.on('end', () => {
    isOver = true;
    hold.noteWhole();
    const body = store.take();
    hold.setBodyBytes(body.length);
    resolve(ok(body));
  });
  message.on('close', () => {
    reject(BodyFault.Broken);
  });
  return promise;
}
