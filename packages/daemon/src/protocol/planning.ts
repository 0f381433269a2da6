/** Messages and keys that planners and sidecars use for leases and drains. */

/** Returns the key of a service's planner lease; its create revision is the fencing token. */
export function plannerLeaseKey(service: string): string {
  return `cassiamast/planner/${service}`;
}

/** Tells a sidecar to accept no new work for `forMs` before an order that occupies its engine. */
export interface DrainRequest {
  readonly fence: number;
  readonly forMs: number;
}

/** Progress of a drain. */
export interface DrainStatus {
  readonly runningAttempts: number;
}
