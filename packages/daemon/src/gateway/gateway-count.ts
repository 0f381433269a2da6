/**
 * Counts the gateways that share a common allowance, such as retries and the rate limits of
 * targets. Each gateway limits itself to its part of the allowance, which needs no coordination per
 * request.
 */
import type { FleetView } from '@cassiamast/coordination';

/**
 * How long a gateway still counts after its announcement has disappeared. A gateway announces
 * itself again shortly after an outage of the store, and one that is shutting down still serves
 * requests during its grace period.
 */
const RETENTION_MS = 10_000;

/** Counts gateways. */
export interface GatewayCount {
  /** Records the announced gateways. Must be called more often than the retention time. */
  readonly refresh: () => void;
  /** Returns the number of live gateways, including this one. */
  readonly count: () => number;
}

/**
 * Creates a count of the gateways in a view. Gateways are still counted for a while after their
 * announcements have expired; otherwise, after an outage of the store, each gateway would count
 * only itself and use the whole allowance.
 */
export function createGatewayCount(
  selfId: string,
  view: FleetView,
  nowMs: () => number,
): GatewayCount {
  /** When each gateway was last seen announced, by gateway id. */
  const lastAnnouncedAtMs = new Map<string, number>();

  return {
    refresh: () => {
      const now = nowMs();
      for (const id of [...view.gateways.keys(), selfId]) lastAnnouncedAtMs.set(id, now);
      for (const [id, atMs] of lastAnnouncedAtMs) {
        if (now - atMs > RETENTION_MS) lastAnnouncedAtMs.delete(id);
      }
    },
    count: () => {
      const announced = view.gateways.size + (view.gateways.has(selfId) ? 0 : 1);
      return Math.max(announced, lastAnnouncedAtMs.size);
    },
  };
}
