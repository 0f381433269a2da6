/**
 * All worlds. A world is bound to its simulation's type here, so that the command line can run any.
 */
import type { FaultCounts } from '../kit/faults.js';
import { runWorld } from '../kit/runner.js';
import type { RunOptions, RunReport } from '../kit/runner.js';
import type { World } from '../kit/world.js';
import { createAuthorityWorld } from './authority/world.js';
import { CHANGES_WORLD } from './changes/world.js';
import { CRASHES_WORLD } from './crashes/world.js';
import { DEPARTURES_WORLD } from './departures/world.js';
import { LIMITS_WORLD } from './limits/world.js';
import { createRequestsWorld } from './requests/world.js';
import { RETRIES_WORLD } from './retries/world.js';
import { SILENCE_WORLD } from './silence/world.js';

/** A world as the command line sees it. */
export interface RunnableWorld {
  readonly name: string;
  readonly mutants: readonly string[];
  readonly run: (options: RunOptions, counts: FaultCounts) => RunReport;
}

/** Loads all worlds. */
export async function loadWorlds(): Promise<readonly RunnableWorld[]> {
  return [
    bind(await createRequestsWorld()),
    bind(await createAuthorityWorld()),
    bind(CHANGES_WORLD),
    bind(LIMITS_WORLD),
    bind(DEPARTURES_WORLD),
    bind(RETRIES_WORLD),
    bind(CRASHES_WORLD),
    bind(SILENCE_WORLD),
  ];
}

function bind<Simulation extends object>(world: World<Simulation>): RunnableWorld {
  const { name, mutants } = world;
  return { name, mutants, run: (options, counts) => runWorld(world, options, counts) };
}
