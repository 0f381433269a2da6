/**
 * When a waiting request may go to a target: when routing predicts that it begins in time and that
 * it leaves the answers that run there their pace. Under overload this keeps the engines at the
 * load where they still meet their goals, and the queue where it is fair.
 */
import type { RoutePlan } from '../routing/route.js';

/** Goals and slack of the rule. */
export interface StartRule {
  readonly firstTokenGoalMs: number;
  readonly interTokenGoalMs: number;
  /** Part of the first token goal up to which a prediction is good enough. */
  readonly firstTokenSlack: number;
  /** Part of the inter-token goal up to which a step is good enough. */
  readonly stepSlack: number;
}

/** Slack of the rule; sensitivity in docs/design/policy.md. */
export const DEFAULT_START_SLACK = { firstTokenSlack: 1, stepSlack: 0.95 } as const;

/** A prompt that takes longer than the goal by itself may take this much longer than alone. */
const LONG_PROMPT_SLACK = 1.25;

/** Whether the request may go now, having waited that long. */
export function mayStart(rule: StartRule, plan: RoutePlan, waitedMs: number): boolean {
  const allowedMs = Math.max(
    rule.firstTokenGoalMs * rule.firstTokenSlack,
    plan.predictedReadMs * LONG_PROMPT_SLACK,
  );
  if (waitedMs + plan.predictedFirstTokenMs > allowedMs) return false;
  return plan.predictedStepMs <= rule.interTokenGoalMs * rule.stepSlack;
}
