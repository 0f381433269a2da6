/** The crashes world on fixed seeds. */
import { CRASHES_WORLD } from '../../src/worlds/crashes/world.js';
import { describeWorld } from './describe-world.js';

describeWorld(CRASHES_WORLD, {
  minSteps: 1_000_000,
  promises: {
    'any-answer-clears': 'culprit-is-stopped',
    'only-broken-connections': 'culprit-is-stopped',
    'waits-before-writing': 'culprit-is-stopped',
    'writes-once': 'culprit-is-stopped',
    'crashes-expire': 'culprit-is-stopped',
    'never-excused': 'harmless-is-served',
    'never-refuted': 'harmless-is-served',
    'believes-an-older-copy': 'culprit-is-stopped',
    'keeps-what-is-not-listed': 'forgets-what-is-deleted',
  },
  runsPerMutant: 1000,
  mutantSeed: 7,
});
