/** The settings of keeping the configuration, each with the reason for its default, and the guards. */

/** Guards; each prevents one failure that the design note names. */
export interface ConfigGuards {
  /** Whether a version may replace the one in force. */
  readonly mayReplace: (inForceVersion: number, version: number) => boolean;
  /** Whether a process without fresh news and with this share of targets in sight stays at work. */
  readonly maySeeEnough: (seenRatio: number) => boolean;
  /** Whether the age of a peer's freshness counts only from an exchange that this member started. */
  readonly freshnessNeedsOwnQuestion: boolean;
}

/** Settings of keeping the configuration. */
export interface ConfigOptions {
  /** Watchers read the head this often: the bound on a missed watch event. */
  readonly headReadIntervalMs: number;
  /** First and longest wait after a failed call, doubled each time, of which a random part passes. */
  readonly backOffMs: number;
  readonly maxBackOffMs: number;
  /** Peers told at once of a new version; hints on probes reach the others. */
  readonly announceFanout: number;
  /** A fetch without an answer is given up after this. */
  readonly fetchTimeoutMs: number;
  /** Without fresh news and without half of the targets in sight, new work stops after this. */
  readonly cutOffMs: number;
  /** Patches kept to bring peers that lag up to date. */
  readonly keptPatches: number;
  readonly guards: ConfigGuards;
}

/** The default guards: all in place. */
export const CONFIG_GUARDS: ConfigGuards = {
  mayReplace: (inForceVersion, version) => version > inForceVersion,
  maySeeEnough: (seenRatio) => seenRatio >= 0.5,
  freshnessNeedsOwnQuestion: true,
};

/** The default settings; see docs/design/configuration.md. */
export const CONFIG_OPTIONS: ConfigOptions = {
  headReadIntervalMs: 3_000,
  backOffMs: 500,
  maxBackOffMs: 15_000,
  announceFanout: 4,
  fetchTimeoutMs: 2_000,
  cutOffMs: 45_000,
  keptPatches: 16,
  guards: CONFIG_GUARDS,
};
