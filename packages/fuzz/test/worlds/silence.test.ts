/** The silence world on fixed seeds. */
import { SILENCE_WORLD } from '../../src/worlds/silence/world.js';
import { describeWorld } from './describe-world.js';

describeWorld(SILENCE_WORLD, {
  minSteps: 100_000,
  promises: {
    'stops-silent-attempts': 'silence-ends-no-answer',
    'others-run-on-beside-an-answer': 'no-double-work',
    'younger-run-on-beside-a-read': 'no-double-work',
    'runs-are-forgotten': 'silence-ends-no-answer',
    'older-run-on-beside-an-accepted': 'no-double-work',
    'runs-beside-a-run': 'runs-once',
    'unsplit-runs-again': 'runs-once',
    'asks-after-the-end': 'no-double-work',
    'choice-is-dropped': 'tries-what-it-may',
    'overdue-is-failed': 'no-double-work',
    'over-is-open': 'ends-at-once',
    'failure-is-a-sign': 'silence-ends-no-answer',
    'begins-beside-answers': 'ends-at-once',
    'plain-end-is-no-sign': 'ends-at-once',
  },
  runsPerMutant: 2000,
});
