/**
 * Load reports of targets. A report is already outdated when it arrives, so the receiver adds its
 * own dispatches since the report was taken. Without that, all entries would send their requests to
 * the target that was idle a moment ago.
 */
import type { EngineRole } from '../model/configuration.js';

/** The load of one target, as reported by its sidecar. */
export interface LoadReport {
  readonly target: string;
  /** When the load was measured: arrival time on the receiver's monotonic clock minus its age. */
  readonly atMs: number;
  /** Increases with each report of one epoch. */
  readonly sequence: number;
  /** Changes when the engine restarts. */
  readonly epoch: string;
  readonly role: EngineRole;
  /** False while the target drains, changes its role or is withdrawn; it gets no new work. */
  readonly accepting: boolean;
  readonly runningRequests: number;
  readonly waitingRequests: number;
  readonly waitingPrefillTokens: number;
  readonly runningContextTokens: number;
  readonly kvUsedTokens: number;
  readonly kvCapacityTokens: number;
  /** Duration of the latest step, in milliseconds. */
  readonly stepMs: number;
}

/** A target as described by the configuration and the membership. */
export interface TargetInfo {
  readonly name: string;
  readonly failureDomain: string;
  readonly role: EngineRole;
  /** False if the target gets no new work: it is leaving, withdrawn, draining or dead. */
  readonly accepting: boolean;
}
