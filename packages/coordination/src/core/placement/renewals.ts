/**
 * What a change of members means for what they hold: who came or began another incarnation, and may
 * have lost its memory, and whether keys have other places now. News that changes neither, such as a
 * suspicion, moves nothing.
 */

/** A member that keys are placed at. */
export interface PlacedMember {
  readonly id: string;
  readonly incarnation: number;
}

/** The members that keys were placed at, by id. */
export type PlacedMembers = Map<string, number>;

/**
 * Takes the present members; returns those whose memory may be new, or null when keys have the places
 * that they had. A member that contradicted a suspicion counts as new too: its incarnation does not
 * tell that from a start.
 */
export function takePlaced(
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
