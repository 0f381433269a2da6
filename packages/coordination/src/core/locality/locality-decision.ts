/**
 * Chooses the target of one request: a local one, unless a target in another failure domain responds
 * sooner by more than the additional round trip and the price of leaving.
 */
import { type LeavingShare, mayLeave } from './leaving-share.js';
import type { LocalityOptions } from './options.js';

/** A target that may take the request. */
export interface LocalityCandidate {
  readonly isLocal: boolean;
  /** Expected time to respond without the network: work ahead plus service, at observed speed. */
  readonly expectedMs: number;
  /** Cost in milliseconds by which candidates of the same domain are compared; at least 0. */
  readonly balanceMs: number;
  /** Whether its speed was observed lately; if not, the expected time is that of an average target. */
  readonly isKnown: boolean;
}

/** Why a candidate was chosen. */
export enum LocalityReason {
  /** A local target responds first, or nearly so. */
  Local = 'local',
  /** Leaving would save time, but the share that may leave is used up. */
  ShareUsedUp = 'share-used-up',
  /** Another domain responds sooner, including the round trip and the price. */
  Sooner = 'sooner',
  /** The failure domain has no target for this request. */
  NoLocalTarget = 'no-local-target',
}

/** The chosen candidate and the reason for it. */
export interface LocalityDecision<T> {
  readonly candidate: T;
  readonly reason: LocalityReason;
}

/** Returns the target for one request and updates the controller, or null without candidates. */
export function decideLocality<T extends LocalityCandidate>(
  candidates: readonly T[],
  leaving: LeavingShare,
  options: LocalityOptions,
  nowMs: number,
): LocalityDecision<T> | null {
  const local = candidates.filter(({ isLocal }) => isLocal);
  const remote = candidates.filter(({ isLocal }) => !isLocal);
  const bestLocal = bestBalanced(local);
  const bestRemote = bestBalanced(remote);
  if (bestLocal === null) {
    return bestRemote && { candidate: bestRemote, reason: LocalityReason.NoLocalTarget };
  }
  if (bestRemote === null) return { candidate: bestLocal, reason: LocalityReason.Local };
  const soonest = soonestOf(remote) ?? bestRemote;
  // The soonest response that each side offers; the balance may prefer another target of the side.
  const localMs = (soonestOf(local) ?? bestLocal).expectedMs;
  const { roundTripMs, leavePriceMs, minGainRatio } = options;
  const gainMs = localMs * (1 - minGainRatio) - soonest.expectedMs - roundTripMs - leavePriceMs;
  const gain = { gainMs, localMs, isKnown: soonest.isKnown };
  if (mayLeave(leaving, gain, options, nowMs)) {
    return { candidate: bestRemote, reason: LocalityReason.Sooner };
  }
  const reason = gainMs > 0 ? LocalityReason.ShareUsedUp : LocalityReason.Local;
  return { candidate: bestLocal, reason };
}

function soonestOf<T extends LocalityCandidate>(candidates: readonly T[]): T | null {
  return candidates.reduce<T | null>(
    (best, candidate) =>
      best === null || candidate.expectedMs < best.expectedMs ? candidate : best,
    null,
  );
}

function bestBalanced<T extends LocalityCandidate>(candidates: readonly T[]): T | null {
  return candidates.reduce<T | null>(
    (best, candidate) =>
      best === null || balancedMs(candidate) < balancedMs(best) ? candidate : best,
    null,
  );
}

function balancedMs({ expectedMs, balanceMs }: LocalityCandidate): number {
  return expectedMs + balanceMs;
}
