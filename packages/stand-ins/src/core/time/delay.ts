/**
 * Delays that do not keep the process alive, so a pending slow response of a stopped stand-in does not
 * delay the exit of its process.
 */

/** Resolves after `ms` milliseconds, unless the process exits first. */
export function delay(ms: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, ms).unref();
  });
}
