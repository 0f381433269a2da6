/** The changes world on fixed seeds. */
import { CHANGES_WORLD } from '../../src/worlds/changes/world.js';
import { describeWorld } from './describe-world.js';

describeWorld(CHANGES_WORLD, {
  minSteps: 1_000_000,
  promises: {
    'floor-ignored': 'floor-is-kept',
    'closes-at-once': 'work-on-its-way-is-taken',
    'work-not-waited-for': 'planned-change-cuts-nothing',
    'slow-down-ignored': 'no-stampede-on-the-store',
  },
});
