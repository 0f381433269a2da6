/**
 * The demo's command line.
 */
import { parseArgs } from 'node:util';
import { DeploymentName } from '../deployment/files.js';

const DEFAULT_DURATION_S = 10;
const DEFAULT_SEED = 1;
const DEFAULT_RATE_PER_S = 14;

/** What one run of the demo does. */
export interface DemoOptions {
  readonly deployment: DeploymentName;
  readonly durationS: number;
  readonly seed: number;
  readonly faults: boolean;
  /** No progress display; the last line is JSON in any case. */
  readonly json: boolean;
  /** Requests a second. */
  readonly ratePerS: number;
  /** Null takes free ports. */
  readonly basePort: number | null;
}

/** How to call the demo. */
export const USAGE =
  'Usage: npm run demo -- [--deployment kalahari|tengis] [--duration-s 10] [--seed 1] ' +
  '[--rate-per-s 14] [--base-port N] [--faults] [--json]';

/** Reads the arguments; null when one is wrong. */
export function readOptions(args: readonly string[]): DemoOptions | null {
  const values = parse(args);
  if (values === null) return null;
  const deployment = Object.values(DeploymentName).find((name) => name === values.deployment);
  const durationS = Number(values['duration-s'] ?? DEFAULT_DURATION_S);
  const seed = Number(values.seed ?? DEFAULT_SEED);
  const ratePerS = Number(values['rate-per-s'] ?? DEFAULT_RATE_PER_S);
  const basePort = values['base-port'] === undefined ? null : Number(values['base-port']);
  if (deployment === undefined || !Number.isSafeInteger(seed)) return null;
  if (!(durationS > 0) || !(ratePerS > 0) || Number.isNaN(basePort)) return null;
  const { faults, json } = values;
  return { deployment, durationS, seed, ratePerS, basePort, faults, json };
}

function parse(args: readonly string[]) {
  try {
    return parseArgs({
      args: [...args],
      options: {
        deployment: { type: 'string', default: DeploymentName.Kalahari },
        'duration-s': { type: 'string' },
        seed: { type: 'string' },
        'rate-per-s': { type: 'string' },
        'base-port': { type: 'string' },
        faults: { type: 'boolean', default: false },
        json: { type: 'boolean', default: false },
      },
    }).values;
  } catch {
    // An unknown option: the usage says what there is.
    return null;
  }
}
