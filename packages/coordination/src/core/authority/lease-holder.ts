/**
 * State machine of the lease that elects the one planner of a service. A candidate creates the
 * lease key by compare-and-swap, bound to a lease of the key-value service, and renews that lease.
 * The holder stops acting on its own clock before the lease can expire. The create revision of the
 * key is the fencing token of every order.
 */
import type { Random } from '../random/random.js';

/** The kinds of {@link LeaseEffect}. */
export enum LeaseEffectKind {
  /** Read the lease key, then call `leaseKeyRead` or `leaseCallFailed`. */
  ReadKey = 'read-key',
  /** Request a lease, then call `leaseGranted` or `leaseCallFailed`. */
  GrantLease = 'grant-lease',
  /**
   * Create the key if absent, bound to the lease, then call `leaseKeyTaken` or `leaseCallFailed`.
   */
  TakeKey = 'take-key',
  /** Renew the lease, then call `leaseKeptAlive` or `leaseCallFailed`. */
  KeepAlive = 'keep-alive',
  /** Revoke the lease on a best-effort basis; the answer is not needed. */
  Revoke = 'revoke',
  Gained = 'gained',
  Lost = 'lost',
}

/** An action that the lease state machine requests from its process. */
export type LeaseEffect =
  | { readonly kind: LeaseEffectKind.ReadKey }
  | { readonly kind: LeaseEffectKind.GrantLease; readonly ttlMs: number }
  | { readonly kind: LeaseEffectKind.TakeKey; readonly leaseId: string; readonly value: string }
  | { readonly kind: LeaseEffectKind.KeepAlive | LeaseEffectKind.Revoke; readonly leaseId: string }
  | { readonly kind: LeaseEffectKind.Gained; readonly fence: number }
  | { readonly kind: LeaseEffectKind.Lost; readonly fence: number; readonly reason: string };

/** The phases of the lease state machine. */
export enum LeasePhase {
  Idle = 'idle',
  ReadingKey = 'looking',
  Granting = 'granting',
  Taking = 'taking',
  /**
   * The answer to creating the key was lost, or the store came back from an older copy; the key is
   * read to find out who holds it.
   */
  ReadingBack = 'reading-back',
  Held = 'held',
}

/** Switches for the safety rules of the lease. The fuzzer turns off one at a time. */
export interface LeaseGuards {
  /** Whether the holder stops on its own clock before the lease can expire. */
  readonly stopsBeforeExpiry: boolean;
  /** Whether a new holder waits until the tickets of its predecessor have expired. */
  readonly waitsForOldTickets: boolean;
}

/** Options of the lease. */
export interface LeaseOptions {
  /** Longer than common pauses, to avoid needless changes of holder; a takeover waits as long. */
  readonly ttlMs: number;
  readonly renewIntervalMs: number;
  /**
   * Margin by which the holder stops before the lease can expire; covers clock rate differences.
   */
  readonly safetyMs: number;
  /** Delay of the first order after a takeover: lifetime of a ticket plus sending of its order. */
  readonly takeoverDelayMs: number;
  /** Interval at which a candidate reads the key. */
  readonly retryMs: number;
  readonly guards: LeaseGuards;
}

/** The default options; see docs/design/authority.md. */
export const LEASE_OPTIONS: LeaseOptions = {
  ttlMs: 10_000,
  renewIntervalMs: 3_000,
  safetyMs: 2_000,
  takeoverDelayMs: 6_000,
  retryMs: 2_000,
  guards: { stopsBeforeExpiry: true, waitsForOldTickets: true },
};

/** A lease as the key-value service answers. */
export interface GrantedLease {
  readonly ttlMs: number;
  /** Rises when the service comes back from an older copy, which may lack the lease or its keys. */
  readonly era?: number;
}

/** The inputs of each step of the lease state machine. */
export interface LeaseContext {
  readonly nowMs: number;
  readonly random: Random;
  /** Whether this member may acquire a free lease: one member, chosen by rendezvous hashing. */
  readonly isCandidate: () => boolean;
}

/** The state of the lease of one service in one process. */
export interface LeaseState {
  readonly options: LeaseOptions;
  readonly selfId: string;
  phase: LeasePhase;
  leaseId: string | null;
  /** The era of the key-value service in which the key was last known to be there. */
  era: number;
  /** The era in which the lease was last known to be that of this process. */
  leaseEra: number;
  fence: number;
  sentAtMs: number;
  renewing: boolean;
  renewAtMs: number;
  nextKeyReadAtMs: number;
  /** On the local clock; at most the lease's expiry minus `safetyMs`. */
  validUntilMs: number;
  /** When the grant or renewal was sent that was confirmed last. */
  renewedAtMs: number;
  /** Whether the key was held already when the service came back from an older copy. */
  isRegained: boolean;
  firstOrderAtMs: number;
}

/** Creates the state of a process that does not hold the lease. */
export function createLease(selfId: string, options: LeaseOptions, nowMs: number): LeaseState {
  return {
    options,
    selfId,
    phase: LeasePhase.Idle,
    leaseId: null,
    era: 0,
    leaseEra: 0,
    fence: 0,
    sentAtMs: nowMs,
    renewing: false,
    renewAtMs: nowMs,
    nextKeyReadAtMs: nowMs,
    validUntilMs: nowMs,
    renewedAtMs: nowMs,
    isRegained: false,
    firstOrderAtMs: nowMs,
  };
}

/** Returns the value of the key as JSON. The lease id lets a process recognize its own write. */
function keyValue(selfId: string, leaseId: string): string {
  return JSON.stringify({ planner: selfId, leaseId });
}

/** Parses the value of the lease key; returns null if it is malformed. */
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
 * Returns whether the process holds the lease now. Without this check, a holder that was paused
 * until after the expiry would continue to issue orders. The local clock is enough to detect this,
 * because the validity counts from before the last renewal was sent.
 */
export function holdsAuthority(state: LeaseState, nowMs: number): boolean {
  if (state.phase !== LeasePhase.Held) return false;
  return !state.options.guards.stopsBeforeExpiry || nowMs < state.validUntilMs;
}

/** Returns whether an order may be issued: the lease is held and earlier tickets have expired. */
export function mayOrder(state: LeaseState, nowMs: number): boolean {
  const waited = !state.options.guards.waitsForOldTickets || nowMs >= state.firstOrderAtMs;
  return waited && holdsAuthority(state, nowMs);
}

function resetToIdle(state: LeaseState, context: LeaseContext): void {
  state.phase = LeasePhase.Idle;
  state.leaseId = null;
  state.renewing = false;
  state.isRegained = false;
  state.nextKeyReadAtMs = context.nowMs + state.options.retryMs * (0.5 + context.random());
}

function loseLease(state: LeaseState, reason: string, context: LeaseContext): LeaseEffect[] {
  const lost: LeaseEffect = { kind: LeaseEffectKind.Lost, fence: state.fence, reason };
  return [lost, ...abandonAttempt(state, context)];
}

/** Revokes the lease, unless a later era of the service may have granted its id to another process. */
function abandonAttempt(state: LeaseState, context: LeaseContext): LeaseEffect[] {
  const { leaseId, era, leaseEra } = state;
  resetToIdle(state, context);
  if (leaseId === null || leaseEra !== era) return [];
  return [{ kind: LeaseEffectKind.Revoke, leaseId }];
}

function gainLease(state: LeaseState, fence: number, context: LeaseContext): LeaseEffect[] {
  // Creating the key took so long that its lease may have expired in the meantime.
  if (context.nowMs >= state.validUntilMs && state.options.guards.stopsBeforeExpiry) {
    return abandonAttempt(state, context);
  }
  state.phase = LeasePhase.Held;
  state.fence = fence;
  state.firstOrderAtMs = context.nowMs + state.options.takeoverDelayMs;
  state.renewAtMs = context.nowMs + state.options.renewIntervalMs;
  return [{ kind: LeaseEffectKind.Gained, fence }];
}

/** Runs the actions that are due. Call it several times a second while the process may plan. */
export function tickLease(state: LeaseState, context: LeaseContext): LeaseEffect[] {
  const { nowMs } = context;
  if (state.phase === LeasePhase.Held) return tickHeld(state, context);
  if (state.phase !== LeasePhase.Idle || nowMs < state.nextKeyReadAtMs) return [];
  state.nextKeyReadAtMs = nowMs + state.options.retryMs;
  if (!context.isCandidate()) return [];
  state.phase = LeasePhase.ReadingKey;
  return [{ kind: LeaseEffectKind.ReadKey }];
}

function tickHeld(state: LeaseState, context: LeaseContext): LeaseEffect[] {
  if (!holdsAuthority(state, context.nowMs)) {
    return loseLease(state, 'the lease was not renewed in time on the own clock', context);
  }
  if (state.renewing || context.nowMs < state.renewAtMs || state.leaseId === null) return [];
  state.renewing = true;
  state.sentAtMs = context.nowMs;
  return [{ kind: LeaseEffectKind.KeepAlive, leaseId: state.leaseId }];
}

/** Handles the key as read, with its create revision; null if the key is absent. */
export function leaseKeyRead(
  state: LeaseState,
  entry: { readonly value: string; readonly createRevision: number } | null,
  context: LeaseContext,
): LeaseEffect[] {
  if (state.phase === LeasePhase.ReadingKey) {
    if (entry !== null) {
      resetToIdle(state, context);
      return [];
    }
    state.phase = LeasePhase.Granting;
    state.sentAtMs = context.nowMs;
    return [{ kind: LeaseEffectKind.GrantLease, ttlMs: state.options.ttlMs }];
  }
  if (state.phase !== LeasePhase.ReadingBack || state.leaseId === null) return [];
  const key = entry === null ? null : parseLeaseKey(entry.value);
  if (entry === null || key?.leaseId !== state.leaseId) return abandonAttempt(state, context);
  if (key.planner === state.selfId) {
    state.leaseEra = state.era;
    return gainLease(state, entry.createRevision, context);
  }
  // A service that came back from an older copy has granted this lease id to another process.
  resetToIdle(state, context);
  return [];
}

/** Handles a granted lease, whose validity counts from before the request was sent. */
export function leaseGranted(
  state: LeaseState,
  lease: GrantedLease & { readonly leaseId: string },
): LeaseEffect[] {
  if (state.phase !== LeasePhase.Granting) return [];
  const { leaseId } = lease;
  state.leaseId = leaseId;
  state.era = lease.era ?? 0;
  state.leaseEra = state.era;
  extendValidity(state, lease);
  state.phase = LeasePhase.Taking;
  return [{ kind: LeaseEffectKind.TakeKey, leaseId, value: keyValue(state.selfId, leaseId) }];
}

/** Handles the result of creating the key: its create revision, or null if it already existed. */
export function leaseKeyTaken(
  state: LeaseState,
  createRevision: number | null,
  context: LeaseContext,
): LeaseEffect[] {
  if (state.phase !== LeasePhase.Taking) return [];
  if (createRevision === null) return abandonAttempt(state, context);
  return gainLease(state, createRevision, context);
}

/** Handles the answer to a renewal; null if the key-value service no longer knows the lease. */
export function leaseKeptAlive(
  state: LeaseState,
  lease: GrantedLease | null,
  context: LeaseContext,
): LeaseEffect[] {
  if (state.phase !== LeasePhase.Held) return [];
  state.renewing = false;
  if (lease === null)
    return loseLease(state, 'the key-value service no longer knows the lease', context);
  if ((lease.era ?? 0) !== state.era) return readKeyOfCopy(state, lease);
  extendValidity(state, lease);
  state.renewAtMs = state.sentAtMs + state.options.renewIntervalMs;
  return [];
}

/** The validity counts from before the confirmed call was sent. */
function extendValidity(state: LeaseState, { ttlMs }: GrantedLease): void {
  state.renewedAtMs = state.sentAtMs;
  state.validUntilMs = state.sentAtMs + ttlMs - state.options.safetyMs;
}

/**
 * Stops acting until the key was read: the service came back from an older copy, which may have the
 * lease without the key. Another process could take the key while this one renews the lease.
 */
function readKeyOfCopy(state: LeaseState, lease: GrantedLease): LeaseEffect[] {
  const reason = 'the key-value service came back from an older copy';
  state.phase = LeasePhase.ReadingBack;
  state.isRegained = true;
  state.era = lease.era ?? 0;
  extendValidity(state, lease);
  return [
    { kind: LeaseEffectKind.Lost, fence: state.fence, reason },
    { kind: LeaseEffectKind.ReadKey },
  ];
}

/** Handles a failed call or a lost answer. Whether the call had an effect is not assumed. */
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
    case LeasePhase.ReadingKey:
    case LeasePhase.Granting:
    case LeasePhase.ReadingBack:
      return abandonAttempt(state, context);
  }
}

/** Gives up the lease, for example during a graceful shutdown. */
export function giveUpLease(state: LeaseState, context: LeaseContext): LeaseEffect[] {
  if (state.phase === LeasePhase.Held) return loseLease(state, 'given up', context);
  return abandonAttempt(state, context);
}
