/**
 * Defines the message and the hint of every kind of finding. Durations and counts in the data are
 * written as in the text.
 */
import { defineFailure } from '@cassiamast/coordination';
import { FindingKind } from './finding.js';

export const MODEL_NOT_CALLABLE = defineFailure({
  name: FindingKind.ModelNotCallable,
  title: 'No request reaches the model',
  message: (data: { readonly model: string }) =>
    `In a request, what follows the first ":" is an adapter, so "${data.model}" never names this model.`,
  hint: 'Choose a name without ":".',
});

export const MODEL_SHADOWED = defineFailure({
  name: FindingKind.ModelShadowed,
  title: 'No request reaches the model',
  message: (data: { readonly model: string; readonly first: string }) =>
    `Requests for "${data.model}" go to the service "${data.first}", which provides it first.`,
  hint: 'Rename the model, or list the targets under one service.',
});

export const DEPENDENCY_WITHDRAWN = defineFailure({
  name: FindingKind.DependencyWithdrawn,
  title: 'The service can not become ready',
  message: (data: { readonly service: string; readonly withdrawn: string }) =>
    `All targets of "${data.withdrawn}" are withdrawn, so every request for "${data.service}" is refused.`,
  hint: 'Return a target to service, or remove the dependency.',
});

export const WITHDRAWN_BELOW_FLOOR = defineFailure({
  name: FindingKind.WithdrawnBelowFloor,
  title: 'Many targets are withdrawn',
  message: (data: {
    readonly servingTargets: number;
    readonly targets: number;
    readonly floorTargets: number;
  }) =>
    `${String(data.servingTargets)} of ${String(data.targets)} targets are left, fewer than the default floor of ${String(data.floorTargets)}.`,
  hint: 'Withdraw fewer at a time, or state a floor, which makes the intention explicit.',
});

export const FLOOR_STOPS_ROLE_CHANGES = defineFailure({
  name: FindingKind.FloorStopsRoleChanges,
  title: 'No engine can change its role',
  message: (data: { readonly floorTargets: number }) =>
    `The floor is ${String(data.floorTargets)} targets and no more are in service; a role change takes one out for a while.`,
  hint: 'Lower the floor, or set "rolesMayChange: false".',
});

export const GOAL_BEYOND_DEADLINE = defineFailure({
  name: FindingKind.GoalBeyondDeadline,
  title: 'A goal is longer than the deadline',
  message: (data: { readonly field: string; readonly goal: string; readonly deadline: string }) =>
    `${data.field} is ${data.goal}, but no request may take longer than ${data.deadline}.`,
  hint: 'Shorten the goal, or extend the deadline.',
});

export const DEPENDENCY_GOAL_BEYOND_DEADLINE = defineFailure({
  name: FindingKind.DependencyGoalBeyondDeadline,
  title: 'The deadline is too short for a dependency',
  message: (data: {
    readonly service: string;
    readonly dependency: string;
    readonly left: string;
    readonly goal: string;
  }) =>
    `The deadline of "${data.service}" leaves ${data.left} for its calls to "${data.dependency}", whose goal for the first token is ${data.goal}.`,
  hint: 'Extend the deadline of the service, or remove the dependency.',
});

export const RETENTION_BELOW_DEADLINE = defineFailure({
  name: FindingKind.RetentionBelowDeadline,
  title: 'Answers are kept for less than a deadline',
  message: (data: { readonly retention: string; readonly services: readonly string[] }) =>
    `Finished answers are kept for ${data.retention}; a caller that returns within the deadline of ${data.services.join(', ')} may find its answer gone.`,
  hint: 'Extend limits.answerRetention, or shorten the deadline.',
});

export const NO_RETRIES = defineFailure({
  name: FindingKind.NoRetries,
  title: 'The retry budget never grows',
  message: (data: { readonly initialRetries: number }) =>
    `At 0 %, an entry may retry ${String(data.initialRetries)} times after it has started, and never again.`,
  hint: 'Allow a few percent; without retries, the loss of a target fails its requests.',
});

export const MORE_FINDINGS = defineFailure({
  name: FindingKind.MoreFindings,
  title: 'More warnings',
  message: (data: { readonly omitted: number }) =>
    `${String(data.omitted)} more warnings are not listed.`,
  hint: 'Resolve the listed ones and check again.',
});
