/**
 * Tracks which gateways have open connections to which engines, based on the jobs that this
 * scheduler placed. With many gateways and many engines, each pair exchanges requests so rarely
 * that its idle connection is closed in between. Nearly every request would then open a new
 * connection, which costs two network round trips and time on the engine.
 */

/** Upper bound on tracked gateways, far above the number that a service has. */
const MAX_TRACKED_GATEWAYS = 2048;

/** Time at which each gateway last used each engine, by gateway and engine id. */
export interface Connections {
  readonly lastUsedAtMs: Map<string, Map<string, number>>;
}

/** Returns an empty connection table. */
export function createConnections(): Connections {
  return { lastUsedAtMs: new Map() };
}

/** Records that a gateway sends a job to an engine and therefore has a connection to it. */
export function recordConnection(
  { lastUsedAtMs }: Connections,
  gateway: string,
  engineId: string,
  nowMs: number,
): void {
  const engines = lastUsedAtMs.get(gateway) ?? new Map<string, number>();
  // Reinserted at the end so that the least recently used gateway is first in the map.
  lastUsedAtMs.delete(gateway);
  lastUsedAtMs.set(gateway, engines);
  engines.set(engineId, nowMs);
  const oldest = lastUsedAtMs.keys().next().value;
  if (lastUsedAtMs.size > MAX_TRACKED_GATEWAYS && oldest !== undefined) lastUsedAtMs.delete(oldest);
}

/**
 * Returns whether a gateway still has a connection to an engine. `keepAliveMs` is how long an idle
 * connection stays open.
 */
export function hasConnection(
  { lastUsedAtMs }: Connections,
  gateway: string,
  engineId: string,
  keepAliveMs: number,
  nowMs: number,
): boolean {
  const usedAtMs = lastUsedAtMs.get(gateway)?.get(engineId);
  return usedAtMs !== undefined && nowMs - usedAtMs < keepAliveMs;
}

/** Removes the connections to engines that are no longer present. */
export function pruneConnections(
  { lastUsedAtMs }: Connections,
  isPresent: (engineId: string) => boolean,
): void {
  for (const engines of lastUsedAtMs.values()) {
    for (const engineId of engines.keys()) {
      if (!isPresent(engineId)) engines.delete(engineId);
    }
  }
}
