/**
 * Comparing views. A joining member fetches the whole view page by page from its seeds and then
 * from random peers; later each member compares its digests with one random peer now and then,
 * which repairs whatever gossip missed for a few hundred bytes.
 */
import type { Result } from 'neverthrow';
import { err, ok } from 'neverthrow';
import type { Failure } from '../failures/failure.js';
import { randomBelow } from '../random/random.js';
import { DIGEST_BUCKETS, bucketOf } from './digest.js';
import type { MembershipContext, MembershipEffect } from './effects.js';
import { MembershipEffectKind } from './effects.js';
import { malformedMembershipMessage, syncBusy } from './failures.js';
import type { EncodedNews, MemberNews, SyncAnswer, SyncRequest } from './messages.js';
import type { MembershipState, PendingSync } from './state.js';
import { Spread, applyNews, newsOf, pickPeer } from './view.js';
import { decodeNews, encodeNews } from './wire.js';

/** A comparison that stands still this long is given up: its answer was lost. */
const SYNC_TIMEOUT_MS = 10_000;

/**
 * Views that differed are compared again this soon: during a mass start the peer did not know
 * everybody either.
 */
const DIFFERED_RETRY_MS = 4_000;

/** A member that knows nobody tries its seeds this often. */
const JOIN_RETRY_MS = 1_000;

/** With as many suspects a failure domain seems to die, and views differ by the moment. */
const MANY_SUSPECTS = 20;

/** Time that the dying of a failure domain takes; comparing views waits for its end. */
const MASS_DEATH_MS = 20_000;

/** Share of comparisons that go to a seed which was never met, while there is one. */
const STRANGE_SEED_RATIO = 0.5;

/**
 * The peer to compare views with. Failure guarded against: processes that start together meet in
 * two groups that never hear of each other. It shows as a seed that was never met, in one group at
 * least, since the seeds are known to all.
 */
function choosePeer(state: MembershipState, context: MembershipContext): string | null {
  const returned = state.returnedPeer;
  state.returnedPeer = null;
  if (returned !== null) return returned;
  const strangeSeeds = state.seeds.filter((seed) => !state.records.has(seed));
  const seed = strangeSeeds[randomBelow(context.random, Math.max(1, strangeSeeds.length))] ?? null;
  if (seed !== null && context.random() < STRANGE_SEED_RATIO) return seed;
  return pickPeer(state, [], context) ?? seed ?? state.seeds[0] ?? null;
}

function scheduleSync(state: MembershipState, context: MembershipContext): void {
  const alone = state.records.size === 0;
  const intervalMs = alone ? JOIN_RETRY_MS : state.options.syncIntervalMs;
  state.timers.syncAtMs = context.nowMs + intervalMs * (0.5 + context.random());
}

function requestPage(
  state: MembershipState,
  sync: PendingSync,
  context: MembershipContext,
): MembershipEffect {
  sync.nextPageAtMs = null;
  sync.askedAtMs = context.nowMs;
  const request: SyncRequest = {
    digests: [...state.digests],
    fromBucket: sync.nextBucket,
    self: encodeNews(newsOf(state.self)),
  };
  return { kind: MembershipEffectKind.RequestSync, to: sync.peer, request };
}

/** Starts or continues a comparison when one is due. */
export function continueSync(
  state: MembershipState,
  context: MembershipContext,
): MembershipEffect[] {
  const { sync } = state;
  if (sync !== null) return continuePages(state, sync, context);
  if (context.nowMs < state.timers.syncAtMs) return [];
  scheduleSync(state, context);
  if (state.suspects.size >= MANY_SUSPECTS) {
    state.timers.syncAtMs = context.nowMs + MASS_DEATH_MS * (1 + context.random());
    return [];
  }
  const peer = choosePeer(state, context);
  if (peer === null) return [];
  const started = { peer, askedAtMs: context.nowMs, nextPageAtMs: null, nextBucket: 0 };
  state.sync = started;
  return [requestPage(state, started, context)];
}

function continuePages(
  state: MembershipState,
  sync: PendingSync,
  context: MembershipContext,
): MembershipEffect[] {
  if (sync.nextPageAtMs !== null && context.nowMs >= sync.nextPageAtMs) {
    return [requestPage(state, sync, context)];
  }
  const waitingSinceMs = context.nowMs - sync.askedAtMs;
  if (sync.nextPageAtMs === null && waitingSinceMs >= SYNC_TIMEOUT_MS) state.sync = null;
  return [];
}

/** When the comparison wants to be woken. */
export function syncWakeAtMs(state: MembershipState): number {
  if (state.sync === null) return state.timers.syncAtMs;
  return state.sync.nextPageAtMs ?? state.sync.askedAtMs + SYNC_TIMEOUT_MS;
}

function takePageAllowance(state: MembershipState, nowMs: number): boolean {
  const { syncPagesPerS } = state.options;
  const elapsedS = Math.max(0, nowMs - state.syncRefilledAtMs) / 1_000;
  state.syncPages = Math.min(syncPagesPerS, state.syncPages + elapsedS * syncPagesPerS);
  state.syncRefilledAtMs = nowMs;
  if (state.syncPages < 1) return false;
  state.syncPages -= 1;
  return true;
}

function differingBuckets(state: MembershipState, request: SyncRequest): Set<number> {
  const differing = new Set<number>();
  for (let bucket = request.fromBucket; bucket < DIGEST_BUCKETS; bucket += 1) {
    if (state.digests[bucket] !== request.digests[bucket]) differing.add(bucket);
  }
  return differing;
}

function newsByBucket(
  state: MembershipState,
  wanted: ReadonlySet<number>,
  context: MembershipContext,
): Map<number, MemberNews[]> {
  const grouped = new Map<number, MemberNews[]>();
  // What is held against a member in silence is told to nobody.
  const members = [...state.records.values()].map(({ member, stateBeforeSilence }) =>
    stateBeforeSilence === null ? member : { ...member, state: stateBeforeSilence },
  );
  for (const member of [...members, state.self]) {
    const bucket = bucketOf(member.id, context.hash32);
    if (!wanted.has(bucket)) continue;
    const group = grouped.get(bucket) ?? [];
    group.push(newsOf(member));
    grouped.set(bucket, group);
  }
  return grouped;
}

function isSyncRequest(request: Partial<SyncRequest> | null): request is SyncRequest {
  if (typeof request !== 'object' || request === null) return false;
  const { digests, fromBucket, self } = request;
  if (!Array.isArray(digests) || digests.length !== DIGEST_BUCKETS) return false;
  return Number.isSafeInteger(fromBucket) && Array.isArray(self);
}

/**
 * Learns of the asker. Failure guarded against: in a mass start a member's news died out among peers
 * that knew few others, and it knows everybody while nobody knows it. It shows as an asker that is a
 * stranger here.
 */
function meetAsker(
  state: MembershipState,
  request: SyncRequest,
  context: MembershipContext,
): MembershipEffect[] {
  const [asker] = decodeNews([request.self]) ?? [];
  if (asker === undefined || asker.id === state.self.id) return [];
  return applyNews(state, asker, Spread.Tell, 'asked for the view', context);
}

/**
 * What came of a request for the view. The effects are to be performed whatever the answer is: the
 * asker is known from now on, also where it is turned away.
 */
export interface SyncService {
  readonly answer: Result<SyncAnswer, Failure>;
  readonly effects: readonly MembershipEffect[];
}

/**
 * Serves one page of this member's view. Errors: `sync-busy` when more pages are asked for than
 * this member serves a second, as when a failure domain returns at once, and the asker goes
 * elsewhere; `malformed-membership-message`.
 */
export function answerSync(
  state: MembershipState,
  request: SyncRequest,
  context: MembershipContext,
): SyncService {
  if (!isSyncRequest(request)) {
    const reason = 'not a request for the view';
    const malformed = malformedMembershipMessage.of({ method: 'member.sync', reason });
    return { answer: err(malformed), effects: [] };
  }
  const effects = meetAsker(state, request, context);
  return { answer: pageFor(state, request, context), effects };
}

function pageFor(
  state: MembershipState,
  request: SyncRequest,
  context: MembershipContext,
): Result<SyncAnswer, Failure> {
  const differing = differingBuckets(state, request);
  if (differing.size === 0) return ok({ members: [], nextBucket: null });
  if (!takePageAllowance(state, context.nowMs)) {
    return err(syncBusy.of({ retryAfterMs: 1_000 / state.options.syncPagesPerS }));
  }
  const grouped = newsByBucket(state, differing, context);
  const members: EncodedNews[] = [];
  for (const bucket of differing) {
    if (members.length >= state.options.syncPageMembers) return ok({ members, nextBucket: bucket });
    members.push(...(grouped.get(bucket) ?? []).map(encodeNews));
  }
  return ok({ members, nextBucket: null });
}

/** Takes a page in and asks for the next one after a pause. */
export function receiveSyncAnswer(
  state: MembershipState,
  from: string,
  answer: SyncAnswer,
  context: MembershipContext,
): MembershipEffect[] {
  const members = decodeNews((answer as Partial<SyncAnswer> | null)?.members);
  if (members === null) {
    syncFailed(state, context);
    return [];
  }
  const effects = members.flatMap((news) =>
    applyNews(state, news, Spread.Keep, `view of ${from}`, context),
  );
  if (effects.length > 0) {
    const againAtMs = context.nowMs + DIFFERED_RETRY_MS * (0.5 + context.random());
    state.timers.syncAtMs = Math.min(state.timers.syncAtMs, againAtMs);
  }
  const { sync } = state;
  if (sync?.peer !== from) return effects;
  if (answer.nextBucket === null || answer.nextBucket <= sync.nextBucket) {
    state.sync = null;
    return effects;
  }
  sync.nextBucket = answer.nextBucket;
  sync.nextPageAtMs = context.nowMs + state.options.syncPageIntervalMs;
  return effects;
}

/** The peer did not answer or was busy: another one is tried soon. */
export function syncFailed(state: MembershipState, context: MembershipContext): void {
  const failedPeer = state.sync?.peer;
  state.sync = null;
  // A seed that is gone for good is asked now and then only.
  const isStrangeSeed = failedPeer !== undefined && !state.records.has(failedPeer);
  if (isStrangeSeed && state.records.size > 0) return;
  state.timers.syncAtMs = context.nowMs + JOIN_RETRY_MS * (0.5 + context.random());
}
