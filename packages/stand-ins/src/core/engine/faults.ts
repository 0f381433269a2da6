/**
 * Faults of the engine stand-in, set by its handle or by `POST /faults`.
 */

/** What goes wrong; counts are used up. */
export interface EngineFaults {
  /** That many of the next orders are carried out, but their answer is lost. */
  loseOrderAnswers: number;
  /** That many of the next orders crash the engine before they are done. */
  crashDuringOrders: number;
  /** That many of the next KV exports fail halfway. */
  failKvExports: number;
  /** Load reports stay as they are. */
  freezeLoad: boolean;
  /** Steps take this many times as long. */
  slowFactor: number;
}

/** No fault. */
export function noEngineFaults(): EngineFaults {
  return {
    loseOrderAnswers: 0,
    crashDuringOrders: 0,
    failKvExports: 0,
    freezeLoad: false,
    slowFactor: 1,
  };
}

/** Takes one of a limited number of occurrences. */
export function takeFault(
  faults: EngineFaults,
  name: 'loseOrderAnswers' | 'crashDuringOrders' | 'failKvExports',
): boolean {
  if (faults[name] <= 0) return false;
  faults[name] -= 1;
  return true;
}
