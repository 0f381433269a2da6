/**
 * What the targets really ran, read from the stand-ins: the callers' word is checked against it.
 */
import { TargetKind } from '@cassiamast/coordination';
import { promptFingerprint } from '@cassiamast/stand-ins';
import type { PlacedTarget } from '../deployment/layout.js';

/** Reads of the truth. */
export interface Oracle {
  /** How often any engine ran a prompt. */
  readonly promptRuns: (prompt: string) => Promise<number>;
  /** How often any plain service ran each call, by the caller's call id. */
  readonly callRuns: () => Promise<ReadonlyMap<string, number>>;
  /** Role changes that engines have made. */
  readonly roleChanges: () => Promise<number>;
}

/** Makes an oracle over the targets' stand-ins. */
export function createOracle(targets: readonly PlacedTarget[]): Oracle {
  const engines = targets.filter((target) => target.kind === TargetKind.ModelEngine);
  const services = targets.filter((target) => target.kind === TargetKind.PlainService);
  return {
    promptRuns: async (prompt) => {
      const name = promptFingerprint(prompt);
      const runs = await Promise.all(engines.map((engine) => readCounts(engine, '/runs')));
      return runs.reduce((sum, counts) => sum + (counts[name] ?? 0), 0);
    },
    callRuns: async () => {
      const total = new Map<string, number>();
      for (const counts of await Promise.all(services.map((one) => readCounts(one, '/runs')))) {
        for (const [id, runs] of Object.entries(counts)) total.set(id, (total.get(id) ?? 0) + runs);
      }
      return total;
    },
    roleChanges: async () => {
      const all = await Promise.all(engines.map((engine) => readCounts(engine, '/counts')));
      return all.reduce((sum, counts) => sum + (counts.roleChanges ?? 0), 0);
    },
  };
}

/** Counts of a stand-in; asked again while it restarts, since they outlive its crash. */
async function readCounts(
  target: PlacedTarget,
  path: string,
): Promise<Readonly<Record<string, number>>> {
  for (let attempt = 1; ; attempt++) {
    try {
      const response = await fetch(`${target.backendUrl}${path}`);
      return (await response.json()) as Record<string, number>;
    } catch (error) {
      if (attempt === MAX_ATTEMPTS) throw error;
      await new Promise((resolve) => setTimeout(resolve, RETRY_MS));
    }
  }
}

/** Longer in total than an engine's restart. */
const MAX_ATTEMPTS = 50;
const RETRY_MS = 100;
