/**
 * Anti-entropy sync. A joining member fetches the whole view page by page, first from its seeds and
 * then from random peers. After that each member periodically compares its digests with one random
 * peer, which repairs what gossip missed at a cost of a few hundred bytes.
 */
import type { Result } from 'neverthrow';
import { err, ok } from 'neverthrow';
import type { Failure } from '../failures/failure.js';
import { randomBelow } from '../random/random.js';
import { DIGEST_BUCKETS, bucketOf } from './digest.js';
import type { MembershipContext, MembershipEffect } from './effects.js';
import { MembershipEffectKind } from './effects.js';
import { malformedMembershipMessage, syncBusy } from './failures.js';
import type { EncodedUpdate, MemberUpdate, SyncAnswer, SyncRequest } from './messages.js';
import type { MembershipState, PendingSync } from './state.js';
import { Propagation, applyUpdate, updateOf, pickPeer } from './view.js';
import { decodeUpdates, encodeUpdate } from './wire.js';

/** A sync without an answer for this long is abandoned, because the answer was lost. */
const SYNC_TIMEOUT_MS = 10_000;

/**
 * Delay until the next sync after the views differed. During a mass start the peer's view is
 * incomplete too.
 */
const DIFFERING_VIEW_RETRY_MS = 4_000;

/** Interval at which a member that knows no others retries its seeds. */
const JOIN_RETRY_MS = 1_000;

/** With this many suspects a failure domain is probably failing, and views change constantly. */
const MANY_SUSPECTS = 20;

/**
 * Time until the failure of a domain has spread to all members; the sync is postponed until then.
 */
const DOMAIN_FAILURE_MS = 20_000;

/** Share of syncs that go to an unknown seed while there is one. */
const UNKNOWN_SEED_RATIO = 0.5;

/**
 * Chooses the peer for the next sync. Some syncs go to seeds that are not in the table yet. Without
 * this, processes that start together can form two groups that never discover each other. In at
 * least one of the groups a seed is unknown then, because all processes have the same seeds.
 */
function choosePeer(state: MembershipState, context: MembershipContext): string | null {
  const returnedPeerId = state.returnedPeer;
  state.returnedPeer = null;
  if (returnedPeerId !== null) return returnedPeerId;
  const unknownSeeds = state.seeds.filter((seed) => !state.records.has(seed));
  const seed = unknownSeeds[randomBelow(context.random, Math.max(1, unknownSeeds.length))] ?? null;
  if (seed !== null && context.random() < UNKNOWN_SEED_RATIO) return seed;
  return pickPeer(state, [], context) ?? seed ?? state.seeds[0] ?? null;
}

function scheduleSync(state: MembershipState, context: MembershipContext): void {
  const isAlone = state.records.size === 0;
  const intervalMs = isAlone ? JOIN_RETRY_MS : state.options.syncIntervalMs;
  state.timers.syncAtMs = context.nowMs + intervalMs * (0.5 + context.random());
}

function requestPage(
  state: MembershipState,
  sync: PendingSync,
  context: MembershipContext,
): MembershipEffect {
  sync.nextPageAtMs = null;
  sync.requestedAtMs = context.nowMs;
  const request: SyncRequest = {
    digests: [...state.digests],
    fromBucket: sync.nextBucket,
    self: encodeUpdate(updateOf(state.self)),
  };
  return { kind: MembershipEffectKind.RequestSync, to: sync.peer, request };
}

/** Starts a sync or requests its next page when due. */
export function continueSync(
  state: MembershipState,
  context: MembershipContext,
): MembershipEffect[] {
  const { sync } = state;
  if (sync !== null) return continuePages(state, sync, context);
  if (context.nowMs < state.timers.syncAtMs) return [];
  scheduleSync(state, context);
  if (state.suspects.size >= MANY_SUSPECTS) {
    state.timers.syncAtMs = context.nowMs + DOMAIN_FAILURE_MS * (1 + context.random());
    return [];
  }
  const peer = choosePeer(state, context);
  if (peer === null) return [];
  const startedSync = { peer, requestedAtMs: context.nowMs, nextPageAtMs: null, nextBucket: 0 };
  state.sync = startedSync;
  return [requestPage(state, startedSync, context)];
}

function continuePages(
  state: MembershipState,
  sync: PendingSync,
  context: MembershipContext,
): MembershipEffect[] {
  if (sync.nextPageAtMs !== null && context.nowMs >= sync.nextPageAtMs) {
    return [requestPage(state, sync, context)];
  }
  const waitedMs = context.nowMs - sync.requestedAtMs;
  if (sync.nextPageAtMs === null && waitedMs >= SYNC_TIMEOUT_MS) state.sync = null;
  return [];
}

/** Returns when {@link continueSync} is due next. */
export function syncWakeAtMs(state: MembershipState): number {
  if (state.sync === null) return state.timers.syncAtMs;
  return state.sync.nextPageAtMs ?? state.sync.requestedAtMs + SYNC_TIMEOUT_MS;
}

function takePageToken(state: MembershipState, nowMs: number): boolean {
  const { syncPagesPerS } = state.options;
  const elapsedS = Math.max(0, nowMs - state.syncRefilledAtMs) / 1_000;
  state.syncPageTokens = Math.min(syncPagesPerS, state.syncPageTokens + elapsedS * syncPagesPerS);
  state.syncRefilledAtMs = nowMs;
  if (state.syncPageTokens < 1) return false;
  state.syncPageTokens -= 1;
  return true;
}

function differingBuckets(state: MembershipState, request: SyncRequest): Set<number> {
  const differing = new Set<number>();
  for (let bucket = request.fromBucket; bucket < DIGEST_BUCKETS; bucket += 1) {
    if (state.digests[bucket] !== request.digests[bucket]) differing.add(bucket);
  }
  return differing;
}

function updatesByBucket(
  state: MembershipState,
  buckets: ReadonlySet<number>,
  context: MembershipContext,
): Map<number, MemberUpdate[]> {
  const grouped = new Map<number, MemberUpdate[]>();
  // Local suspicions are not sent to other members.
  const members = [...state.records.values()].map(({ member, stateBeforeLocalSuspicion }) =>
    stateBeforeLocalSuspicion === null ? member : { ...member, state: stateBeforeLocalSuspicion },
  );
  for (const member of [...members, state.self]) {
    const bucket = bucketOf(member.id, context.hash32);
    if (!buckets.has(bucket)) continue;
    const group = grouped.get(bucket) ?? [];
    group.push(updateOf(member));
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
 * Adds the requester to the table if it is unknown. Without this, a member can know all others
 * while none knows it: during a mass start, the update about its start may reach its send limit
 * among peers that know few other members.
 */
function learnRequester(
  state: MembershipState,
  request: SyncRequest,
  context: MembershipContext,
): MembershipEffect[] {
  const [requester] = decodeUpdates([request.self]) ?? [];
  if (requester === undefined || requester.id === state.self.id) return [];
  return applyUpdate(state, requester, Propagation.Gossip, 'asked for the view', context);
}

/**
 * Result of a sync request. The effects must be performed even if the answer is a failure, because
 * the requester is in the table from now on.
 */
export interface SyncOutcome {
  readonly answer: Result<SyncAnswer, Failure>;
  readonly effects: readonly MembershipEffect[];
}

/**
 * Serves one page of this member's view. Errors: `sync-busy` when the page limit per second is
 * reached, for example when a whole failure domain restarts (the requester tries another peer);
 * `malformed-membership-message`.
 */
export function answerSync(
  state: MembershipState,
  request: SyncRequest,
  context: MembershipContext,
): SyncOutcome {
  if (!isSyncRequest(request)) {
    const reason = 'not a request for the view';
    const malformed = malformedMembershipMessage.of({ method: 'member.sync', reason });
    return { answer: err(malformed), effects: [] };
  }
  const effects = learnRequester(state, request, context);
  return { answer: buildPage(state, request, context), effects };
}

function buildPage(
  state: MembershipState,
  request: SyncRequest,
  context: MembershipContext,
): Result<SyncAnswer, Failure> {
  const differing = differingBuckets(state, request);
  if (differing.size === 0) return ok({ members: [], nextBucket: null });
  if (!takePageToken(state, context.nowMs)) {
    return err(syncBusy.of({ retryAfterMs: 1_000 / state.options.syncPagesPerS }));
  }
  const grouped = updatesByBucket(state, differing, context);
  const members: EncodedUpdate[] = [];
  for (const bucket of differing) {
    if (members.length >= state.options.syncPageMembers) return ok({ members, nextBucket: bucket });
    members.push(...(grouped.get(bucket) ?? []).map(encodeUpdate));
  }
  return ok({ members, nextBucket: null });
}

/** Applies a page and schedules the request for the next one. */
export function receiveSyncAnswer(
  state: MembershipState,
  from: string,
  answer: SyncAnswer,
  context: MembershipContext,
): MembershipEffect[] {
  const members = decodeUpdates((answer as Partial<SyncAnswer> | null)?.members);
  if (members === null) {
    syncFailed(state, context);
    return [];
  }
  const effects = members.flatMap((update) =>
    applyUpdate(state, update, Propagation.None, `view of ${from}`, context),
  );
  if (effects.length > 0) {
    const retryAtMs = context.nowMs + DIFFERING_VIEW_RETRY_MS * (0.5 + context.random());
    state.timers.syncAtMs = Math.min(state.timers.syncAtMs, retryAtMs);
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

/** Handles a sync that failed or was rejected as busy, and schedules another one soon. */
export function syncFailed(state: MembershipState, context: MembershipContext): void {
  const failedPeer = state.sync?.peer;
  state.sync = null;
  // An unknown seed may be gone permanently, so its failure does not trigger an early retry.
  const isUnknownSeed = failedPeer !== undefined && !state.records.has(failedPeer);
  if (isUnknownSeed && state.records.size > 0) return;
  state.timers.syncAtMs = context.nowMs + JOIN_RETRY_MS * (0.5 + context.random());
}
