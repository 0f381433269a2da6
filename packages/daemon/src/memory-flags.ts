/**
 * Keeps the heap of a daemon small, since its slot beside a target is: new objects live in a young
 * generation of 1 MB, which the collector empties more often. Imported before everything else, since
 * the flags count from then on.
 */
import { setFlagsFromString } from 'node:v8';

for (const flag of [
  '--max-semi-space-size=1',
  '--semi-space-growth-factor=1',
  '--optimize-for-size',
]) {
  setFlagsFromString(flag);
}
