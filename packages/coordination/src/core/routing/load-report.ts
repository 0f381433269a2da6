/**
 * Reports of a target's load. They are old when they arrive; what the receiver did itself since
 * the report's time is added to them, so that entries do not all run to the target that looked
 * idle a moment ago.
 */
import type { EngineRole } from '../model/configuration.js';

/** Load of one target as its sidecar reports it. */
export interface LoadReport {
  readonly target: string;
  /** When the load was read, on the receiver's monotonic clock: time of arrival less stated age. */
  readonly atMs: number;
  /** Rises with each report of one epoch. */
  readonly sequence: number;
  /** Changes when the engine restarts. */
  readonly epoch: string;
  readonly role: EngineRole;
  /** False while the target drains, changes its role or is withdrawn: no new work. */
  readonly accepting: boolean;
  readonly runningRequests: number;
  readonly waitingRequests: number;
  readonly waitingPrefillTokens: number;
  readonly runningContextTokens: number;
  readonly kvUsedTokens: number;
  readonly kvCapacityTokens: number;
  /** Length of the latest step, in milliseconds. */
  readonly stepMs: number;
}

/** A target as the configuration and the membership show it. */
export interface TargetInfo {
  readonly name: string;
  readonly failureDomain: string;
  readonly role: EngineRole;
  /** False: no new work (leaving, withdrawn, draining, dead). */
  readonly accepting: boolean;
}
