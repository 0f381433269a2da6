/**
 * Collects bytes that arrive in pieces. The pieces are copied into blocks of a fixed size, so that the
 * memory held depends on the number of bytes alone: a kept piece costs some 200 bytes of its own, and
 * it may keep the whole buffer alive that it was read with.
 */

/** Size of the blocks of a pool. */
export const BLOCK_BYTES = 16 * 1024;

/**
 * Blocks that are used again. A dropped buffer stays in memory until the next garbage collection, which
 * does not come in time while many bodies are dropped.
 */
export interface BlockPool {
  readonly take: () => Buffer;
  readonly give: (block: Buffer) => void;
  /** Frees a part of the blocks that are not in use. */
  readonly trim: () => void;
}

/** Share of the free blocks that are kept when a pool is trimmed. */
const KEPT_SHARE = 0.75;

/** Creates an empty pool. */
export function createBlockPool(): BlockPool {
  const free: Buffer[] = [];
  return {
    take: () => free.pop() ?? Buffer.allocUnsafeSlow(BLOCK_BYTES),
    give: (block) => {
      free.push(block);
    },
    trim: () => {
      free.length = Math.floor(free.length * KEPT_SHARE);
    },
  };
}

/** Collected bytes. */
export interface ByteStore {
  /** Copies a piece to the end. */
  readonly append: (piece: Uint8Array) => void;
  /** Number of bytes collected. */
  readonly length: () => number;
  /** Number of bytes of memory held: at most one block more than `length()`. */
  readonly capacity: () => number;
  /** Returns all bytes and forgets them. */
  readonly take: () => Buffer;
  /** Forgets all bytes. */
  readonly clear: () => void;
}

const EMPTY = Buffer.alloc(0);

/** Creates an empty store, for at most `maxBytes` bytes; more than these are a RangeError. */
export function createByteStore(pool: BlockPool, maxBytes = Infinity): ByteStore {
  /** The first piece, in a buffer of its own size, as most bodies come in one piece. */
  let first = EMPTY;
  let blocks: Buffer[] = [];
  let length = 0;

  function appendToBlocks(piece: Uint8Array): void {
    let copied = 0;
    while (copied < piece.length) {
      const offset = (length - first.length) % BLOCK_BYTES;
      if (offset === 0) blocks.push(pool.take());
      const block = blocks[blocks.length - 1] ?? EMPTY;
      const part = piece.subarray(copied, copied + BLOCK_BYTES - offset);
      block.set(part, offset);
      copied += part.length;
      length += part.length;
    }
  }

  function clear(): void {
    for (const block of blocks) pool.give(block);
    blocks = [];
    first = EMPTY;
    length = 0;
  }

  return {
    append: (piece) => {
      if (length + piece.length > maxBytes) throw new RangeError(`over ${String(maxBytes)} B`);
      if (length > 0) {
        appendToBlocks(piece);
        return;
      }
      first = Buffer.from(piece);
      length = piece.length;
    },
    length: () => length,
    capacity: () => first.length + blocks.length * BLOCK_BYTES,
    take: () => {
      const bytes = blocks.length === 0 ? first : Buffer.concat([first, ...blocks], length);
      clear();
      return bytes;
    },
    clear,
  };
}
