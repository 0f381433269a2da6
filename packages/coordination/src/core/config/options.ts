/** Defines the options of configuration sync and the safety rules that it applies. */

/** Safety rules of configuration sync; each prevents a failure that the design document describes. */
export interface ConfigGuards {
  /** Whether a version may replace the active one. */
  readonly mayReplace: (inForceVersion: number, version: number) => boolean;
  /** Whether a process without proof of freshness that sees this share of targets accepts work. */
  readonly mayAcceptWork: (seenRatio: number) => boolean;
  /** Whether a peer's freshness counts only in an exchange that this member started. */
  readonly freshnessNeedsOwnRequest: boolean;
}

/** Options of configuration sync. */
export interface ConfigOptions {
  /** Interval of a watcher's head reads; bounds the delay caused by a missed watch event. */
  readonly headReadIntervalMs: number;
  /** First wait after a failed call; it doubles with each failure and is randomized. */
  readonly backOffMs: number;
  /** Upper bound of the wait after failed calls. */
  readonly maxBackOffMs: number;
  /** Number of peers notified at once of a new version; the others learn of it from probe hints. */
  readonly announceFanout: number;
  /** Time after which an unanswered fetch is abandoned. */
  readonly fetchTimeoutMs: number;
  /** Time without proof of freshness and without seeing half of the targets that stops new work. */
  readonly cutOffMs: number;
  /** Number of recent patches kept to update peers that lag behind. */
  readonly keptPatches: number;
  readonly guards: ConfigGuards;
}

/** The default rules, all enforced. */
export const CONFIG_GUARDS: ConfigGuards = {
  mayReplace: (inForceVersion, version) => version > inForceVersion,
  mayAcceptWork: (seenRatio) => seenRatio >= 0.5,
  freshnessNeedsOwnRequest: true,
};

/** The default options; see docs/design/configuration.md. */
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
