/**
 * A broken promise, as the oracle reports it.
 */

/** Thrown by an oracle when an invariant does not hold; fast-check then shrinks the run. */
export class ViolationError extends Error {
  /** What happened in the run, one line each, filled in by the runner. */
  story: readonly string[] = [];

  constructor(
    /** Names the promise, kebab-case. */
    readonly promise: string,
    detail: string,
  ) {
    super(`${promise}: ${detail}`);
    this.name = 'ViolationError';
  }
}

/** Checks one invariant. */
export function holds(condition: boolean, promise: string, detail: () => string): void {
  if (!condition) throw new ViolationError(promise, detail());
}
