/**
 * Tokenizes prompts for the engine stand-in. One word is one token, and the fingerprint of each block
 * is a hash over all words up to its end, as in real prefix caches.
 */
import { createHashing } from '@cassiamast/coordination';

const { hash64 } = await createHashing();

/** Tokens in one block of the prefix cache. */
export const BLOCK_TOKENS = 16;

/** Token count and block fingerprints of a prompt. */
export interface TokenizedPrompt {
  readonly tokens: number;
  /** Fingerprints of the complete blocks; a partial last block is never cached. */
  readonly blocks: readonly string[];
}

/** Counts the tokens of a prompt and fingerprints its blocks. Fingerprints depend on model and adapter. */
export function tokenize(prompt: string, model: string, adapter: string | null): TokenizedPrompt {
  const words = prompt.split(/\s+/).filter((word) => word !== '');
  const blocks: string[] = [];
  let chain = `${model}/${adapter ?? ''}`;
  for (let at = 0; at + BLOCK_TOKENS <= words.length; at += BLOCK_TOKENS) {
    chain = hash64(`${chain} ${words.slice(at, at + BLOCK_TOKENS).join(' ')}`).toString(16);
    blocks.push(chain);
  }
  return { tokens: Math.max(1, words.length), blocks };
}
