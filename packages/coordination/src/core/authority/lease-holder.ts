/**
 * The planner's lease: taken by compare-and-swap under a lease of the key-value service, kept alive,
 * given up cleanly, and treated as lost on the holder's own clock well before it can lapse. The
 * create revision of the key is the fencing number of every order.
 */
import type { Random } from '../random/random.js';

/** Kinds of lease effects. */
export enum LeaseEffectKind {
  /** Read the lease key; feed `leaseKeyRead` or `leaseCallFailed`. */
  ReadKey = 'read-key',
  /** Feed `leaseGranted` or `leaseCallFailed`. */
  GrantLease = 'grant-lease',
  /** Create the key if absent, bound to the lease; feed `leaseKeyTaken` or `leaseCallFailed`. */
  TakeKey = 'take-key',
  /** Feed `leaseKeptAlive` or `leaseCallFailed`. */
  KeepAlive = 'keep-alive',
  /** Best effort; the answer is not needed. */
  Revoke = 'revoke',
  Gained = 'gained',
  Lost = 'lost',
}

/** An effect of the lease machine. */
export type LeaseEffect =
  | { readonly kind: LeaseEffectKind.ReadKey }
  | { readonly kind: LeaseEffectKind.GrantLease; readonly ttlMs: number }
  | { readonly kind: LeaseEffectKind.TakeKey; readonly leaseId: string; readonly value: string }
  | { readonly kind: LeaseEffectKind.KeepAlive | LeaseEffectKind.Revoke; readonly leaseId: string }
  | { readonly kind: LeaseEffectKind.Gained; readonly fence: number }
  | { readonly kind: LeaseEffectKind.Lost; readonly fence: number; readonly reason: string };

/** Where the machine stands. */
export enum LeasePhase {
  Idle = 'idle',
  Looking = 'looking',
  Granting = 'granting',
  Taking = 'taking',
  /** The answer to taking the key was lost: the key says who holds it. */
  ReadingBack = 'reading-back',
  Held = 'held',
}

/** Guards; each prevents one failure that the design note names. */
export interface LeaseGuards {
  /** Whether the holder stops on its own clock before the lease can lapse. */
  readonly fencesItself: boolean;
  /** Whether a new holder waits until tickets of its predecessor have expired. */
  readonly waitsOut: boolean;
}

/** Settings of the lease. */
export interface LeaseOptions {
  /** Longer than common pauses, so that planning does not wander; a takeover waits as long. */
  readonly ttlMs: number;
  readonly renewIntervalMs: number;
  /** The holder stops this long before the lease can lapse: covers clocks that run differently. */
  readonly safetyMs: number;
  /** Time between a takeover and the first order: a ticket's validity and the sending of its order. */
  readonly waitOutMs: number;
  /** A candidate looks at the key this often. */
  readonly retryMs: number;
  readonly guards: LeaseGuards;
}

/** The default settings; see docs/design/authority.md. */
export const LEASE_OPTIONS: LeaseOptions = {
  ttlMs: 10_000,
  renewIntervalMs: 3_000,
  safetyMs: 2_000,
  waitOutMs: 6_000,
  retryMs: 2_000,
  guards: { fencesItself: true, waitsOut: true },
};

/** What the lease machine needs at each step. */
export interface LeaseContext {
  readonly nowMs: number;
  readonly random: Random;
  /** Whether this member is to hold the lease if it is free: one member, by rendezvous. */
  readonly isCandidate: () => boolean;
}

/** The state of one service's lease in one process. */
export interface LeaseState {
  readonly options: LeaseOptions;
  readonly selfId: string;
  phase: LeasePhase;
  leaseId: string | null;
  fence: number;
  sentAtMs: number;
  renewing: boolean;
  renewAtMs: number;
  lookAtMs: number;
  /** On the own clock; no later than the lapse of the lease less the safety. */
  validUntilMs: number;
  firstOrderAtMs: number;
}

/** A process that holds nothing. */
export function createLease(selfId: string, options: LeaseOptions, nowMs: number): LeaseState {
  return {
    options,
    selfId,
    phase: LeasePhase.Idle,
    leaseId: null,
    fence: 0,
    sentAtMs: nowMs,
    renewing: false,
    renewAtMs: nowMs,
    lookAtMs: nowMs,
    validUntilMs: nowMs,
    firstOrderAtMs: nowMs,
  };
}

/** What the key holds, as JSON: the planner and the lease, by which it recognises its own write. */
function keyValue(selfId: string, leaseId: string): string {
  return JSON.stringify({ planner: selfId, leaseId });
}

/** Reads the lease key's value; null when it is not one. */
export function parseLeaseKey(value: string): { planner: string; leaseId: string } | null {
  try {
    const parsed = JSON.parse(value) as Partial<Record<string, unknown>> | null;
    const planner = parsed?.['planner'];
    const leaseId = parsed?.['leaseId'];
    if (typeof planner !== 'string' || typeof leaseId !== 'string') return null;
    return { planner, leaseId };
  } catch {
    return null;
  }
}

/**
 * Whether the process holds the authority now. Failure guarded against: the holder was paused past
 * the lapse and gives an order as if nothing had happened. It shows on its own clock, because the
 * validity runs from before the last renewal was sent.
 */
export function holdsAuthority(state: LeaseState, nowMs: number): boolean {
  if (state.phase !== LeasePhase.Held) return false;
  return !state.options.guards.fencesItself || nowMs < state.validUntilMs;
}

/** Whether an order may be given now: authority is held, and a predecessor's tickets are void. */
export function mayOrder(state: LeaseState, nowMs: number): boolean {
  const waited = !state.options.guards.waitsOut || nowMs >= state.firstOrderAtMs;
  return waited && holdsAuthority(state, nowMs);
}

function toIdle(state: LeaseState, context: LeaseContext): void {
  state.phase = LeasePhase.Idle;
  state.leaseId = null;
  state.renewing = false;
  state.lookAtMs = context.nowMs + state.options.retryMs * (0.5 + context.random());
}

function lose(state: LeaseState, reason: string, context: LeaseContext): LeaseEffect[] {
  const { fence, leaseId } = state;
  toIdle(state, context);
  const effects: LeaseEffect[] = [{ kind: LeaseEffectKind.Lost, fence, reason }];
  if (leaseId !== null) effects.push({ kind: LeaseEffectKind.Revoke, leaseId });
  return effects;
}

function abandon(state: LeaseState, context: LeaseContext): LeaseEffect[] {
  const { leaseId } = state;
  toIdle(state, context);
  return leaseId === null ? [] : [{ kind: LeaseEffectKind.Revoke, leaseId }];
}

function gain(state: LeaseState, fence: number, context: LeaseContext): LeaseEffect[] {
  // Taking the key took so long that its lease may have lapsed in between.
  if (context.nowMs >= state.validUntilMs && state.options.guards.fencesItself) {
    return abandon(state, context);
  }
  state.phase = LeasePhase.Held;
  state.fence = fence;
  state.firstOrderAtMs = context.nowMs + state.options.waitOutMs;
  state.renewAtMs = context.nowMs + state.options.renewIntervalMs;
  return [{ kind: LeaseEffectKind.Gained, fence }];
}

/** Does whatever is due; call it several times a second while the process stands for planning. */
export function tickLease(state: LeaseState, context: LeaseContext): LeaseEffect[] {
  const { nowMs } = context;
  if (state.phase === LeasePhase.Held) return tickHeld(state, context);
  if (state.phase !== LeasePhase.Idle || nowMs < state.lookAtMs) return [];
  state.lookAtMs = nowMs + state.options.retryMs;
  if (!context.isCandidate()) return [];
  state.phase = LeasePhase.Looking;
  return [{ kind: LeaseEffectKind.ReadKey }];
}

function tickHeld(state: LeaseState, context: LeaseContext): LeaseEffect[] {
  if (!holdsAuthority(state, context.nowMs)) {
    return lose(state, 'the lease was not renewed in time on the own clock', context);
  }
  if (state.renewing || context.nowMs < state.renewAtMs || state.leaseId === null) return [];
  state.renewing = true;
  state.sentAtMs = context.nowMs;
  return [{ kind: LeaseEffectKind.KeepAlive, leaseId: state.leaseId }];
}

/** The key as read, with its create revision; null when it is absent. */
export function leaseKeyRead(
  state: LeaseState,
  entry: { readonly value: string; readonly createRevision: number } | null,
  context: LeaseContext,
): LeaseEffect[] {
  if (state.phase === LeasePhase.Looking) {
    if (entry !== null) {
      toIdle(state, context);
      return [];
    }
    state.phase = LeasePhase.Granting;
    state.sentAtMs = context.nowMs;
    return [{ kind: LeaseEffectKind.GrantLease, ttlMs: state.options.ttlMs }];
  }
  if (state.phase !== LeasePhase.ReadingBack || state.leaseId === null) return [];
  if (entry !== null && parseLeaseKey(entry.value)?.leaseId === state.leaseId) {
    return gain(state, entry.createRevision, context);
  }
  return abandon(state, context);
}

/** The lease was granted; its time runs from before the request was sent. */
export function leaseGranted(
  state: LeaseState,
  lease: { readonly leaseId: string; readonly ttlMs: number },
): LeaseEffect[] {
  if (state.phase !== LeasePhase.Granting) return [];
  const { leaseId } = lease;
  state.leaseId = leaseId;
  state.validUntilMs = state.sentAtMs + lease.ttlMs - state.options.safetyMs;
  state.phase = LeasePhase.Taking;
  return [{ kind: LeaseEffectKind.TakeKey, leaseId, value: keyValue(state.selfId, leaseId) }];
}

/** The key was taken at this create revision, or null when another process had it. */
export function leaseKeyTaken(
  state: LeaseState,
  createRevision: number | null,
  context: LeaseContext,
): LeaseEffect[] {
  if (state.phase !== LeasePhase.Taking) return [];
  if (createRevision === null) return abandon(state, context);
  return gain(state, createRevision, context);
}

/** The lease lives on; null when the service no longer knows it. */
export function leaseKeptAlive(
  state: LeaseState,
  lease: { readonly ttlMs: number } | null,
  context: LeaseContext,
): LeaseEffect[] {
  if (state.phase !== LeasePhase.Held) return [];
  state.renewing = false;
  if (lease === null)
    return lose(state, 'the key-value service no longer knows the lease', context);
  state.validUntilMs = state.sentAtMs + lease.ttlMs - state.options.safetyMs;
  state.renewAtMs = state.sentAtMs + state.options.renewIntervalMs;
  return [];
}

/** A call failed or its answer was lost; what it did is found out, never assumed. */
export function leaseCallFailed(state: LeaseState, context: LeaseContext): LeaseEffect[] {
  switch (state.phase) {
    case LeasePhase.Held:
      state.renewing = false;
      state.renewAtMs =
        context.nowMs + state.options.renewIntervalMs * (0.1 + context.random() / 4);
      return [];
    case LeasePhase.Taking:
      state.phase = LeasePhase.ReadingBack;
      return [{ kind: LeaseEffectKind.ReadKey }];
    case LeasePhase.Idle:
      return [];
    case LeasePhase.Looking:
    case LeasePhase.Granting:
    case LeasePhase.ReadingBack:
      return abandon(state, context);
  }
}

/** Gives the authority up, as on shutdown. */
export function giveUpLease(state: LeaseState, context: LeaseContext): LeaseEffect[] {
  if (state.phase === LeasePhase.Held) return lose(state, 'given up', context);
  return abandon(state, context);
}
