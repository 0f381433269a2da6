/**
 * What an operator needs to know when another edit came first: what the others changed since, and
 * what the own text would change on top of theirs.
 */
import type { Configuration, ConfigurationDocument } from '@cassiamast/coordination';
import { diffConfigurations, differenceText, type Difference } from '@cassiamast/config-text';

/** The two differences of a conflict. */
export interface ConflictDifferences {
  /** Null when the version that was edited has left the history. */
  readonly othersChanged: readonly Difference[] | null;
  readonly yoursWouldChange: readonly Difference[];
}

/** Works out both differences. */
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

/** The differences as lines. */
export function conflictLines(differences: ConflictDifferences): string[] {
  const { othersChanged, yoursWouldChange } = differences;
  const others =
    othersChanged === null
      ? ['What the others changed is no longer in the history.']
      : ['The others changed:', ...indented(othersChanged)];
  return [
    ...others,
    'Against the version in force your text would change:',
    ...indented(yoursWouldChange),
  ];
}

function indented(differences: readonly Difference[]): string[] {
  if (differences.length === 0) return ['  nothing'];
  return differences.map((difference) => `  ${differenceText(difference)}`);
}
