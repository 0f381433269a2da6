/**
 * Collects bytes that arrive in pieces in one buffer that grows. The memory held depends on the number
 * of bytes alone: a list of pieces of one byte each would hold some hundred times as much.
 */

const EMPTY = Buffer.alloc(0);
/** A buffer that has to grow has at least this size. */
const MIN_GROWN_BYTES = 256;

/** Collected bytes. */
export interface ByteBuffer {
  /** Copies a piece to the end. */
  readonly append: (piece: Uint8Array) => void;
  /** Number of bytes collected. */
  readonly length: () => number;
  /** Number of bytes of memory held: at most twice `length()`, or 256. */
  readonly capacity: () => number;
  /** Returns all bytes. */
  readonly bytes: () => Buffer;
  /** Returns all bytes and forgets them. */
  readonly take: () => Buffer;
}

/** Creates an empty buffer. */
export function createByteBuffer(): ByteBuffer {
  let buffer = EMPTY;
  let length = 0;

  function grow(neededBytes: number): void {
    const isFirst = length === 0;
    const size = isFirst ? neededBytes : Math.max(2 * buffer.length, neededBytes, MIN_GROWN_BYTES);
    const grown = Buffer.allocUnsafe(size);
    buffer.copy(grown, 0, 0, length);
    buffer = grown;
  }

  return {
    append: (piece) => {
      if (length + piece.length > buffer.length) grow(length + piece.length);
      buffer.set(piece, length);
      length += piece.length;
    },
    length: () => length,
    capacity: () => buffer.length,
    bytes: () => buffer.subarray(0, length),
    take: () => {
      const bytes = buffer.subarray(0, length);
      buffer = EMPTY;
      length = 0;
      return bytes;
    },
  };
}
