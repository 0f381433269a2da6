/**
 * Finds limits that contradict each other: goals, deadlines, the retention of answers, retry budgets
 * and floors.
 */
import {
  acceptBudget,
  createRetryBudget,
  DEFAULT_RETRY_OPTIONS,
  deriveInnerBudget,
  TargetKind,
} from '@cassiamast/coordination';
import { countServingTargets } from '../names/service-rules.js';
import { DURATION, formatQuantity } from '../quantities/quantity.js';
import {
  DEPENDENCY_GOAL_BEYOND_DEADLINE,
  FLOOR_STOPS_ROLE_CHANGES,
  GOAL_BEYOND_DEADLINE,
  NO_RETRIES,
  RETENTION_BELOW_DEADLINE,
} from './failures.js';
import type { ReviewRule, UnlocatedFinding } from './finding.js';

const GOALS = ['firstToken', 'interToken'] as const;

function durationText(durationMs: number): string {
  return formatQuantity(durationMs, DURATION);
}

/** Finds goals that each answered request meets, as the deadline ends the others. */
export const goalsBeyondDeadline: ReviewRule = ({ services }) =>
  services.flatMap(({ goals, deadline: deadlineMs }, index) =>
    GOALS.flatMap((goal): UnlocatedFinding[] => {
      if (goals[goal] <= deadlineMs) return [];
      const failure = GOAL_BEYOND_DEADLINE.of({
        field: `goals.${goal}`,
        goal: durationText(goals[goal]),
        deadline: durationText(deadlineMs),
      });
      const path = ['services', index];
      return [
        {
          failure,
          paths: [
            [...path, 'goals', goal],
            [...path, 'deadline'],
          ],
        },
      ];
    }),
  );

/**
 * Finds dependencies whose first token is due only after the time that a deadline leaves for inner
 * calls. A longer deadline of the dependency is no contradiction: the shorter of the two applies, and
 * other callers have the whole of it. Engines make no calls.
 */
export const dependencyGoalsBeyondDeadline: ReviewRule = ({ services }) => {
  const goalsMs = new Map(services.map(({ name, goals }) => [name, goals.firstToken]));
  return services.flatMap(({ name: service, kind, dependsOn, deadline }, index) => {
    if (kind !== TargetKind.PlainService) return [];
    const budget = acceptBudget({ deadlineMs: deadline }, null);
    // Null: no inner call is made.
    const leftMs = deriveInnerBudget(budget, 0)?.remainingMs ?? 0;
    return dependsOn.flatMap((dependency, position): UnlocatedFinding[] => {
      const goalMs = goalsMs.get(dependency) ?? 0;
      if (goalMs <= leftMs) return [];
      const failure = DEPENDENCY_GOAL_BEYOND_DEADLINE.of({
        service,
        dependency,
        left: durationText(leftMs),
        goal: durationText(goalMs),
      });
      return [{ failure, paths: [['services', index, 'dependsOn', position]] }];
    });
  });
};

/** Finds a retention of answers that is shorter than the deadline of services. */
export const retentionBelowDeadline: ReviewRule = ({ services, limits }) => {
  const retentionMs = limits.answerRetention;
  const longer = services.filter(({ deadline }) => deadline > retentionMs);
  if (longer.length === 0) return [];
  const failure = RETENTION_BELOW_DEADLINE.of({
    retention: durationText(retentionMs),
    services: longer.map(({ name }) => name),
  });
  const index = services.findIndex(({ deadline }) => deadline > retentionMs);
  const deadlinePath = ['services', index, 'deadline'];
  return [{ failure, paths: [['limits', 'answerRetention'], deadlinePath] }];
};

/** Finds retry budgets to which first attempts add nothing. */
export const noRetries: ReviewRule = ({ services }) =>
  services.flatMap(({ retryBudget: ratio }, index): UnlocatedFinding[] => {
    if (ratio > 0) return [];
    const { tokens } = createRetryBudget({ ...DEFAULT_RETRY_OPTIONS, ratio });
    const failure = NO_RETRIES.of({ initialRetries: tokens });
    return [{ failure, paths: [['services', index, 'retryBudget']] }];
  });

/** Finds stated floors that stop all role changes, although the service allows them. */
export const floorStopsRoleChanges: ReviewRule = ({ services }) =>
  services.flatMap((service, index): UnlocatedFinding[] => {
    const { kind, floor: floorTargets, rolesMayChange } = service;
    const servingTargets = countServingTargets(service);
    const mayChange = kind === TargetKind.ModelEngine && rolesMayChange !== false;
    if (!mayChange || servingTargets === 0 || floorTargets !== servingTargets) return [];
    const failure = FLOOR_STOPS_ROLE_CHANGES.of({ floorTargets });
    return [{ failure, paths: [['services', index, 'floor']] }];
  });
