/**
 * A broken promise, as the oracle reports it.
 */

/** Thrown by an oracle when an invariant does not hold; fast-check then shrinks the run. */
export class ViolationError extends Error {
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
