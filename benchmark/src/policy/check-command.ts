/** `npm run bench -- check`: holds the figures of the virtual clock against bounds.yaml. */
import { createHashing } from '@cassiamast/coordination';
import { brokenBounds, playOurs, readPolicyBounds } from './check.js';

/** Runs the command; gives exit code 1 where a bound is broken. */
export async function runCheckCommand(): Promise<number> {
  const { hash32 } = await createHashing();
  const { seed, traces } = readPolicyBounds();
  let broken = 0;
  for (const [name, bounds] of Object.entries(traces)) {
    const figures = playOurs(name, seed, hash32);
    const faults = figures === null ? ['there is no such trace'] : brokenBounds(figures, bounds);
    broken += faults.length;
    process.stdout.write(`${name}: ${faults.length === 0 ? 'within bounds' : faults.join('; ')}\n`);
  }
  return broken === 0 ? 0 : 1;
}
