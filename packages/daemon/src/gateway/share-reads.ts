/**
 * Shares one read between concurrent requests. A request that comes while a read is under way gets the
 * next one, as it needs what was written before it came.
 */

/** Returns a function that resolves with the result of a read that begins after the call. */
export function shareReads<Answer>(read: () => Promise<Answer>): () => Promise<Answer> {
  let running: Promise<Answer> | null = null;
  let next: Promise<Answer> | null = null;

  function begin(): Promise<Answer> {
    const reading = read().finally(() => {
      if (running === reading) running = null;
    });
    running = reading;
    return reading;
  }

  async function beginAfter(earlier: Promise<Answer>): Promise<Answer> {
    // Its own callers handle its failure.
    await earlier.catch(() => null);
    next = null;
    return begin();
  }

  return () => {
    if (running === null) return begin();
    next ??= beginAfter(running);
    return next;
  };
}
