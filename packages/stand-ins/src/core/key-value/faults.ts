/**
 * Injectable faults of the key-value stand-in, set through its handle or by `POST /faults`.
 */

/** Faults to inject. Counts decrease by one with each occurrence. */
export interface KeyValueFaults {
  /** Whether the service closes the connection of every request and of every watch. */
  down: boolean;
  /** Delay of each answer. */
  slowMs: number;
  /** Number of upcoming writes that take effect but whose connection closes before the answer. */
  loseAnswers: number;
  /** Number of upcoming changes that are sent to no watch. */
  dropWatchEvents: number;
  /** Number of upcoming changes that are sent to each watch twice. */
  repeatWatchEvents: number;
  /** Number of upcoming changes that are followed by the key's oldest change in the watch history. */
  staleWatchEvents: number;
}

/** Returns settings that inject no fault. */
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

/** Consumes one occurrence of a counted fault. Returns whether the fault occurs now. */
export function consumeFault(
  faults: KeyValueFaults,
  name: 'loseAnswers' | 'dropWatchEvents' | 'repeatWatchEvents' | 'staleWatchEvents',
): boolean {
  if (faults[name] <= 0) return false;
  faults[name] -= 1;
  return true;
}
