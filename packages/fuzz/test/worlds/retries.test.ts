/** The retries world on fixed seeds. */
import { RETRIES_WORLD } from '../../src/worlds/retries/world.js';
import { describeWorld } from './describe-world.js';

describeWorld(RETRIES_WORLD, {
  minSteps: 1_000_000,
  promises: {
    'share-from-the-start': 'retries-within-budget',
    'share-without-store': 'retries-within-budget',
    'first-start-at-any-start': 'retries-within-budget',
    'charged-at-the-decision': 'retries-within-budget',
  },
  runsPerMutant: 200,
});
