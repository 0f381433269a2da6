/**
 * Suggests the known name that is closest to a mistyped one, by edit distance.
 */

/** A name that differs in more than a third of its characters is unlikely to be a typing error. */
const MAX_EDIT_SHARE = 1 / 3;

/** Longer names are not compared, because the cost grows with the product of both lengths. */
const MAX_COMPARED_LENGTH = 64;

/** Returns the Levenshtein distance between two strings. */
export function editDistance(from: string, to: string): number {
  let previous = Array.from({ length: to.length + 1 }, (_, column) => column);
  for (let row = 1; row <= from.length; row += 1) {
    const current = [row];
    for (let column = 1; column <= to.length; column += 1) {
      const replaceCost = (previous[column - 1] ?? 0) + (from[row - 1] === to[column - 1] ? 0 : 1);
      const removeCost = (previous[column] ?? 0) + 1;
      const addCost = (current[column - 1] ?? 0) + 1;
      current.push(Math.min(replaceCost, removeCost, addCost));
    }
    previous = current;
  }
  return previous[to.length] ?? 0;
}

/** Returns the known name closest to `name` regardless of case, or null if none is close enough. */
export function nearestName(name: string, known: Iterable<string>): string | null {
  if (name.length > MAX_COMPARED_LENGTH) return null;
  let nearest: string | null = null;
  let nearestDistance = Math.max(1, Math.floor(name.length * MAX_EDIT_SHARE)) + 1;
  for (const candidate of known) {
    if (Math.abs(candidate.length - name.length) >= nearestDistance) continue;
    const distance = editDistance(name.toLowerCase(), candidate.toLowerCase());
    if (distance >= nearestDistance) continue;
    nearest = candidate;
    nearestDistance = distance;
  }
  return nearest;
}
