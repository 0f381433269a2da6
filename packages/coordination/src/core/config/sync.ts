/**
 * Keeps a member's configuration up to date. One watcher per failure domain follows the key-value
 * service; all other members learn of a version from peers and fetch it from a peer that has it.
 * Answers to probes carry the age of the last proof that no newer version exists.
 */
import type { ConfigurationDocument } from '../model/configuration.js';
import { EventKind } from '../events/event.js';
import { waitAfterFailuresMs } from '../retries/retries.js';
import {
  applyConfiguration,
  recordFreshness,
  recordHolder,
  applyFetchAnswer,
  versionInForce,
} from './apply-version.js';
import { updateNewWork, seesEnoughTargets } from './staleness.js';
import { withoutText } from './document.js';
import type { ConfigContext, ConfigEffect, FetchAnswer } from './effects.js';
import { ConfigEffectKind } from './effects.js';
import type { ConfigurationHead } from './head.js';
import type { ConfigState } from './state.js';

/** Age sent in the hints by a member that has no proof of freshness. */
const UNKNOWN_AGE = -1;

function backOffMs(state: ConfigState, failures: number, context: ConfigContext): number {
  const { backOffMs: firstMs, maxBackOffMs: mostMs } = state.options;
  return waitAfterFailuresMs(failures + 1, { initialMs: firstMs, maxMs: mostMs }, context.random);
}

/**
 * Returns whether this process may read from the key-value service. Watchers may, and so may a
 * process that would otherwise stop accepting work: one that never had proof of freshness, or whose
 * proof is old while it sees less than half of the targets. This keeps 1,140 processes from all
 * calling the service during an outage.
 */
function mayReadService(state: ConfigState, context: ConfigContext): boolean {
  if (context.isWatcher() || state.freshAtMs === null) return true;
  const ageMs = context.nowMs - state.freshAtMs;
  return ageMs > state.options.cutOffMs / 2 && !seesEnoughTargets(state, context);
}

function continueHeadReads(state: ConfigState, context: ConfigContext): ConfigEffect[] {
  if (state.headReadSentAtMs !== null || context.nowMs < state.headReadAtMs) return [];
  state.headReadAtMs = context.nowMs + state.options.headReadIntervalMs;
  if (!mayReadService(state, context)) return [];
  state.headReadSentAtMs = context.nowMs;
  return [{ kind: ConfigEffectKind.ReadHead }];
}

function continueWatching(state: ConfigState, context: ConfigContext): ConfigEffect[] {
  const shouldWatch = context.isWatcher();
  if (state.watching && !shouldWatch) {
    state.watching = false;
    return [{ kind: ConfigEffectKind.StopWatch }];
  }
  if (state.watching || !shouldWatch || context.nowMs < state.watchAtMs) return [];
  state.watching = true;
  return [{ kind: ConfigEffectKind.Watch }];
}

function continueFetching(state: ConfigState, context: ConfigContext): ConfigEffect[] {
  const { fetch, wanted, options } = state;
  if (fetch !== null && context.nowMs - fetch.startedAtMs >= options.fetchTimeoutMs) {
    state.fetch = null;
  }
  if (state.fetch !== null || wanted === null || context.nowMs < state.fetchAtMs) return [];
  const from = wanted.holders.pop();
  if (from === undefined) {
    state.wanted = null;
    return [];
  }
  state.fetch = { from, startedAtMs: context.nowMs };
  const request = { haveVersion: versionInForce(state) };
  return [{ kind: ConfigEffectKind.Fetch, to: from, request }];
}

/** Performs all due work. Must be called at least once a second and after each input. */
export function tickConfig(state: ConfigState, context: ConfigContext): ConfigEffect[] {
  return [
    ...continueWatching(state, context),
    ...continueHeadReads(state, context),
    ...continueFetching(state, context),
    ...updateNewWork(state, context),
  ];
}

/** Returns the hints to send with probes and answers: `[active version, age of its freshness in ms]`. */
export function configHints(state: ConfigState, nowMs: number): readonly [number, number] {
  const ageMs = state.freshAtMs === null ? UNKNOWN_AGE : Math.ceil(nowMs - state.freshAtMs);
  return [versionInForce(state), ageMs];
}

/**
 * Handles a peer's hints. A datagram may be delayed for an hour and still claim to be fresh, so an
 * age counts only in the answer to this member's own request. It is counted from the time when the
 * request was sent, which is before the answer was written.
 */
export function configHintsReceived(
  state: ConfigState,
  from: string,
  hints: readonly number[],
  requestedAtMs: number | null,
  context: ConfigContext,
): ConfigEffect[] {
  const [version = 0, ageMs = UNKNOWN_AGE] = hints;
  recordHolder(state, version, from);
  const { freshnessNeedsOwnRequest } = state.options.guards;
  const sinceMs = requestedAtMs ?? (freshnessNeedsOwnRequest ? null : context.nowMs);
  if (sinceMs !== null && version > 0 && ageMs >= 0)
    recordFreshness(state, version, sinceMs - ageMs);
  return continueFetching(state, context);
}

/** Handles a peer's announcement that it has a version. */
export function configAnnounced(
  state: ConfigState,
  from: string,
  version: number,
  context: ConfigContext,
): ConfigEffect[] {
  recordHolder(state, version, from);
  return continueFetching(state, context);
}

/** Handles a peer's answer to a fetch. */
export function configFetchAnswered(
  state: ConfigState,
  answer: FetchAnswer,
  context: ConfigContext,
): ConfigEffect[] {
  const from = state.fetch?.from;
  state.fetch = null;
  const { effects, isMismatch } = applyFetchAnswer(state, answer, context);
  if (!isMismatch) return [...effects, ...tickConfig(state, context)];
  if (from === undefined) return [...effects];
  // A request with version 0 returns the whole document.
  state.fetch = { from, startedAtMs: context.nowMs };
  return [...effects, { kind: ConfigEffectKind.Fetch, to: from, request: { haveVersion: 0 } }];
}

/** Handles a failed fetch; another holder is tried after a backoff. */
export function configFetchFailed(state: ConfigState, context: ConfigContext): ConfigEffect[] {
  state.fetch = null;
  state.fetchAtMs = context.nowMs + backOffMs(state, 0, context);
  return [];
}

function requestDocument(
  state: ConfigState,
  version: number,
  context: ConfigContext,
): ConfigEffect[] {
  if (!state.options.guards.mayReplace(versionInForce(state), version)) return [];
  if (state.documentReadSentAtMs !== null) return [];
  state.documentReadSentAtMs = context.nowMs;
  return [{ kind: ConfigEffectKind.ReadDocument }];
}

/** Handles the answer to a read of the head key; null when the key is absent or malformed. */
export function configHeadRead(
  state: ConfigState,
  head: ConfigurationHead | null,
  context: ConfigContext,
): ConfigEffect[] {
  const sentAtMs = state.headReadSentAtMs;
  state.headReadSentAtMs = null;
  state.failedReads = 0;
  if (head === null || sentAtMs === null) return [];
  if (head.version < versionInForce(state)) return [reportOlderVersion(state, head.version)];
  recordFreshness(state, head.version, sentAtMs);
  return [...requestDocument(state, head.version, context), ...tickConfig(state, context)];
}

/** Reports that the service returned a version older than the active one: it lost data or is stale. */
function reportOlderVersion(state: ConfigState, shown: number): ConfigEffect {
  const figures = { shown, inForce: versionInForce(state) };
  const reason = 'the key-value service shows an older version than the one in force';
  const event = { kind: EventKind.ConfigurationDoubted, reason, figures };
  return { kind: ConfigEffectKind.Emit, event };
}

/** Handles a failed read of the head key. */
export function configHeadReadFailed(state: ConfigState, context: ConfigContext): ConfigEffect[] {
  state.headReadSentAtMs = null;
  state.failedReads += 1;
  state.headReadAtMs = context.nowMs + backOffMs(state, state.failedReads, context);
  return [];
}

/** Handles a watch event. Events may be lost, repeated or old, so they do not prove freshness. */
export function configHeadChanged(
  state: ConfigState,
  head: ConfigurationHead | null,
  context: ConfigContext,
): ConfigEffect[] {
  state.failedWatches = 0;
  return head === null ? [] : requestDocument(state, head.version, context);
}

/** Handles the end of the watch, which is restarted after an exponential backoff. */
export function configWatchEnded(state: ConfigState, context: ConfigContext): ConfigEffect[] {
  state.watching = false;
  state.failedWatches += 1;
  state.watchAtMs = context.nowMs + backOffMs(state, state.failedWatches, context);
  state.headReadAtMs = Math.min(state.headReadAtMs, state.watchAtMs);
  return [];
}

/** Handles the answer to a read of the document key; null when it is absent or malformed. */
export function configDocumentRead(
  state: ConfigState,
  document: ConfigurationDocument | null,
  context: ConfigContext,
): ConfigEffect[] {
  const sentAtMs = state.documentReadSentAtMs;
  state.documentReadSentAtMs = null;
  if (document === null || sentAtMs === null) return [];
  const effects = applyConfiguration(state, withoutText(document), null, context);
  if (document.version >= versionInForce(state)) recordFreshness(state, document.version, sentAtMs);
  return [...effects, ...tickConfig(state, context)];
}

/** Handles a failed read of the document; the next read of the head key requests it again. */
export function configDocumentReadFailed(
  state: ConfigState,
  context: ConfigContext,
): ConfigEffect[] {
  state.documentReadSentAtMs = null;
  state.failedReads += 1;
  state.headReadAtMs = context.nowMs + backOffMs(state, state.failedReads, context);
  return [];
}
