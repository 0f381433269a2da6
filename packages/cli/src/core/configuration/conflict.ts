/**
 * Explains an edit conflict to the operator: what other edits have changed since the base version,
 * and what the rejected text would change relative to the current version.
 */
import type { Configuration, ConfigurationDocument } from '@cassiamast/coordination';
import { diffConfigurations, differenceText, type Difference } from '@cassiamast/config-text';

/** The two lists of differences that explain a conflict. */
export interface ConflictDifferences {
  /** Null when the base version is no longer in the history. */
  readonly othersChanged: readonly Difference[] | null;
  readonly yoursWouldChange: readonly Difference[];
}

/** Computes both lists of differences. */
export function conflictDifferences(
  base: ConfigurationDocument | null,
  current: ConfigurationDocument,
  yours: Configuration,
): ConflictDifferences {
  return {
    othersChanged: base === null ? null : diffConfigurations(base.compiled, current.compiled),
    yoursWouldChange: diffConfigurations(current.compiled, yours),
  };
}

/** Formats the differences as lines for the terminal. */
export function conflictLines(differences: ConflictDifferences): string[] {
  const { othersChanged, yoursWouldChange } = differences;
  const othersLines =
    othersChanged === null
      ? ['What the others changed is no longer in the history.']
      : ['The others changed:', ...indented(othersChanged)];
  return [
    ...othersLines,
    'Against the version in force your text would change:',
    ...indented(yoursWouldChange),
  ];
}

function indented(differences: readonly Difference[]): string[] {
  if (differences.length === 0) return ['  nothing'];
  return differences.map((difference) => `  ${differenceText(difference)}`);
}
