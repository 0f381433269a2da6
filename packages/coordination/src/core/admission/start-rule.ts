/**
 * Decides when a queued request may be sent to a target: when routing predicts that its first token
 * arrives in time and that the answers running there still meet their inter-token goal. Under
 * overload this keeps the engines at a load where they meet their goals, and keeps the excess in
 * the fair queue.
 */
import type { RoutePlan } from '../routing/route.js';

/** Latency goals and the slack factors that apply to them. */
export interface StartRule {
  readonly firstTokenGoalMs: number;
  readonly interTokenGoalMs: number;
  /** Fraction of the first token goal that a prediction may reach. */
  readonly firstTokenSlack: number;
  /** Fraction of the inter-token goal that a predicted step may reach. */
  readonly stepSlack: number;
  /** Factor on both slacks for a workspace beyond its fair share; the rest is kept free. */
  readonly borrowedSlackFactor: number;
}

/** Default slack factors; docs/design/policy.md describes their sensitivity. */
export const DEFAULT_START_SLACK = {
  firstTokenSlack: 1,
  stepSlack: 0.95,
  borrowedSlackFactor: 0.9,
} as const;

/** Allowed slowdown of a prompt whose prefill alone exceeds the first token goal. */
const LONG_PREFILL_SLACK = 1.25;

/**
 * Returns whether a request that has waited for `waitedMs` may start now. Requests beyond a
 * workspace's fair share use borrowed capacity and must not fill the engines completely. Other
 * workspaces that stay within their share can then start at once instead of waiting for an answer
 * to end.
 */
export function mayStart(
  rule: StartRule,
  plan: RoutePlan,
  waitedMs: number,
  isBorrowing: boolean,
): boolean {
  const slackFactor = isBorrowing ? rule.borrowedSlackFactor : 1;
  const allowedMs = Math.max(
    rule.firstTokenGoalMs * rule.firstTokenSlack * slackFactor,
    plan.predictedReadMs * LONG_PREFILL_SLACK,
  );
  if (waitedMs + plan.predictedFirstTokenMs > allowedMs) return false;
  if (plan.memoryShort) return false;
  return plan.predictedStepMs <= rule.interTokenGoalMs * rule.stepSlack * slackFactor;
}

/** The queue of a target as its sidecar sees it: exact, without the delay of a load report. */
export interface LocalQueue {
  /** Time until the queued prompts have been prefilled, in milliseconds. */
  readonly aheadMs: number;
}

/**
 * Returns whether a sidecar accepts a request whose first token is due within `budgetMs`. Entries
 * decide concurrently and from outdated reports. Without this check at the sidecar, which knows the
 * exact queue, two entries could fill a queue that has room for one request. A rejected request has
 * not run.
 */
export function sidecarAccepts(queue: LocalQueue, prefillMs: number, budgetMs: number): boolean {
  return queue.aheadMs + prefillMs <= Math.max(budgetMs, prefillMs * LONG_PREFILL_SLACK);
}
