/**
 * Decides which share of a common allowance a gateway may use without asking the others, such as the
 * slack of the retry budget. The allowance limits what all gateways together do in any window.
 *
 * Gateways divide it by the number of gateways that they know. That number is only right if each
 * gateway that uses a share is known to all others that do, so a gateway has a share only
 *
 * - after it was announced without a gap until all others must have read it, and until what they did
 *   before, with a larger share, is a window ago. That also covers the processes before it in its
 *   place. Only if no gateway has used a share before, it need not wait.
 * - while its announcement was confirmed, and the fleet read, a short time ago. Otherwise gateways
 *   that it does not know may count on their shares.
 *
 * Gateways that have disappeared are counted for as long as they may have used their share.
 */

/** Options of a share. */
export interface AllowanceShareOptions {
  /** Window that the allowance applies to. */
  readonly windowMs: number;
  /** Time to live of an announcement. */
  readonly leaseTtlMs: number;
}

/** The current time by two clocks. */
export interface ClockReading {
  /** Never runs faster than time; for durations that must at least have passed. */
  readonly monotonicMs: number;
  /** Never runs slower than time; for durations that must not have passed yet. */
  readonly elapsedMs: number;
}

/** Why a gateway has a share or none. */
export enum ShareState {
  Counted = 'counted',
  /** Announced too recently for all others to count it. */
  Recent = 'announced-recently',
  /** Its announcement was not confirmed for too long. */
  Unconfirmed = 'announcement-not-confirmed',
  /** It has not read the fleet for too long. */
  Outdated = 'fleet-not-read',
}

/** The share that a gateway may use now. */
export interface AllowanceShare {
  readonly state: ShareState;
  /** Part of the allowance, from 0 to 1. */
  readonly fraction: number;
  /** Number of gateways that the allowance is divided by. */
  readonly gateways: number;
}

/** What a gateway knows about itself and the others, as far as the share depends on it. */
export interface ShareKnowledge {
  readonly options: AllowanceShareOptions;
  /** When each gateway was last known to be announced, by id and the monotonic clock. */
  readonly lastAnnouncedAtMs: Map<string, number>;
  /** Since when this gateway has been announced without a gap, by the monotonic clock. */
  announcedSinceMs: number;
  /** Since when it has read the fleet without a gap, by the monotonic clock. */
  readSinceMs: number;
  /** When the last confirmed announcement or renewal was sent, by the elapsed clock. */
  confirmedAtMs: number;
  /** When the last answered read was sent, by the elapsed clock. */
  readAtMs: number;
  /** Whether all others count this gateway. */
  isCounted: boolean;
}

/** How long a gateway counts after its announcement has disappeared, in windows. */
const RETENTION_WINDOWS = 2;
/** Longest age of what a gateway relies on, in windows. */
const MAX_AGE_WINDOWS = 0.5;

/** Creates the knowledge of a gateway that starts now. */
export function createShareKnowledge(options: AllowanceShareOptions): ShareKnowledge {
  return {
    options,
    lastAnnouncedAtMs: new Map(),
    announcedSinceMs: Infinity,
    readSinceMs: Infinity,
    confirmedAtMs: -Infinity,
    readAtMs: -Infinity,
    isCounted: false,
  };
}

/**
 * Records the gateways that are announced now. Must be called often compared to the window. While this
 * gateway's own announcement may have lapsed, those of others may have as well although they still
 * serve, so none of them is forgotten.
 */
export function recordGateways(
  knowledge: ShareKnowledge,
  ids: Iterable<string>,
  { monotonicMs, elapsedMs }: ClockReading,
): void {
  const { lastAnnouncedAtMs, options, confirmedAtMs } = knowledge;
  if (elapsedMs - confirmedAtMs >= options.leaseTtlMs) {
    for (const id of lastAnnouncedAtMs.keys()) lastAnnouncedAtMs.set(id, monotonicMs);
  }
  const keepFromMs = monotonicMs - RETENTION_WINDOWS * options.windowMs;
  for (const id of ids) lastAnnouncedAtMs.set(id, monotonicMs);
  for (const [id, atMs] of lastAnnouncedAtMs) {
    if (atMs < keepFromMs) lastAnnouncedAtMs.delete(id);
  }
}

/**
 * Records a new announcement whose lease was requested at `sentAtMs` of the elapsed clock. After a gap
 * of up to a window the others still count this gateway, if they did before.
 */
export function recordAnnouncement(
  knowledge: ShareKnowledge,
  sentAtMs: number,
  now: ClockReading,
): void {
  const gapMs = now.elapsedMs - knowledge.confirmedAtMs;
  if (!knowledge.isCounted || gapMs > knowledge.options.windowMs) {
    knowledge.announcedSinceMs = now.monotonicMs;
    knowledge.isCounted = false;
  }
  knowledge.confirmedAtMs = sentAtMs;
}

/** Records a renewal of the announcement that was sent at `sentAtMs` of the elapsed clock. */
export function recordRenewal(knowledge: ShareKnowledge, sentAtMs: number): void {
  knowledge.confirmedAtMs = Math.max(knowledge.confirmedAtMs, sentAtMs);
}

/**
 * Records a read of the fleet that was sent at `sentAtMs` of the elapsed clock. In a gap of over a
 * window, a gateway may have come, used its share and gone.
 */
export function recordFleetRead(
  knowledge: ShareKnowledge,
  sentAtMs: number,
  now: ClockReading,
): void {
  if (now.elapsedMs - knowledge.readAtMs > knowledge.options.windowMs) {
    knowledge.readSinceMs = now.monotonicMs;
    knowledge.isCounted = false;
  }
  knowledge.readAtMs = Math.max(knowledge.readAtMs, sentAtMs);
}

/**
 * Returns the announcement that this gateway relies on, as the time since when it holds, once the
 * gateway has also read the fleet; null before that.
 */
export function currentAnnouncement(knowledge: ShareKnowledge): number | null {
  const { announcedSinceMs, readSinceMs } = knowledge;
  return announcedSinceMs < Infinity && readSinceMs < Infinity ? announcedSinceMs : null;
}

/**
 * Records that all gateways that may use the allowance count this one, because it has been announced
 * since before any of them did. Does nothing if the announcement may have lapsed since.
 */
export function recordFirstStart(
  knowledge: ShareKnowledge,
  announcement: number,
  now: ClockReading,
): void {
  const isConfirmed = now.elapsedMs - knowledge.confirmedAtMs < knowledge.options.leaseTtlMs;
  if (knowledge.announcedSinceMs === announcement && isConfirmed) knowledge.isCounted = true;
}

/**
 * Returns the number of gateways that divide an allowance which need not hold over restarts. Infinite
 * until this gateway was announced and has read the fleet once: it can't know any other before.
 */
export function gatewayCount(knowledge: ShareKnowledge): number {
  return currentAnnouncement(knowledge) === null
    ? Infinity
    : Math.max(1, knowledge.lastAnnouncedAtMs.size);
}

/** Returns the share that the gateway may use now. */
export function allowanceShare(knowledge: ShareKnowledge, now: ClockReading): AllowanceShare {
  const gateways = Math.max(1, knowledge.lastAnnouncedAtMs.size);
  const state = shareState(knowledge, now);
  return { state, gateways, fraction: state === ShareState.Counted ? 1 / gateways : 0 };
}

function shareState(knowledge: ShareKnowledge, now: ClockReading): ShareState {
  const maxAgeMs = MAX_AGE_WINDOWS * knowledge.options.windowMs;
  const confirmedForMs = now.elapsedMs - knowledge.confirmedAtMs;
  if (confirmedForMs > maxAgeMs) return ShareState.Unconfirmed;
  if (now.elapsedMs - knowledge.readAtMs > maxAgeMs) return ShareState.Outdated;
  if (!knowledge.isCounted) {
    const settledMs = knowledge.options.windowMs + maxAgeMs;
    const sinceMs = Math.max(knowledge.announcedSinceMs, knowledge.readSinceMs);
    const isSettled = now.monotonicMs - sinceMs > settledMs;
    // An announcement that has not been confirmed for longer may have lapsed meanwhile.
    knowledge.isCounted = isSettled && confirmedForMs < knowledge.options.leaseTtlMs;
  }
  return knowledge.isCounted ? ShareState.Counted : ShareState.Recent;
}
