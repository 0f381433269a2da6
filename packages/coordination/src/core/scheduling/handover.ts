/** Which engine makes the tokens of a prompt that another one reads. */
import type { Job } from './job.js';
import { type TargetLoad, isUsable, makesTokens } from './target-load.js';

/** Requests more that an engine of the same failure domain may have: memory crosses domains slowly. */
const SAME_DOMAIN_ADVANTAGE = 4;

/** The least loaded engine that makes tokens, rather in the reader's failure domain; null if none. */
export function chooseStreamTarget(
  loads: Iterable<TargetLoad>,
  job: Job,
  reader: TargetLoad,
  nowMs: number,
): TargetLoad | null {
  let best: TargetLoad | null = null;
  let bestLoad = Infinity;
  for (const load of loads) {
    if (!makesTokens(load) || !isUsable(load, nowMs)) continue;
    if (job.avoid.includes(load.entry.id)) continue;
    const isNear = load.entry.failureDomain === reader.entry.failureDomain;
    const weighed = load.streaming.size + (isNear ? 0 : SAME_DOMAIN_ADVANTAGE);
    if (weighed < bestLoad) {
      best = load;
      bestLoad = weighed;
    }
  }
  return best;
}
