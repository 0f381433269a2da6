/**
 * Which gateway schedules a service. All gateways that see the same others choose the same one
 * without asking anybody. The load pattern: gateways of unlike size, from a quarter of a core to
 * more than one, and a single one of them decides for all requests of a service.
 */
import type { GatewayEntry } from '../forwarding/fleet-view.js';
import type { Hash32 } from '../hashing/hashing.js';
import { createPlacement, ownerOf } from '../placement/placement.js';

/**
 * Part of the largest share of a core that a gateway must have to schedule. Guards against a small
 * VM that decides for all: it shows as callers who wait for decisions while engines are idle. Well
 * under 1, so that several of like size can follow one another.
 */
const MIN_RELATIVE_SHARE = 0.7;

/** The gateway that schedules a service; null where none is there. */
export function chooseScheduler(
  gateways: readonly GatewayEntry[],
  service: string,
  hash32: Hash32,
): string | null {
  const largest = Math.max(...gateways.map(({ coreShare }) => coreShare));
  const fit = gateways.filter(({ coreShare }) => coreShare >= largest * MIN_RELATIVE_SHARE);
  return ownerOf(createPlacement(fit, hash32), service);
}
