/**
 * Orders faults by their position and bounds their number.
 */
import { MAX_FAULTS } from '../compile/limits.js';
import type { TextFault } from './fault.js';

/**
 * Returns the faults ordered by line and column, at most {@link MAX_FAULTS}. If there are more, the
 * last one is what `moreOf` returns for the number of omitted ones.
 */
export function sortAndLimit<Fault extends TextFault>(
  faults: readonly Fault[],
  moreOf: (omitted: number, at: Pick<TextFault, 'line' | 'column' | 'path'>) => Fault,
): readonly Fault[] {
  const ordered = [...faults].sort((a, b) => a.line - b.line || a.column - b.column);
  if (ordered.length <= MAX_FAULTS) return ordered;
  const listed = ordered.slice(0, MAX_FAULTS - 1);
  const { line, column } = { line: 1, column: 1, ...listed.at(-1) };
  return [...listed, moreOf(ordered.length - listed.length, { line, column, path: '' })];
}
