/**
 * Fingerprints of a prompt's blocks, by which an entry recognises prefixes that a target has in its
 * cache. An entry does not know the engine's tokens; a block of characters serves as well, since
 * only equality of whole beginnings matters.
 */
import type { Hash32 } from '@cassiamast/coordination';

/** Characters of a token of English text, on average over common vocabularies. */
const CHARACTERS_PER_TOKEN = 4;
/** Blocks looked at: beyond some 16,000 tokens the beginning alone decides well enough. */
const MAX_BLOCKS = 64;

/** Tokens that a text probably has. */
export function estimateTokens(text: string): number {
  return Math.ceil(text.length / CHARACTERS_PER_TOKEN);
}

/** Fingerprints of the whole blocks of a text; each covers all text before it. */
export function fingerprintBlocks(
  text: string,
  blockTokens: number,
  hash32: Hash32,
): readonly string[] {
  const characters = blockTokens * CHARACTERS_PER_TOKEN;
  const blocks: string[] = [];
  let previous = '';
  for (let end = characters; end <= text.length && blocks.length < MAX_BLOCKS; end += characters) {
    previous = String(hash32(`${previous}/${text.slice(end - characters, end)}`));
    blocks.push(previous);
  }
  return blocks;
}
