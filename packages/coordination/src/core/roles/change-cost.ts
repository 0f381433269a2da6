/**
 * What a role change costs, in requests that are not answered within their goals: the engine is
 * away while it drains and changes, and its prefix cache is lost.
 */
import type { EngineProfile } from '../routing/engine-profile.js';
import { servedShare } from './capacity.js';
import type { RoleSplit } from './capacity.js';
import type { DemandSample } from './demand.js';

/** How long a writer takes to finish what it writes: a few hundred tokens of some 50 ms. */
const WRITER_DRAIN_MS = 20_000;

/** How long a reader takes to finish what it reads. */
const READER_DRAIN_MS = 500;

/** How long a lost prefix cache is felt: popular prefixes are back after a few seconds. */
const CACHE_REFILL_S = 5;

/** Requests lost to a change from one split to another, under that demand. */
export function changeCostRequests(
  profile: EngineProfile,
  from: RoleSplit,
  to: RoleSplit,
  demand: DemandSample,
): number {
  const moreReaders = to.readers - from.readers;
  const engines = Math.abs(moreReaders);
  if (engines === 0) return 0;
  const without =
    moreReaders > 0
      ? { readers: from.readers, writers: from.writers - engines }
      : { readers: from.readers - engines, writers: from.writers };
  const drainMs = moreReaders > 0 ? WRITER_DRAIN_MS : READER_DRAIN_MS;
  const lostShare = Math.max(
    0,
    servedShare(profile, from, demand) - servedShare(profile, without, demand),
  );
  // A draining engine still finishes what it has: it is away half of the drain.
  const awayS = (profile.roleChangeMs + drainMs / 2) / 1000;
  const total = from.readers + from.writers;
  const holders = Math.max(1, moreReaders > 0 ? from.writers : from.readers);
  const lostEngines = moreReaders > 0 ? 0 : (demand.savedEngines * engines) / holders;
  const cacheS = (lostEngines * CACHE_REFILL_S) / total;
  return (lostShare * awayS + cacheS) * demand.requestsPerS;
}
