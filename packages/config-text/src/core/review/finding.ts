/**
 * Types for findings in a text without faults: settings that have no effect or contradict each other.
 * A finding has the form of a fault, so that the same tools print and locate it, but it does not keep
 * a text from being applied.
 */
import type { Failure } from '@cassiamast/coordination';
import type { TextFault, TextPath } from '../faults/fault.js';
import type { ValidatedText } from '../schema/schema.js';

/** The rule that a finding comes from. */
export enum FindingKind {
  /** The name of a model contains the separator between model and adapter. */
  ModelNotCallable = 'model-not-callable',
  /** Earlier services provide a model and all of its adapters. */
  ModelShadowed = 'model-shadowed',
  /** A service can not become ready, since all targets of a dependency are withdrawn. */
  DependencyWithdrawn = 'dependency-withdrawn',
  /** The withdrawn targets leave fewer than the default floor of all targets. */
  WithdrawnBelowFloor = 'withdrawn-below-floor',
  /** The floor leaves no target that could change its role. */
  FloorStopsRoleChanges = 'floor-stops-role-changes',
  /** A latency goal is longer than the deadline. */
  GoalBeyondDeadline = 'goal-beyond-deadline',
  /** The deadline of a service leaves its inner calls less time than the goal of a dependency. */
  DependencyGoalBeyondDeadline = 'dependency-goal-beyond-deadline',
  /** Finished answers are kept for less time than a request may take. */
  RetentionBelowDeadline = 'retention-below-deadline',
  /** The retry budget of a service never grows. */
  NoRetries = 'no-retries',
  /** Further findings were left out. */
  MoreFindings = 'more-findings',
}

/** A finding as reported to operators; plain data that can be serialized. */
export interface TextFinding extends TextFault {
  readonly name: FindingKind;
}

/** A finding whose line and column have not been resolved yet. */
export interface UnlocatedFinding {
  readonly failure: Failure<FindingKind>;
  /** Where to report it: the first path that the text contains, since defaults have no place. */
  readonly paths: readonly [TextPath, ...TextPath[]];
}

/** Returns the findings of one rule. Pure. */
export type ReviewRule = (text: ValidatedText) => readonly UnlocatedFinding[];
