/**
 * Chooses the gateways that may take the lease of the usage duty. The store lets only one of them have
 * it. A second candidate takes over as soon as the lease of the first one has expired, while the first
 * one is still announced.
 */
import type { AnnouncedGateway } from '../forwarding/fleet-view.js';
import { chooseScheduler } from '../scheduling/scheduler-choice.js';

/** More candidates read the lease's key more often, and help only if several are lost together. */
const MAX_CANDIDATES = 2;
const DUTY = 'usage';

/** Returns the ids of the gateways that have been announced longest, without small ones. */
export function usageCandidates(gateways: readonly AnnouncedGateway[]): readonly string[] {
  const candidates: string[] = [];
  while (candidates.length < MAX_CANDIDATES) {
    const rest = gateways.filter(({ id }) => !candidates.includes(id));
    const next = chooseScheduler(rest, DUTY, []);
    if (next === null) break;
    candidates.push(next);
  }
  return candidates;
}
