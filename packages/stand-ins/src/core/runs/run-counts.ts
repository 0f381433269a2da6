/**
 * Counts the runs of each prompt or request for test oracles. A rejection that claims "not run" is
 * false if the prompt is counted here. The counts survive crashes of the engine.
 */
import { createHashing } from '@cassiamast/coordination';

const { hash64 } = await createHashing();

/** Maximum number of counted names; the oldest is removed first. */
const MAX_COUNTED = 100_000;

/** Number of runs by name, such as a {@link promptFingerprint} or a request id. */
export type RunCounts = Map<string, number>;

/** Returns the name under which runs of a prompt are counted. */
export function promptFingerprint(prompt: string): string {
  return hash64(prompt).toString(16);
}

/** Counts a run under a name and returns the new count. */
export function countRun(runs: RunCounts, name: string): number {
  const count = (runs.get(name) ?? 0) + 1;
  runs.set(name, count);
  if (runs.size > MAX_COUNTED) {
    const oldest = runs.keys().next();
    if (oldest.done !== true) runs.delete(oldest.value);
  }
  return count;
}
