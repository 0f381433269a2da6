/**
 * Chooses the gateway that schedules a service. All gateways with the same view of the fleet choose
 * the same one without communicating. The choice accounts for gateways of different sizes, from a
 * quarter of a core to more than one, since a single gateway decides for all requests of a service.
 * It also stays stable when gateways are killed and restarted, one after the other or all at once,
 * under continuous load.
 */
import type { AnnouncedGateway } from '../forwarding/fleet-view.js';

/**
 * Minimum core share of a scheduling gateway, relative to the largest gateway. Prevents a small VM
 * from scheduling a whole service, which makes callers wait for decisions while engines are idle.
 * The ratio is well below 1 so that several gateways of similar size can take over from one
 * another.
 */
const MIN_RELATIVE_SHARE = 0.7;

/**
 * Returns the gateway that schedules a service, or null if there is no gateway. The gateway that
 * has been announced longest schedules the first of the `services`, the next one the second, and so
 * on. This keeps a scheduler from handing over to a gateway that has just started. The new gateway
 * knows neither the engines' caches nor their running requests, and it responds slowly while its
 * code is still interpreted. Other gateways would then bypass it one by one, and for seconds
 * several schedulers would assign work to the same engines without knowing of each other.
 */
export function chooseScheduler(
  gateways: readonly AnnouncedGateway[],
  service: string,
  services: readonly string[],
): string | null {
  const largestShare = Math.max(...gateways.map(({ coreShare }) => coreShare));
  const eligible = gateways
    .filter(({ coreShare }) => coreShare >= largestShare * MIN_RELATIVE_SHARE)
    .sort(byAnnouncement);
  const rank = Math.max(0, [...services].sort().indexOf(service));
  return eligible[rank % eligible.length]?.id ?? null;
}

function byAnnouncement(left: AnnouncedGateway, right: AnnouncedGateway): number {
  if (left.announcedAtRevision !== right.announcedAtRevision) {
    return left.announcedAtRevision - right.announcedAtRevision;
  }
  return left.id < right.id ? -1 : 1;
}
