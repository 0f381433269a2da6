/**
 * Faults of the key-value stand-in, set by its handle or by `POST /faults`.
 */

/** What is wrong with the service at the moment. */
export interface KeyValueFaults {
  /** Refuses connections' requests by breaking them, and breaks the watches. */
  down: boolean;
  /** Each answer waits this long. */
  slowMs: number;
  /** That many of the next writes take effect, but their connection breaks before the answer. */
  loseAnswers: number;
  /** That many of the next changes are told to no watch. */
  dropWatchEvents: number;
  /** That many of the next changes are told to each watch twice. */
  repeatWatchEvents: number;
  /** That many of the next changes are followed by the key's oldest change still in the history. */
  staleWatchEvents: number;
}

/** No fault. */
export function noFaults(): KeyValueFaults {
  return {
    down: false,
    slowMs: 0,
    loseAnswers: 0,
    dropWatchEvents: 0,
    repeatWatchEvents: 0,
    staleWatchEvents: 0,
  };
}

/** Takes one of a limited number of occurrences. */
export function takeOne(
  faults: KeyValueFaults,
  name: 'loseAnswers' | 'dropWatchEvents' | 'repeatWatchEvents' | 'staleWatchEvents',
): boolean {
  if (faults[name] <= 0) return false;
  faults[name] -= 1;
  return true;
}
