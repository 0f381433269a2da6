/**
 * The member's side of the configuration: one watcher per failure domain follows the key-value
 * service, everybody else hears of a version from peers and fetches it from whoever has it. The
 * age of the last proof that nothing newer exists travels in answers to probes.
 */
import type { ConfigurationDocument } from '../model/configuration.js';
import { EventKind } from '../events/event.js';
import { waitAfterFailuresMs } from '../retries/retries.js';
import { adopt, noteFresh, noteVersion, takeAnswer, versionInForce } from './adopting.js';
import { judgeNewWork, seesEnough } from './cut-off.js';
import { withoutText } from './document.js';
import type { ConfigContext, ConfigEffect, FetchAnswer } from './effects.js';
import { ConfigEffectKind } from './effects.js';
import type { ConfigurationHead } from './head.js';
import type { ConfigState } from './state.js';

/** Stands in the hints for "no freshness known". */
const UNKNOWN_AGE = -1;

function backOffMs(state: ConfigState, failures: number, context: ConfigContext): number {
  const { backOffMs: firstMs, maxBackOffMs: mostMs } = state.options;
  return waitAfterFailuresMs(failures + 1, { firstMs, mostMs }, context.random);
}

/**
 * The service is asked by watchers, and by a process that would otherwise stop: one that never had
 * fresh news, or lost it together with the sight of half of the targets. In an outage that nobody
 * else noticed, 1,140 processes therefore do not all knock at the service.
 */
function mayAskService(state: ConfigState, context: ConfigContext): boolean {
  if (context.isWatcher() || state.freshAtMs === null) return true;
  const ageMs = context.nowMs - state.freshAtMs;
  return ageMs > state.options.cutOffMs / 2 && !seesEnough(state, context);
}

function continueReading(state: ConfigState, context: ConfigContext): ConfigEffect[] {
  if (state.headReadSentAtMs !== null || context.nowMs < state.headReadAtMs) return [];
  state.headReadAtMs = context.nowMs + state.options.headReadIntervalMs;
  if (!mayAskService(state, context)) return [];
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

/** Does whatever is due; call it at least once a second and after each input. */
export function tickConfig(state: ConfigState, context: ConfigContext): ConfigEffect[] {
  return [
    ...continueWatching(state, context),
    ...continueReading(state, context),
    ...continueFetching(state, context),
    ...judgeNewWork(state, context),
  ];
}

/** The hints to send with probes and answers: the version in force and the age of its freshness. */
export function configHints(state: ConfigState, nowMs: number): readonly [number, number] {
  const ageMs = state.freshAtMs === null ? UNKNOWN_AGE : Math.ceil(nowMs - state.freshAtMs);
  return [versionInForce(state), ageMs];
}

/**
 * Hints of a peer. Failure guarded against: a datagram that was delayed for an hour claims to be
 * fresh. An age therefore counts only from the answer to an own question, and from the moment of
 * the question, which is before the answer was written.
 */
export function configHintsHeard(
  state: ConfigState,
  from: string,
  hints: readonly number[],
  askedAtMs: number | null,
  context: ConfigContext,
): ConfigEffect[] {
  const [version = 0, ageMs = UNKNOWN_AGE] = hints;
  noteVersion(state, version, from);
  const { freshnessNeedsOwnQuestion } = state.options.guards;
  const sinceMs = askedAtMs ?? (freshnessNeedsOwnQuestion ? null : context.nowMs);
  if (sinceMs !== null && version > 0 && ageMs >= 0) noteFresh(state, version, sinceMs - ageMs);
  return continueFetching(state, context);
}

/** A peer says that it holds a version. */
export function configAnnounced(
  state: ConfigState,
  from: string,
  version: number,
  context: ConfigContext,
): ConfigEffect[] {
  noteVersion(state, version, from);
  return continueFetching(state, context);
}

/** A peer's answer to a fetch. */
export function configFetchAnswered(
  state: ConfigState,
  answer: FetchAnswer,
  context: ConfigContext,
): ConfigEffect[] {
  const from = state.fetch?.from;
  state.fetch = null;
  const { effects, isMismatch } = takeAnswer(state, answer, context);
  if (!isMismatch) return [...effects, ...tickConfig(state, context)];
  if (from === undefined) return [...effects];
  // Asking as if nothing were held brings the whole document.
  state.fetch = { from, startedAtMs: context.nowMs };
  return [...effects, { kind: ConfigEffectKind.Fetch, to: from, request: { haveVersion: 0 } }];
}

/** A fetch that failed; another holder is tried. */
export function configFetchFailed(state: ConfigState, context: ConfigContext): ConfigEffect[] {
  state.fetch = null;
  state.fetchAtMs = context.nowMs + backOffMs(state, 0, context);
  return [];
}

function wantDocument(state: ConfigState, version: number, context: ConfigContext): ConfigEffect[] {
  if (!state.options.guards.mayReplace(versionInForce(state), version)) return [];
  if (state.documentReadSentAtMs !== null) return [];
  state.documentReadSentAtMs = context.nowMs;
  return [{ kind: ConfigEffectKind.ReadDocument }];
}

/** The answer to a read of the head key; null when the key is absent or unreadable. */
export function configHeadRead(
  state: ConfigState,
  head: ConfigurationHead | null,
  context: ConfigContext,
): ConfigEffect[] {
  const sentAtMs = state.headReadSentAtMs;
  state.headReadSentAtMs = null;
  state.failedReads = 0;
  if (head === null || sentAtMs === null) return [];
  if (head.version < versionInForce(state)) return [doubt(state, head.version)];
  noteFresh(state, head.version, sentAtMs);
  return [...wantDocument(state, head.version, context), ...tickConfig(state, context)];
}

/** The service shows an older version than the one in force: it lost data or answers from the past. */
function doubt(state: ConfigState, shown: number): ConfigEffect {
  const figures = { shown, inForce: versionInForce(state) };
  const reason = 'the key-value service shows an older version than the one in force';
  const event = { kind: EventKind.ConfigurationDoubted, reason, figures };
  return { kind: ConfigEffectKind.Emit, event };
}

/** A read of the head that failed. */
export function configHeadReadFailed(state: ConfigState, context: ConfigContext): ConfigEffect[] {
  state.headReadSentAtMs = null;
  state.failedReads += 1;
  state.headReadAtMs = context.nowMs + backOffMs(state, state.failedReads, context);
  return [];
}

/** A change seen by the watch; it may be missing, repeated or old, so it proves no freshness. */
export function configHeadChanged(
  state: ConfigState,
  head: ConfigurationHead | null,
  context: ConfigContext,
): ConfigEffect[] {
  state.failedWatches = 0;
  return head === null ? [] : wantDocument(state, head.version, context);
}

/** The watch ended; it is taken up again after a wait that grows with each failure. */
export function configWatchEnded(state: ConfigState, context: ConfigContext): ConfigEffect[] {
  state.watching = false;
  state.failedWatches += 1;
  state.watchAtMs = context.nowMs + backOffMs(state, state.failedWatches, context);
  state.headReadAtMs = Math.min(state.headReadAtMs, state.watchAtMs);
  return [];
}

/** The answer to a read of the document key; null when absent or unreadable. */
export function configDocumentRead(
  state: ConfigState,
  document: ConfigurationDocument | null,
  context: ConfigContext,
): ConfigEffect[] {
  const sentAtMs = state.documentReadSentAtMs;
  state.documentReadSentAtMs = null;
  if (document === null || sentAtMs === null) return [];
  const effects = adopt(state, withoutText(document), null, context);
  if (document.version >= versionInForce(state)) noteFresh(state, document.version, sentAtMs);
  return [...effects, ...tickConfig(state, context)];
}

/** A read of the document that failed; the next head read asks for it again. */
export function configDocumentReadFailed(
  state: ConfigState,
  context: ConfigContext,
): ConfigEffect[] {
  state.documentReadSentAtMs = null;
  state.failedReads += 1;
  state.headReadAtMs = context.nowMs + backOffMs(state, state.failedReads, context);
  return [];
}
