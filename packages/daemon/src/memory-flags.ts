/**
 * Keeps the heap of a daemon small, because it has little memory next to a target: limits the young
 * generation to 1 MB, which is collected more often in exchange. Import this module before all
 * others, because the flags apply only from the moment they are set.
 */
import { setFlagsFromString } from 'node:v8';

for (const flag of [
  '--max-semi-space-size=1',
  '--semi-space-growth-factor=1',
  '--optimize-for-size',
]) {
  setFlagsFromString(flag);
}
