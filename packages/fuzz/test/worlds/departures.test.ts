/** The departures world on fixed seeds. */
import { DEPARTURES_WORLD } from '../../src/worlds/departures/world.js';
import { describeWorld } from './describe-world.js';

describeWorld(DEPARTURES_WORLD, {
  minSteps: 100_000,
  runsPerMutant: 300,
  promises: {
    'quiet-polls-extend-grace': 'nothing-after-leaving',
    'back-off-from-send': 'heeds-back-off',
    'whole-grace-after-silence': 'nothing-after-leaving',
    'keeps-silent-connections': 'available-targets-are-used',
    'trusts-the-copy': 'remembers-departure',
    'ignores-eras': 'available-targets-are-used',
    'forgets-with-entry': 'heeds-departure',
  },
});
