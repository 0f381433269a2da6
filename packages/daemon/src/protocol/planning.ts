/** What planners, entries and sidecars say to each other about roles, loads and demand. */

/** Key of a service's planner lease; its create revision is the fencing number. */
export function plannerLeaseKey(service: string): string {
  return `cassiamast/planner/${service}`;
}

/** Asks a sidecar to take no new work for a while, before an order that takes its engine away. */
export interface DrainRequest {
  readonly fence: number;
  readonly forMs: number;
}

/** How far the drain has come. */
export interface DrainStatus {
  readonly runningAttempts: number;
}
