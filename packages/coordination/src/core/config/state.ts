/** The state of keeping the configuration in one process. */
import type { ConfigurationPatch, MemberConfiguration } from './document.js';
import type { ConfigOptions } from './options.js';

/** A version heard of, and some who hold it. */
export interface WantedVersion {
  version: number;
  /** At most {@link MAX_HOLDERS}, latest last. */
  holders: string[];
}

/** Holders remembered for a wanted version; they answer fetches, so a few are enough. */
export const MAX_HOLDERS = 8;

/** Everything a process knows of the configuration. */
export interface ConfigState {
  readonly options: ConfigOptions;
  readonly startedAtMs: number;
  inForce: MemberConfiguration | null;
  /** The latest patches, oldest first, without holes, ending at the version in force. */
  readonly patches: ConfigurationPatch[];
  wanted: WantedVersion | null;
  fetch: { readonly from: string; readonly startedAtMs: number } | null;
  fetchAtMs: number;
  /** Head read under way: when it was sent. */
  headReadSentAtMs: number | null;
  documentReadSentAtMs: number | null;
  headReadAtMs: number;
  failedReads: number;
  watching: boolean;
  watchAtMs: number;
  failedWatches: number;
  /** The latest moment, on the own clock, at which nothing newer than the version in force existed. */
  freshAtMs: number | null;
  /** Freshness that begins to count once this version is in force. */
  freshWhen: { readonly version: number; readonly atMs: number } | null;
  /** The latest moment at which new work was justified; see the cut-off rule. */
  justifiedAtMs: number | null;
  newWorkAllowed: boolean;
}

/** A process that holds nothing yet. Its first read comes within `backOffMs`, at random. */
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
    freshWhen: null,
    justifiedAtMs: null,
    newWorkAllowed: false,
  };
}
