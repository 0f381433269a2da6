/**
 * The claim aggregator: collects claims for a few milliseconds and writes them in one transaction, so
 * that the key-value service receives batches instead of single writes (group commit). Two
 * aggregators may work on the same key, as only the transaction decides. If some claims of a batch
 * are already held, those are answered and the others are retried. After a lost answer the claims are
 * retried too, and a stored claim of the requesting attempt itself counts as granted.
 */
import type { Random } from '../random/random.js';
import { ClaimReplyKind, claimKeyOf, parseClaim } from './claim.js';
import type { ClaimReply, ClaimRequest } from './claim.js';
import type { RevisionCompare, StoredValue, StoredWrite, TransactionOutcome } from './key-value.js';

/** Returns the condition under which a claim is written, or null to write unconditionally. */
export type CompareOf = (key: string, expectedRevision: number) => RevisionCompare | null;

/** Limits and decision functions of the aggregator. */
export interface AggregatorOptions {
  readonly maxBatch: number;
  readonly maxQueue: number;
  /** Longest time that a claim waits for others to share its transaction. */
  readonly maxBatchDelayMs: number;
  /** Time after which a claim that could not be decided is rejected. */
  readonly giveUpAfterMs: number;
  /** Average delay before a failed transaction or lease grant is retried. */
  readonly retryAfterFailureMs: number;
  /** Minimum time for which a claim is kept. */
  readonly retentionMs: number;
  /** Time for which new claims are attached to the same lease. */
  readonly bucketMs: number;
  readonly compareOf: CompareOf;
}

/**
 * Defaults. Batches stay below the usual limit of 128 operations per transaction, and 5 ms of waiting
 * are short compared with the duration of a call.
 */
export const DEFAULT_AGGREGATOR_OPTIONS: AggregatorOptions = {
  maxBatch: 100,
  maxQueue: 2000,
  maxBatchDelayMs: 5,
  giveUpAfterMs: 2000,
  retryAfterFailureMs: 100,
  retentionMs: 86_400_000,
  bucketMs: 3_600_000,
  compareOf: createIfAbsent,
};

/**
 * Requires that the key still has the revision that was read, or does not exist if that is 0. This
 * prevents a call from running twice: if two entries dispatch the same idempotency key without
 * knowing of each other, the second claim finds another revision and fails. Without it, for example,
 * a receipt could be issued twice.
 */
export function createIfAbsent(key: string, expectedRevision: number): RevisionCompare {
  return { key, modRevision: expectedRevision };
}

/** A claim that is not decided yet. */
interface PendingClaim {
  readonly callId: string;
  readonly request: ClaimRequest;
  readonly arrivedAtMs: number;
  /** Revision that the key must have: 0 unless the claim replaces a stored one. */
  expectedRevision: number;
}

/** State of an aggregator. */
export interface AggregatorState {
  queue: PendingClaim[];
  inFlight: PendingClaim[];
  lease: { readonly leaseId: string; readonly usableUntilMs: number } | null;
  isLeaseRequested: boolean;
  timerId: number;
  timerIsSet: boolean;
}

/** Kinds of events that the aggregator handles. */
export enum AggregatorEventKind {
  Requested = 'asked',
  TimerFired = 'timer-fired',
  LeaseGranted = 'lease-granted',
  LeaseFailed = 'lease-failed',
  Transacted = 'transacted',
  /** The transaction got no answer: its writes may or may not have taken effect. */
  TransactionFailed = 'transaction-failed',
}

/** An event that the aggregator handles. */
export type AggregatorEvent =
  | {
      readonly kind: AggregatorEventKind.Requested;
      readonly callId: string;
      readonly request: ClaimRequest;
    }
  | { readonly kind: AggregatorEventKind.TimerFired; readonly timerId: number }
  | { readonly kind: AggregatorEventKind.LeaseGranted; readonly leaseId: string }
  | { readonly kind: AggregatorEventKind.LeaseFailed }
  | { readonly kind: AggregatorEventKind.Transacted; readonly outcome: TransactionOutcome }
  | { readonly kind: AggregatorEventKind.TransactionFailed };

/** Kinds of effects that the aggregator requests. */
export enum AggregatorEffectKind {
  GrantLease = 'grant-lease',
  Transact = 'transact',
  Reply = 'reply',
  SetTimer = 'set-timer',
}

/** An effect to perform. At most one transaction and one lease grant are in flight at a time. */
export type AggregatorEffect =
  | { readonly kind: AggregatorEffectKind.GrantLease; readonly ttlMs: number }
  | {
      readonly kind: AggregatorEffectKind.Transact;
      readonly compares: readonly RevisionCompare[];
      readonly writes: readonly StoredWrite[];
    }
  | {
      readonly kind: AggregatorEffectKind.Reply;
      readonly callId: string;
      readonly reply: ClaimReply;
    }
  | {
      readonly kind: AggregatorEffectKind.SetTimer;
      readonly timerId: number;
      readonly afterMs: number;
    };

/** Inputs of one call to the aggregator. */
export interface AggregatorContext {
  readonly nowMs: number;
  readonly random: Random;
  readonly options: AggregatorOptions;
}

/** Handling of one event: collects its effects. */
interface Turn {
  readonly state: AggregatorState;
  readonly context: AggregatorContext;
  readonly out: AggregatorEffect[];
}

/** Creates an aggregator without claims. */
export function createAggregator(): AggregatorState {
  return {
    queue: [],
    inFlight: [],
    lease: null,
    isLeaseRequested: false,
    timerId: 0,
    timerIsSet: false,
  };
}

/** Handles one event and returns the effects to perform. */
export function handleAggregatorEvent(
  state: AggregatorState,
  event: AggregatorEvent,
  context: AggregatorContext,
): readonly AggregatorEffect[] {
  const turn: Turn = { state, context, out: [] };
  switch (event.kind) {
    case AggregatorEventKind.Requested:
      enqueueClaim(turn, event.callId, event.request);
      break;
    case AggregatorEventKind.TimerFired:
      if (event.timerId !== state.timerId) break;
      state.timerIsSet = false;
      flush(turn);
      break;
    case AggregatorEventKind.LeaseGranted: {
      const usableUntilMs = context.nowMs + context.options.bucketMs;
      state.lease = { leaseId: event.leaseId, usableUntilMs };
      state.isLeaseRequested = false;
      flush(turn);
      break;
    }
    case AggregatorEventKind.LeaseFailed:
      state.isLeaseRequested = false;
      retryLater(turn);
      break;
    case AggregatorEventKind.Transacted:
      decideBatch(turn, event.outcome);
      flush(turn);
      break;
    case AggregatorEventKind.TransactionFailed:
      state.queue = [...state.inFlight, ...state.queue];
      state.inFlight = [];
      retryLater(turn);
  }
  return turn.out;
}

function enqueueClaim(turn: Turn, callId: string, request: ClaimRequest): void {
  const { state, context } = turn;
  if (state.queue.length + state.inFlight.length >= context.options.maxQueue) {
    reply(turn, callId, unavailableReply(turn));
    return;
  }
  const arrivedAtMs = context.nowMs;
  state.queue.push({ callId, request, arrivedAtMs, expectedRevision: 0 });
  const isIdle = state.inFlight.length === 0;
  if (isIdle && state.queue.length >= context.options.maxBatch) flush(turn);
  else setTimer(turn, context.options.maxBatchDelayMs);
}

function flush(turn: Turn): void {
  const { state, context } = turn;
  rejectOverdue(turn);
  if (state.inFlight.length > 0 || state.queue.length === 0) return;
  if (state.lease === null || state.lease.usableUntilMs <= context.nowMs) {
    if (state.isLeaseRequested) return;
    state.isLeaseRequested = true;
    const ttlMs = context.options.retentionMs + context.options.bucketMs;
    turn.out.push({ kind: AggregatorEffectKind.GrantLease, ttlMs });
    return;
  }
  state.inFlight = takeBatch(state, context.options.maxBatch);
  transact(turn, state.lease.leaseId);
}

/** Removes the next batch from the queue. A second claim of the same key waits for the next batch. */
function takeBatch(state: AggregatorState, maxBatch: number): PendingClaim[] {
  const batch = new Map<string, PendingClaim>();
  const remaining: PendingClaim[] = [];
  for (const claim of state.queue) {
    const isFirst = !batch.has(claim.request.keyText);
    if (isFirst && batch.size < maxBatch) batch.set(claim.request.keyText, claim);
    else remaining.push(claim);
  }
  state.queue = remaining;
  return [...batch.values()];
}

function transact(turn: Turn, leaseId: string): void {
  const compares: RevisionCompare[] = [];
  const writes: StoredWrite[] = [];
  for (const claim of turn.state.inFlight) {
    const { keyText, attempt, bodyHash } = claim.request;
    const key = claimKeyOf(keyText);
    const compare = turn.context.options.compareOf(key, claim.expectedRevision);
    if (compare !== null) compares.push(compare);
    writes.push({ key, value: JSON.stringify({ attempt, bodyHash }), leaseId });
  }
  turn.out.push({ kind: AggregatorEffectKind.Transact, compares, writes });
}

function decideBatch(turn: Turn, outcome: TransactionOutcome): void {
  const { state } = turn;
  const batch = state.inFlight;
  state.inFlight = [];
  const entriesByKey = new Map(outcome.current.map((entry) => [entry.key, entry]));
  for (const claim of batch) {
    if (outcome.succeeded) grant(turn, claim);
    else decideClaim(turn, claim, entriesByKey.get(claimKeyOf(claim.request.keyText)));
  }
}

function decideClaim(turn: Turn, claim: PendingClaim, entry: StoredValue | undefined): void {
  const { request } = claim;
  if (entry === undefined) {
    claim.expectedRevision = 0;
    turn.state.queue.push(claim);
    return;
  }
  const holder = parseClaim(entry);
  if (holder?.attempt.id === request.attempt.id) {
    grant(turn, claim);
    return;
  }
  const mayReplace = holder !== null && holder.attempt.id === request.replacesId;
  if (mayReplace && holder.bodyHash === request.bodyHash) {
    claim.expectedRevision = entry.modRevision;
    turn.state.queue.push(claim);
    return;
  }
  reply(turn, claim.callId, { kind: ClaimReplyKind.Held, holder, retryAfterMs: 0 });
}

function grant(turn: Turn, claim: PendingClaim): void {
  const { attempt, bodyHash } = claim.request;
  const holder = { attempt, bodyHash };
  reply(turn, claim.callId, { kind: ClaimReplyKind.Granted, holder, retryAfterMs: 0 });
}

function rejectOverdue(turn: Turn): void {
  const { state, context } = turn;
  const overdueBeforeMs = context.nowMs - context.options.giveUpAfterMs;
  const overdue = state.queue.filter((claim) => claim.arrivedAtMs <= overdueBeforeMs);
  if (overdue.length === 0) return;
  state.queue = state.queue.filter((claim) => claim.arrivedAtMs > overdueBeforeMs);
  for (const claim of overdue) reply(turn, claim.callId, unavailableReply(turn));
}

function retryLater(turn: Turn): void {
  const { random, options } = turn.context;
  rejectOverdue(turn);
  if (turn.state.queue.length === 0) return;
  setTimer(turn, Math.ceil(options.retryAfterFailureMs * (0.5 + random())));
}

function setTimer(turn: Turn, afterMs: number): void {
  const { state } = turn;
  if (state.timerIsSet) return;
  state.timerIsSet = true;
  state.timerId += 1;
  turn.out.push({ kind: AggregatorEffectKind.SetTimer, timerId: state.timerId, afterMs });
}

function reply(turn: Turn, callId: string, claimReply: ClaimReply): void {
  turn.out.push({ kind: AggregatorEffectKind.Reply, callId, reply: claimReply });
}

function unavailableReply(turn: Turn): ClaimReply {
  const retryAfterMs = turn.context.options.giveUpAfterMs;
  return { kind: ClaimReplyKind.Unavailable, holder: null, retryAfterMs };
}
