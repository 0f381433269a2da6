/**
 * Provides xxHash functions that are passed as arguments. Placement (rendezvous hashing) and
 * fingerprints need a fast hash that returns the same value in every process.
 * {@link createHashing} creates the functions. A process that hashes only a few short texts takes
 * {@link hash32}, which needs no WebAssembly and therefore no work at startup.
 */
import { xxHash32 } from 'js-xxhash';
import xxhash from 'xxhash-wasm';

/** Hashes a text to an unsigned 64-bit number that is the same in every process and version. */
export type Hash64 = (text: string) => bigint;

/** Hashes a text to an unsigned 32-bit number that is the same in every process and version. */
export type Hash32 = (text: string) => number;

/** The hash functions of a process. */
export interface Hashing {
  readonly hash32: Hash32;
  readonly hash64: Hash64;
}

/**
 * Hashes a text to an unsigned 32-bit number without WebAssembly: available at once, but several
 * times slower than the same function of {@link createHashing}, which returns the same values.
 */
export const hash32: Hash32 = (text) => xxHash32(text);

/** Loads the hash functions. Asynchronous only because WebAssembly is compiled on first use. */
export async function createHashing(): Promise<Hashing> {
  const { h32, h64 } = await xxhash();
  return { hash32: (text) => h32(text), hash64: (text) => h64(text) };
}
