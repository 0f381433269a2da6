/**
 * Waiting without keeping the process alive: a stand-in that was stopped while something in it was
 * slow must not hold up the end of its process.
 */

/** Resolves after so many milliseconds. */
export function delay(ms: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, ms).unref();
  });
}
