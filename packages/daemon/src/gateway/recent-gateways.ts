/**
 * Remembers the other gateways for a while after their announcements have lapsed. While the store is
 * slower than a lease, all announcements lapse although the gateways can be reached.
 */
import type { FleetView } from '@cassiamast/coordination';

const KEPT_MS = 30_000;

/** The gateways that were announced lately. */
export interface RecentGateways {
  /** Must be called after each change of the view. */
  readonly note: () => void;
  /** Returns the ids of all others, those that are announced now first. */
  readonly others: () => readonly string[];
}

/** Creates the memory. */
export function createRecentGateways(
  view: FleetView,
  selfId: string,
  nowMs: () => number,
): RecentGateways {
  const seenAtMs = new Map<string, number>();

  function note(): void {
    const now = nowMs();
    for (const id of view.gateways.keys()) seenAtMs.set(id, now);
    for (const [id, atMs] of seenAtMs) if (now - atMs > KEPT_MS) seenAtMs.delete(id);
  }

  return {
    note,
    others: () => {
      note();
      const others = [...seenAtMs.keys()].filter((id) => id !== selfId);
      const announced = others.filter((id) => view.gateways.has(id));
      return [...announced, ...others.filter((id) => !view.gateways.has(id))];
    },
  };
}
