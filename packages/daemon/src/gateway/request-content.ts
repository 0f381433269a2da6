/** Identifies what a request asks a target to run, whoever sends it and however often. */
import { createHash } from 'node:crypto';

/** Digits kept of a content's hex hash, enough that no two requests of a day collide. */
const HASH_DIGITS = 24;

/** The parts of a request that make up its content. */
export interface RequestContent {
  /** Host of the route. */
  readonly host: string;
  readonly method: string;
  readonly path: string;
  readonly body: Buffer;
}

/**
 * Returns a function that hashes a content when it is first called. The hash covers nothing of the
 * caller: a caller sends the same request from several addresses.
 */
export function lazyContentHash({ host, method, path, body }: RequestContent): () => string {
  let hash: string | null = null;
  return () => {
    if (hash !== null) return hash;
    const hasher = createHash('sha256').update(`${host}\n${method}\n${path}\n`);
    hash = hasher.update(body).digest('hex').slice(0, HASH_DIGITS);
    return hash;
  };
}
