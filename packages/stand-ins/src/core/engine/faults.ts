/**
 * Injectable faults of the engine stand-in, set through its handle or by `POST /faults`.
 */

/** Faults to inject. Counts decrease by one with each occurrence. */
export interface EngineFaults {
  /** Number of upcoming orders that are executed but whose answer is lost. */
  loseOrderAnswers: number;
  /** Number of upcoming orders that crash the engine before they complete. */
  crashDuringOrders: number;
  /** Number of upcoming KV exports that fail halfway. */
  failKvExports: number;
  /** Whether load reports stop being updated. */
  freezeLoad: boolean;
  /** Factor by which the duration of a step is multiplied. */
  slowFactor: number;
}

/** Returns settings that inject no fault. */
export function noEngineFaults(): EngineFaults {
  return {
    loseOrderAnswers: 0,
    crashDuringOrders: 0,
    failKvExports: 0,
    freezeLoad: false,
    slowFactor: 1,
  };
}

/** Consumes one occurrence of a counted fault. Returns whether the fault occurs now. */
export function consumeFault(
  faults: EngineFaults,
  name: 'loseOrderAnswers' | 'crashDuringOrders' | 'failKvExports',
): boolean {
  if (faults[name] <= 0) return false;
  faults[name] -= 1;
  return true;
}
