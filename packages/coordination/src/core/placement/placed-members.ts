/**
 * Tracks the members on which keys are placed, and detects which of them joined or have a new
 * incarnation and may have lost their memory. Membership updates that change neither the members
 * nor their incarnations, such as a suspicion, move no keys.
 */

/** A member on which keys are placed. */
export interface PlacedMember {
  readonly id: string;
  readonly incarnation: number;
}

/** The incarnations of the members on which keys were last placed, by member id. */
export type PlacedMembers = Map<string, number>;

/**
 * Updates `known` to the present members and returns the ids of those that may have lost their
 * memory, or null if all keys stay where they are. A member that refuted a suspicion counts as new
 * too, because its higher incarnation cannot be distinguished from a restart.
 */
export function updatePlacedMembers(
  known: PlacedMembers,
  present: readonly PlacedMember[],
): ReadonlySet<string> | null {
  const renewed = present.filter(({ id, incarnation }) => known.get(id) !== incarnation);
  const isSame = renewed.length === 0 && present.length === known.size;
  if (isSame) return null;
  known.clear();
  for (const { id, incarnation } of present) known.set(id, incarnation);
  return new Set(renewed.map(({ id }) => id));
}
