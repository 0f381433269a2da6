/**
 * Hashing as an argument. Placement (rendezvous hashing) and fingerprints need a fast, stable
 * 64-bit hash that gives the same answer in every process; {@link createHash} supplies xxHash64.
 */
import xxhash from 'xxhash-wasm';

/** Hashes a text to an unsigned 64-bit number. The same in every process and version. */
export type Hash64 = (text: string) => bigint;

/** Hashes a text to an unsigned 32-bit number. The same in every process and version. */
export type Hash32 = (text: string) => number;

/** The hash functions of a process. */
export interface Hashing {
  readonly hash32: Hash32;
  readonly hash64: Hash64;
}

/** Loads the hash functions; asynchronous only because WebAssembly is compiled on first use. */
export async function createHashing(): Promise<Hashing> {
  const { h32, h64 } = await xxhash();
  return { hash32: (text) => h32(text), hash64: (text) => h64(text) };
}
