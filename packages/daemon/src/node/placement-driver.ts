/**
 * Placement kept in step with membership: who holds a key, who batches its claims, who watches.
 * Rebuilt at most once per change, so that a choice costs one pass over prepared hashes.
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

/** Claims are spread over this many batching members: some 16 transactions of 5 ms and more. */
const CLAIM_SHARDS = 16;

/** Choices among the present members. */
export interface PlacementDriver {
  /** As if the members in `without` were not there, where that is given. */
  readonly holdersOf: (keyText: string, without?: ReadonlySet<string>) => readonly string[];
  readonly aggregatorOf: (keyText: string) => string | null;
  readonly watcherOf: (kind: string, failureDomain: string) => string | null;
  /** The members that keys are placed at. */
  readonly placed: () => readonly Member[];
  /** To be called when a member came, went or changed. */
  readonly membersChanged: () => void;
}

/** Makes the choices; `present` lists the members that are not dead. */
export function createPlacementDriver(
  present: () => readonly Member[],
  hash32: Hash32,
): PlacementDriver {
  let placement: Placement | null = null;

  function current(): Placement {
    placement ??= createPlacement(present().filter(takesPlacement), hash32);
    return placement;
  }

  return {
    holdersOf: (keyText, without) =>
      without === undefined
        ? holdersOf(current(), keyText)
        : holdersWithout(current(), keyText, without),
    aggregatorOf: (keyText) => claimAggregatorOf(current(), keyText, CLAIM_SHARDS),
    placed: () => present().filter(takesPlacement),
    watcherOf: (kind, failureDomain) => watcherOf(current(), kind, failureDomain),
    membersChanged: () => {
      placement = null;
    },
  };
}

/**
 * A leaving member is no place for new records: its own are copied to their new holders while it
 * still answers. A suspect one still is, since most suspicions turn out false.
 */
function takesPlacement(member: Member): boolean {
  return member.state === MemberState.Alive || member.state === MemberState.Suspect;
}
