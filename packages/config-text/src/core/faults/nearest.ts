/**
 * Finds the known name that a mistyped one most likely stands for, by edit distance.
 */

/** More edits than a third of the name are no likely slip. */
const MAX_EDIT_SHARE = 1 / 3;

/** Names beyond this length are not compared: the cost grows with the product of both lengths. */
const MAX_COMPARED_LENGTH = 64;

/** Insertions, deletions and replacements that turn one text into the other. */
export function editDistance(from: string, to: string): number {
  let previous = Array.from({ length: to.length + 1 }, (_, column) => column);
  for (let row = 1; row <= from.length; row += 1) {
    const current = [row];
    for (let column = 1; column <= to.length; column += 1) {
      const replaced = (previous[column - 1] ?? 0) + (from[row - 1] === to[column - 1] ? 0 : 1);
      const removed = (previous[column] ?? 0) + 1;
      const added = (current[column - 1] ?? 0) + 1;
      current.push(Math.min(replaced, removed, added));
    }
    previous = current;
  }
  return previous[to.length] ?? 0;
}

/** The nearest of the known names, or null when none is near. */
export function nearestName(name: string, known: Iterable<string>): string | null {
  if (name.length > MAX_COMPARED_LENGTH) return null;
  let best: string | null = null;
  let bestDistance = Math.max(1, Math.floor(name.length * MAX_EDIT_SHARE)) + 1;
  for (const candidate of known) {
    if (Math.abs(candidate.length - name.length) >= bestDistance) continue;
    const distance = editDistance(name.toLowerCase(), candidate.toLowerCase());
    if (distance >= bestDistance) continue;
    best = candidate;
    bestDistance = distance;
  }
  return best;
}
