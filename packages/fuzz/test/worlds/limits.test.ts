/** The limits world on fixed seeds. */
import { LIMITS_WORLD } from '../../src/worlds/limits/world.js';
import { describeWorld } from './describe-world.js';

describeWorld(LIMITS_WORLD, {
  minSteps: 1_000_000,
  promises: {
    'lends-while-lent': 'shares-add-up-to-one',
    'loans-counted-from-answer': 'shares-add-up-to-one',
  },
});
