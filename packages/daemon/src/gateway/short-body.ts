/**
 * Bounds the bodies of answers that are short by their nature: failures, rejections and the handles
 * of prefilled prompts. A faulty target may send such a body without end, or never end it.
 */

/** A gateway with little memory may buffer a hundred of them. */
const MAX_BYTES = 128 * 1024;
/** Time from the head of the answer to the end of its body, with a loss or two on the way. */
const TIMEOUT_MS = 1000;

/** Watches one body. */
export interface ShortBody {
  /** Returns a reason if the body is over its limit, null otherwise. */
  readonly addBytes: (bytes: number) => string | null;
  readonly stop: () => void;
}

/** Starts to watch a body whose head was received; `onFault` is called if it does not end in time. */
export function watchShortBody(onFault: (fault: string) => void): ShortBody {
  let receivedBytes = 0;
  let isOver = false;
  const timer = setTimeout(() => {
    // After an event loop stall, the timer is due before what has arrived meanwhile is read.
    setImmediate(() => {
      if (!isOver) onFault(`the body did not end within ${String(TIMEOUT_MS)} ms`);
    });
  }, TIMEOUT_MS);
  return {
    addBytes: (bytes) => {
      receivedBytes += bytes;
      return receivedBytes > MAX_BYTES ? `the body is over ${String(MAX_BYTES)} B` : null;
    },
    stop: () => {
      isOver = true;
      clearTimeout(timer);
    },
  };
}
