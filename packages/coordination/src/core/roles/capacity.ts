/**
 * What a split of roles can serve: a forecast of the share of requests that is answered within the
 * goals, for a demand given in engines. Soft means come first in it: what the readers cannot read is
 * lent to the writers at a higher price, where they have room. The figures are fitted to the fake
 * engine of the benchmark; docs/design/roles.md shows the fit.
 */
import { EngineRole } from '../model/configuration.js';
import type { EngineProfile } from '../routing/engine-profile.js';
import type { DemandSample } from './demand.js';

/** A split of the serving engines. */
export interface RoleSplit {
  readonly readers: number;
  readonly writers: number;
}

/** Part of a reader's time that prompts fill while they still meet the goal. */
const READER_CAPACITY = 0.87;

/** Prompts that a writer with room reads within the goal, as part of what a reader reads. */
const LENT_PER_WRITER = 0.1;

/** Time of a writer's step that is not its fixed time, when steps are at the goal. */
const WRITER_EFFICIENCY = 0.8;

/** How sharply readers bend at their capacity: queues are felt from four fifths on. */
const READER_SHARPNESS = 8;

/** How sharply writers bend: steps only become longer until they are at the goal. */
const WRITER_SHARPNESS = 32;

/** Price of a use without slack: breaks ties towards the split that is ready for more. */
const SLACK_PRICE = 0.004;

/** Share of requests served within the goals, 0 to 1, less a small price for lack of slack. */
export function servedShare(
  profile: EngineProfile,
  split: RoleSplit,
  demand: Pick<DemandSample, 'prefillEngines' | 'decodeEngines'>,
): number {
  if (split.writers <= 0) return 0;
  const price = lendPrice(profile);
  const room = Math.max(0, 1 - demand.decodeEngines / split.writers) / price;
  const mayLend = split.writers * Math.min(LENT_PER_WRITER, room);
  const readerCapacity = split.readers * READER_CAPACITY;
  const lent = Math.min(mayLend, Math.max(0, demand.prefillEngines - readerCapacity));
  const readerUse = useOf(demand.prefillEngines, readerCapacity + mayLend);
  const writerUse = (demand.decodeEngines + lent * price) / split.writers;
  const served = Math.min(bend(readerUse, READER_SHARPNESS), bend(writerUse, WRITER_SHARPNESS));
  return served - SLACK_PRICE * (Math.min(2, readerUse) + Math.min(2, writerUse));
}

/** Writer time that a lent prompt takes, over the reader time that it saves. */
function lendPrice(profile: EngineProfile): number {
  const { roles } = profile;
  const perToken =
    roles[EngineRole.Decode].prefillMsPerToken / roles[EngineRole.Prefill].prefillMsPerToken;
  return perToken / WRITER_EFFICIENCY;
}

function useOf(demand: number, capacity: number): number {
  if (demand <= 0) return 0;
  return capacity <= 0 ? Number.POSITIVE_INFINITY : demand / capacity;
}

/** Near 1 below capacity, near capacity over demand above, smooth between. */
function bend(use: number, sharpness: number): number {
  if (!Number.isFinite(use)) return 0;
  return (1 + use ** sharpness) ** (-1 / sharpness);
}
