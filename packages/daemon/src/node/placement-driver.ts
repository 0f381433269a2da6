/**
 * Selects members by the current membership: the holders of a key, the member that batches its
 * claims, and the watchers. The placement is rebuilt at most once per membership change, so a
 * lookup is one pass over precomputed hashes.
 */
import {
  type Hash32,
  type Member,
  MemberState,
  type Placement,
  claimAggregatorOf,
  createPlacement,
  holdersOf,
  holdersWithout,
  watcherOf,
} from '@cassiamast/coordination';

/** Number of members that batch claims: about 16 concurrent transactions of 5 ms and more. */
const CLAIM_SHARDS = 16;

/** Selects among the current members. */
export interface PlacementDriver {
  /** Returns the holders of a key, computed without the members in `without`. */
  readonly holdersOf: (keyText: string, without?: ReadonlySet<string>) => readonly string[];
  readonly aggregatorOf: (keyText: string) => string | null;
  readonly watcherOf: (kind: string, failureDomain: string) => string | null;
  /** The members that keys are placed on. */
  readonly placed: () => readonly Member[];
  /** Must be called when a member joined, left or changed. */
  readonly membersChanged: () => void;
}

/** Creates the driver; `present` lists the members that are not dead. */
export function createPlacementDriver(
  present: () => readonly Member[],
  hash32: Hash32,
): PlacementDriver {
  let placement: Placement | null = null;

  function current(): Placement {
    placement ??= createPlacement(present().filter(canHoldKeys), hash32);
    return placement;
  }

  return {
    holdersOf: (keyText, without) =>
      without === undefined
        ? holdersOf(current(), keyText)
        : holdersWithout(current(), keyText, without),
    aggregatorOf: (keyText) => claimAggregatorOf(current(), keyText, CLAIM_SHARDS),
    placed: () => present().filter(canHoldKeys),
    watcherOf: (kind, failureDomain) => watcherOf(current(), kind, failureDomain),
    membersChanged: () => {
      placement = null;
    },
  };
}

/**
 * Returns whether keys may be placed on a member. Leaving members are excluded, so their records
 * are copied to the new holders while they still answer. Suspect members are included, since most
 * suspicions turn out to be false.
 */
function canHoldKeys(member: Member): boolean {
  return member.state === MemberState.Alive || member.state === MemberState.Suspect;
}
