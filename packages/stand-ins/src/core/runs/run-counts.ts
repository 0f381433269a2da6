/**
 * How often each prompt was run, for oracles: a refusal that says "not run" of a prompt that is
 * counted here is false. Outlives crashes of the engine.
 */
import { createHashing } from '@cassiamast/coordination';

const { hash64 } = await createHashing();

/** Prompts that are remembered; the oldest is forgotten first. */
const MAX_REMEMBERED = 100_000;

/** Runs by {@link promptFingerprint}. */
export type RunCounts = Map<string, number>;

/** The name under which a prompt's runs are counted. */
export function promptFingerprint(prompt: string): string {
  return hash64(prompt).toString(16);
}

/** Counts a run under a name. */
export function countRun(runs: RunCounts, name: string): number {
  const count = (runs.get(name) ?? 0) + 1;
  runs.set(name, count);
  if (runs.size > MAX_REMEMBERED) {
    const oldest = runs.keys().next();
    if (oldest.done !== true) runs.delete(oldest.value);
  }
  return count;
}
