/**
 * Ranks the queued jobs of an engine by urgency. Ranked by value per engine time, expensive urgent
 * jobs were late more often than cheap jobs of lower priority. Comparisons are pairwise: because of
 * the exception for less urgent jobs, three jobs of different priority may rank in a circle, and the
 * engine then takes any of them.
 */
import { type JobOrder, type ServiceEstimate, isOnTime } from './ranking.js';

/** Slack is compared in steps of the interval of scheduling; predictions are no more exact. */
const SLACK_STEP_MS = 10;

/**
 * Sorts starved jobs first, then jobs that can be on time, then by priority, retries, slack and
 * engine time.
 */
export const compareUrgency: JobOrder = (left, right) =>
  preferTrue(left.standing.isStarved, right.standing.isStarved) ||
  preferTrue(isOnTime(left), isOnTime(right)) ||
  compareLevel(left, right) ||
  slackSteps(left) - slackSteps(right) ||
  left.serviceMs - right.serviceMs;

function preferTrue(left: boolean, right: boolean): number {
  return Number(right) - Number(left);
}

function compareLevel(left: ServiceEstimate, right: ServiceEstimate): number {
  const difference = levelOf(left) - levelOf(right);
  if (difference === 0) return 0;
  const [urgent, other] = difference < 0 ? [left, right] : [right, left];
  return canLetPass(urgent, other) ? -difference : difference;
}

/** Returns the urgency; 0 is the most urgent. Retries are one level before new jobs. */
function levelOf({ standing }: ServiceEstimate): number {
  return 2 * standing.priority + (standing.precedesNewJobs ? 0 : 1);
}

/**
 * Returns whether a less urgent job goes first: waiting for the urgent one would make it late, and
 * the urgent one stays on time behind it.
 */
function canLetPass(urgent: ServiceEstimate, other: ServiceEstimate): boolean {
  if (!isOnTime(urgent) || !isOnTime(other)) return false;
  return slackMs(other) < urgent.serviceMs && slackMs(urgent) >= other.serviceMs;
}

function slackMs({ aimAtMs, firstEventAtMs }: ServiceEstimate): number {
  return aimAtMs - firstEventAtMs;
}

function slackSteps(estimate: ServiceEstimate): number {
  return Math.floor(slackMs(estimate) / SLACK_STEP_MS);
}
