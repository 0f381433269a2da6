/**
 * Reviews a text without faults: applies every rule and reports the findings with line and column.
 */
import type { Configuration } from '@cassiamast/coordination';
import type { Result } from 'neverthrow';
import { validateText } from '../compile/compile.js';
import type { ParsedText } from '../compile/parse.js';
import type { TextFault } from '../faults/fault.js';
import { locateFault } from '../faults/locate.js';
import { sortAndLimit } from '../faults/sort-and-limit.js';
import { valueAt } from '../faults/schema-issues.js';
import {
  dependencyGoalsBeyondDeadline,
  floorStopsRoleChanges,
  goalsBeyondDeadline,
  noRetries,
  retentionBelowDeadline,
} from './contradictions.js';
import { MORE_FINDINGS } from './failures.js';
import type { ReviewRule, TextFinding, UnlocatedFinding } from './finding.js';
import {
  dependenciesWithdrawn,
  modelsNotCallable,
  modelsShadowed,
  withdrawnBelowFloor,
} from './reach.js';

const RULES: readonly ReviewRule[] = [
  modelsNotCallable,
  modelsShadowed,
  dependenciesWithdrawn,
  withdrawnBelowFloor,
  floorStopsRoleChanges,
  goalsBeyondDeadline,
  dependencyGoalsBeyondDeadline,
  retentionBelowDeadline,
  noRetries,
];

/** A text without faults. */
export interface ReviewedText {
  readonly configuration: Configuration;
  /** At most `MAX_FAULTS`, ordered by line and column. */
  readonly findings: readonly TextFinding[];
}

/**
 * Compiles a text and reviews it. Never throws and has no side effects.
 *
 * @returns the configuration and the findings, or the same faults as `compileText`.
 */
export function reviewText(text: string): Result<ReviewedText, readonly TextFault[]> {
  return validateText(text).map(({ parsed, validated, configuration }) => {
    const findings = RULES.flatMap((rule) => rule(validated)).map((finding) =>
      locateFinding(parsed, finding),
    );
    const limited = sortAndLimit(findings, (omitted, at) => ({
      ...MORE_FINDINGS.of({ omitted }),
      ...at,
    }));
    return { configuration, findings: limited };
  });
}

function locateFinding(parsed: ParsedText, { failure, paths }: UnlocatedFinding): TextFinding {
  const path = paths.find((one) => valueAt(parsed.raw, one) !== undefined) ?? paths[0];
  return { ...locateFault(parsed, failure, path, false), name: failure.name };
}
