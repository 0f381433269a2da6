/**
 * Which gateway schedules a service. All gateways that see the same others choose the same one
 * without asking anybody. The load patterns: gateways of unlike size, from a quarter of a core to
 * more than one, of which a single one decides for all requests of a service; and gateways that
 * are killed and start again one after the other, or all at once, while callers press on.
 */
import type { AnnouncedGateway } from '../forwarding/fleet-view.js';

/**
 * Part of the largest share of a core that a gateway must have to schedule. Guards against a small
 * VM that decides for all: it shows as callers who wait for decisions while engines are idle. Well
 * under 1, so that several of like size can follow one another.
 */
const MIN_RELATIVE_SHARE = 0.7;

/**
 * The gateway that schedules a service; null where none is there. The longest announced one takes
 * the first of the `services`, the next one the second. Guards against a scheduler that hands its
 * part to a gateway which has just started: the newcomer knows neither what engines hold nor what
 * they run, answers late while its code is still interpreted, and the others pass it over one by
 * one, so that for seconds several decide for the same engines without knowing of each other.
 */
export function chooseScheduler(
  gateways: readonly AnnouncedGateway[],
  service: string,
  services: readonly string[],
): string | null {
  const largest = Math.max(...gateways.map(({ coreShare }) => coreShare));
  const fit = gateways
    .filter(({ coreShare }) => coreShare >= largest * MIN_RELATIVE_SHARE)
    .sort(byAnnouncement);
  const rank = Math.max(0, [...services].sort().indexOf(service));
  return fit[rank % fit.length]?.id ?? null;
}

function byAnnouncement(left: AnnouncedGateway, right: AnnouncedGateway): number {
  if (left.announcedAtRevision !== right.announcedAtRevision) {
    return left.announcedAtRevision - right.announcedAtRevision;
  }
  return left.id < right.id ? -1 : 1;
}
