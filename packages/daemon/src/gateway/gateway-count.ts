/**
 * How many gateways share what is allowed to all of them together, such as retries and the rate limits
 * of targets: each one keeps to its part, so that nobody has to be asked.
 */
import type { FleetView } from '@cassiamast/coordination';

/**
 * A gateway counts for so long after its announcement is gone: it announces itself again a moment
 * after an outage of the store, and one that leaves goes on for its grace.
 */
const REMEMBER_MS = 10_000;

/** Counts gateways. */
export interface GatewayCount {
  /** To be called more often than a gateway is remembered. */
  readonly refresh: () => void;
  /** Gateways that live, this one included. */
  readonly count: () => number;
}

/**
 * Counts the gateways of a view. Guards against gateways that each take themselves for the only one,
 * since the announcements of all lapsed with the store.
 */
export function createGatewayCount(
  selfId: string,
  view: FleetView,
  nowMs: () => number,
): GatewayCount {
  /** When each gateway was last announced, as far as this one knew. */
  const announcedAtMs = new Map<string, number>();

  return {
    refresh: () => {
      const now = nowMs();
      for (const id of [...view.gateways.keys(), selfId]) announcedAtMs.set(id, now);
      for (const [id, atMs] of announcedAtMs) {
        if (now - atMs > REMEMBER_MS) announcedAtMs.delete(id);
      }
    },
    count: () => {
      const announced = view.gateways.size + (view.gateways.has(selfId) ? 0 : 1);
      return Math.max(announced, announcedAtMs.size);
    },
  };
}
