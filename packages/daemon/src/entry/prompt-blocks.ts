/**
 * Fingerprints the blocks of a prompt, so that an entry can recognise prefixes that a target has
 * cached. Entries do not tokenize prompts; blocks of characters work equally well because only the
 * equality of prefixes matters.
 */
import type { Hash32 } from '@cassiamast/coordination';

/** Average token length in English text over common vocabularies. */
const CHARACTERS_PER_TOKEN = 4;
/** Limits fingerprints to a prefix of about 16,000 tokens, which is enough to select a target. */
const MAX_BLOCKS = 64;

/** Estimates the number of tokens in a text. */
export function estimateTokens(text: string): number {
  return Math.ceil(text.length / CHARACTERS_PER_TOKEN);
}

/** Fingerprints the complete blocks of a text; each fingerprint also covers the text before it. */
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
