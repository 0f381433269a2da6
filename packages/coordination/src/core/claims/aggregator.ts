/**
 * The claim aggregator: gathers claims for a few milliseconds and takes them in one transaction, so
 * that the key-value service sees batches in place of single writes (group commit). It is no
 * authority: two aggregators may work on one key, since the transaction alone decides. Where some
 * claims of a batch are held already, these are answered and the rest is tried again. After a lost
 * answer the same transaction is tried again, and its own values, found in place, count as granted.
 */
import type { Random } from '../random/random.js';
import { ClaimReplyKind, claimKeyOf, parseClaim } from './claim.js';
import type { ClaimReply, ClaimRequest } from './claim.js';
import type { RevisionCompare, StoredValue, StoredWrite, TransactionOutcome } from './key-value.js';

/** Decides the condition under which a claim is written; null for none. */
export type CompareOf = (key: string, expectedRevision: number) => RevisionCompare | null;

/** Bounds and guards. */
export interface AggregatorOptions {
  readonly maxBatch: number;
  readonly maxQueue: number;
  /** Longest wait of a claim for others to share its transaction. */
  readonly gatherMs: number;
  /** Time after which a claim that could not be decided is refused. */
  readonly giveUpAfterMs: number;
  readonly retryAfterFailureMs: number;
  /** Least time that a claim is kept. */
  readonly retentionMs: number;
  /** Time for which one lease takes new claims. */
  readonly bucketMs: number;
  readonly compareOf: CompareOf;
}

/** Batches under the usual bound of 128 operations; 5 ms are little beside a call's own time. */
export const DEFAULT_AGGREGATOR_OPTIONS: AggregatorOptions = {
  maxBatch: 100,
  maxQueue: 2000,
  gatherMs: 5,
  giveUpAfterMs: 2000,
  retryAfterFailureMs: 100,
  retentionMs: 86_400_000,
  bucketMs: 3_600_000,
  compareOf: createIfAbsent,
};

/**
 * Guards a call against running twice. Failure: two entries, each unaware of the other, dispatch
 * the same key; it shows as a receipt issued twice. The guard holds because the service writes the
 * second claim only over the revision that was read, and an existing claim has another one.
 */
export function createIfAbsent(key: string, expectedRevision: number): RevisionCompare {
  return { key, modRevision: expectedRevision };
}

/** A claim that waits for its decision. */
interface PendingClaim {
  readonly callId: string;
  readonly request: ClaimRequest;
  readonly arrivedAtMs: number;
  /** Revision over which it may be written: 0 unless it replaces a claim that was read. */
  expectedRevision: number;
}

/** The aggregator's memory. */
export interface AggregatorState {
  queue: PendingClaim[];
  inFlight: PendingClaim[];
  lease: { readonly leaseId: string; readonly usableUntilMs: number } | null;
  isGranting: boolean;
  timerId: number;
  timerIsSet: boolean;
}

/** What it is told. */
export enum AggregatorEventKind {
  Asked = 'asked',
  TimerFired = 'timer-fired',
  LeaseGranted = 'lease-granted',
  LeaseFailed = 'lease-failed',
  Transacted = 'transacted',
  /** No answer: the writes may or may not have taken effect. */
  TransactionFailed = 'transaction-failed',
}

/** One thing that it is told. */
export type AggregatorEvent =
  | {
      readonly kind: AggregatorEventKind.Asked;
      readonly callId: string;
      readonly request: ClaimRequest;
    }
  | { readonly kind: AggregatorEventKind.TimerFired; readonly timerId: number }
  | { readonly kind: AggregatorEventKind.LeaseGranted; readonly leaseId: string }
  | { readonly kind: AggregatorEventKind.LeaseFailed }
  | { readonly kind: AggregatorEventKind.Transacted; readonly outcome: TransactionOutcome }
  | { readonly kind: AggregatorEventKind.TransactionFailed };

/** What it asks to be done. */
export enum AggregatorEffectKind {
  GrantLease = 'grant-lease',
  Transact = 'transact',
  Reply = 'reply',
  SetTimer = 'set-timer',
}

/** One thing to be done; at most one transaction and one grant are under way at a time. */
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

/** What varies from call to call. */
export interface AggregatorContext {
  readonly nowMs: number;
  readonly random: Random;
  readonly options: AggregatorOptions;
}

interface Turn {
  readonly state: AggregatorState;
  readonly context: AggregatorContext;
  readonly out: AggregatorEffect[];
}

/** An aggregator without work. */
export function createAggregator(): AggregatorState {
  return {
    queue: [],
    inFlight: [],
    lease: null,
    isGranting: false,
    timerId: 0,
    timerIsSet: false,
  };
}

/** Takes one event and returns what is to be done. */
export function handleAggregatorEvent(
  state: AggregatorState,
  event: AggregatorEvent,
  context: AggregatorContext,
): readonly AggregatorEffect[] {
  const turn: Turn = { state, context, out: [] };
  switch (event.kind) {
    case AggregatorEventKind.Asked:
      ask(turn, event.callId, event.request);
      break;
    case AggregatorEventKind.TimerFired:
      if (event.timerId !== state.timerId) break;
      state.timerIsSet = false;
      flush(turn);
      break;
    case AggregatorEventKind.LeaseGranted: {
      const usableUntilMs = context.nowMs + context.options.bucketMs;
      state.lease = { leaseId: event.leaseId, usableUntilMs };
      state.isGranting = false;
      flush(turn);
      break;
    }
    case AggregatorEventKind.LeaseFailed:
      state.isGranting = false;
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

function ask(turn: Turn, callId: string, request: ClaimRequest): void {
  const { state, context } = turn;
  if (state.queue.length + state.inFlight.length >= context.options.maxQueue) {
    reply(turn, callId, unavailable(turn));
    return;
  }
  const arrivedAtMs = context.nowMs;
  state.queue.push({ callId, request, arrivedAtMs, expectedRevision: 0 });
  const isIdle = state.inFlight.length === 0;
  if (isIdle && state.queue.length >= context.options.maxBatch) flush(turn);
  else setTimer(turn, context.options.gatherMs);
}

function flush(turn: Turn): void {
  const { state, context } = turn;
  refuseOverdue(turn);
  if (state.inFlight.length > 0 || state.queue.length === 0) return;
  if (state.lease === null || state.lease.usableUntilMs <= context.nowMs) {
    if (state.isGranting) return;
    state.isGranting = true;
    const ttlMs = context.options.retentionMs + context.options.bucketMs;
    turn.out.push({ kind: AggregatorEffectKind.GrantLease, ttlMs });
    return;
  }
  state.inFlight = takeBatch(state, context.options.maxBatch);
  transact(turn, state.lease.leaseId);
}

/** One claim per key and transaction: a second claim of the same key waits for the next. */
function takeBatch(state: AggregatorState, maxBatch: number): PendingClaim[] {
  const batch = new Map<string, PendingClaim>();
  const rest: PendingClaim[] = [];
  for (const claim of state.queue) {
    const isFirst = !batch.has(claim.request.keyText);
    if (isFirst && batch.size < maxBatch) batch.set(claim.request.keyText, claim);
    else rest.push(claim);
  }
  state.queue = rest;
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
  const current = new Map(outcome.current.map((entry) => [entry.key, entry]));
  for (const claim of batch) {
    if (outcome.succeeded) grant(turn, claim);
    else decideClaim(turn, claim, current.get(claimKeyOf(claim.request.keyText)));
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

function refuseOverdue(turn: Turn): void {
  const { state, context } = turn;
  const sinceMs = context.nowMs - context.options.giveUpAfterMs;
  const overdue = state.queue.filter((claim) => claim.arrivedAtMs <= sinceMs);
  if (overdue.length === 0) return;
  state.queue = state.queue.filter((claim) => claim.arrivedAtMs > sinceMs);
  for (const claim of overdue) reply(turn, claim.callId, unavailable(turn));
}

function retryLater(turn: Turn): void {
  const { random, options } = turn.context;
  refuseOverdue(turn);
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

function unavailable(turn: Turn): ClaimReply {
  const retryAfterMs = turn.context.options.giveUpAfterMs;
  return { kind: ClaimReplyKind.Unavailable, holder: null, retryAfterMs };
}
