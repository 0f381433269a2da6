/**
 * How the stand-in counts and fingerprints a prompt: one word is one token, and each block of
 * words is named by a hash over all words up to its end, as prefix caches do.
 */
import { createHashing } from '@cassiamast/coordination';

const { hash64 } = await createHashing();

/** Tokens in one block of the prefix cache. */
export const BLOCK_TOKENS = 16;

/** A prompt as the engine holds it. */
export interface TokenizedPrompt {
  readonly tokens: number;
  /** Fingerprints of the whole blocks; a partial last block is never cached. */
  readonly blocks: readonly string[];
}

/** Counts and fingerprints a prompt. The same words after another model or adapter differ. */
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
