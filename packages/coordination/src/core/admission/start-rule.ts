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
  /** Both slacks of a workspace that is beyond its share are this part: the rest is kept free. */
  readonly borrowedPart: number;
}

/** Slack of the rule; sensitivity in docs/design/policy.md. */
export const DEFAULT_START_SLACK = {
  firstTokenSlack: 1,
  stepSlack: 0.95,
  borrowedPart: 0.9,
} as const;

/** A prompt that takes longer than the goal by itself may take this much longer than alone. */
const LONG_PROMPT_SLACK = 1.25;

/**
 * Whether the request may go now, having waited that long. What is beyond a workspace's share is
 * borrowed: it may not fill the engines to the brim, so that the others, who come in their share,
 * find room at once and need not wait for an answer to end.
 */
export function mayStart(
  rule: StartRule,
  plan: RoutePlan,
  waitedMs: number,
  isBorrowing: boolean,
): boolean {
  const part = isBorrowing ? rule.borrowedPart : 1;
  const allowedMs = Math.max(
    rule.firstTokenGoalMs * rule.firstTokenSlack * part,
    plan.predictedReadMs * LONG_PROMPT_SLACK,
  );
  if (waitedMs + plan.predictedFirstTokenMs > allowedMs) return false;
  if (plan.memoryShort) return false;
  return plan.predictedStepMs <= rule.interTokenGoalMs * rule.stepSlack * part;
}

/** Load of a target's own queue as its sidecar knows it: exact, without a report's lag. */
export interface LocalQueue {
  /** Time until the prompts ahead are read, in milliseconds. */
  readonly aheadMs: number;
}

/**
 * Whether a sidecar takes a request, given how long it may still take to its first token. Entries
 * decide from old reports and at the same moment; without this check at the one place that knows,
 * two of them fill a queue that was free for one. The refusal is a true "not run".
 */
export function sidecarTakes(queue: LocalQueue, readMs: number, budgetMs: number): boolean {
  return queue.aheadMs + readMs <= Math.max(budgetMs, readMs * LONG_PROMPT_SLACK);
}
