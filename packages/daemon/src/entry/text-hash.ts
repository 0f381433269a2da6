/**
 * The running hash of an answer's text. It stands in event ids, so that a returning caller proves
 * which text it holds and a rerun that made another text is never spliced onto it.
 */
import type { Hash64 } from '@cassiamast/coordination';

const HEX = 16;
const HASH_CHARACTERS = 16;

/** Extends a hash by one token; the empty text hashes to the empty string. */
export function extendTextHash(hash64: Hash64, previous: string, token: string): string {
  return hash64(`${previous}|${token}`).toString(HEX).padStart(HASH_CHARACTERS, '0');
}
