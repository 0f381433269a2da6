/** Holds the state of configuration sync in one process. */
import type { ConfigurationPatch, MemberConfiguration } from './document.js';
import type { ConfigOptions } from './options.js';

/** A newer version, and some of the members that have it. */
export interface WantedVersion {
  version: number;
  /** At most {@link MAX_HOLDERS}, latest last. */
  holders: string[];
}

/** Limit of holders stored for a wanted version; a few are enough to have a fetch answered. */
export const MAX_HOLDERS = 8;

/** The configuration state of a process. */
export interface ConfigState {
  readonly options: ConfigOptions;
  readonly startedAtMs: number;
  /** The active configuration; null before the first one is applied. */
  inForce: MemberConfiguration | null;
  /** The latest patches, oldest first, without gaps, ending at the active version. */
  readonly patches: ConfigurationPatch[];
  wanted: WantedVersion | null;
  fetch: { readonly from: string; readonly startedAtMs: number } | null;
  fetchAtMs: number;
  /** When the pending read of the head key was sent; null when none is pending. */
  headReadSentAtMs: number | null;
  documentReadSentAtMs: number | null;
  headReadAtMs: number;
  failedReads: number;
  watching: boolean;
  watchAtMs: number;
  failedWatches: number;
  /** The latest time, on the local clock, at which no version newer than the active one existed. */
  freshAtMs: number | null;
  /** Proof of freshness that takes effect once this version is active. */
  pendingFreshness: { readonly version: number; readonly atMs: number } | null;
  /** The latest time at which accepting new work was justified; see `updateNewWork`. */
  justifiedAtMs: number | null;
  newWorkAllowed: boolean;
}

/**
 * Creates the state of a process without a configuration. Its first read of the head key comes after
 * a random delay of up to `backOffMs`, so that starting processes do not call the service at once.
 */
export function createConfigState(
  options: ConfigOptions,
  context: { readonly nowMs: number; readonly random: () => number },
): ConfigState {
  const { nowMs } = context;
  return {
    options,
    startedAtMs: nowMs,
    inForce: null,
    patches: [],
    wanted: null,
    fetch: null,
    fetchAtMs: nowMs,
    headReadSentAtMs: null,
    documentReadSentAtMs: null,
    headReadAtMs: nowMs + context.random() * options.backOffMs,
    failedReads: 0,
    watching: false,
    watchAtMs: nowMs,
    failedWatches: 0,
    freshAtMs: null,
    pendingFreshness: null,
    justifiedAtMs: null,
    newWorkAllowed: false,
  };
}
