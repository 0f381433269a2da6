/**
 * Outlier ejection of targets that fail or are slow, based on the requests of one entry. Slowness
 * is the time that a target took divided by the time that routing predicted. It is compared with
 * the median of the service, so no target is ejected when the whole fleet is slow. Only a limited
 * share of the targets is ejected at a time. An ejected target returns on probation with a small
 * share of requests.
 */
import { EventKind } from '../events/event.js';
import type { UnstampedEvent } from '../events/event.js';
import type { Random } from '../random/random.js';

/** Options of outlier ejection; docs/design/routing.md gives the reasons. */
export interface OutlierOptions {
  readonly service: string;
  /** Number of consecutive failures after which a target is ejected. */
  readonly failuresInARow: number;
  /** Ratio of a target's slowness to the median above which it is ejected. */
  readonly slowRatio: number;
  /** Minimum number of answers before a target's slowness is evaluated. */
  readonly minSamples: number;
  /** Maximum share of the targets that are ejected at the same time, 0 to 1. */
  readonly maxEjectedShare: number;
  readonly baseEjectionMs: number;
  readonly maxEjectionMs: number;
  /** Share of requests for which a target on probation is a candidate, 0 to 1. */
  readonly probationShare: number;
  /** Number of successful answers that end the probation. */
  readonly probationAnswers: number;
}

/** Default options of outlier ejection. */
export const DEFAULT_OUTLIER_OPTIONS = {
  failuresInARow: 5,
  slowRatio: 3,
  minSamples: 20,
  maxEjectedShare: 0.34,
  baseEjectionMs: 5000,
  maxEjectionMs: 60_000,
  probationShare: 0.1,
  probationAnswers: 5,
} as const;

/** Health of one target. */
interface TargetHealth {
  failuresInARow: number;
  slowness: number;
  samples: number;
  ejectedUntilMs: number;
  timesEjected: number;
  /** Successful answers that still have to arrive; 0 when not on probation. */
  probationAnswersLeft: number;
}

/** Health of the targets of one service, as seen by one entry. */
export interface Outliers {
  readonly options: OutlierOptions;
  readonly targets: Map<string, TargetHealth>;
  /** Targets that are ejected or on probation; selecting a target checks only these. */
  readonly restricted: Set<string>;
}

/** Creates a state without targets. */
export function createOutliers(options: OutlierOptions): Outliers {
  return { options, targets: new Map(), restricted: new Set() };
}

/** Sets the current targets. Targets that left are removed, which bounds the state. */
export function setOutlierTargets(outliers: Outliers, names: readonly string[]): void {
  const currentNames = new Set(names);
  for (const name of outliers.targets.keys()) {
    if (currentNames.has(name)) continue;
    outliers.targets.delete(name);
    outliers.restricted.delete(name);
  }
  for (const name of names) {
    if (!outliers.targets.has(name)) outliers.targets.set(name, newHealth());
  }
}

function newHealth(): TargetHealth {
  return {
    failuresInARow: 0,
    slowness: 1,
    samples: 0,
    ejectedUntilMs: 0,
    timesEjected: 0,
    probationAnswersLeft: 0,
  };
}

/** Weight of the latest answer in the moving average of a target's slowness. */
const NEWEST_SAMPLE_WEIGHT = 0.1;

/** Records an answer. `slowness` is its time divided by the predicted time, 1 when as predicted. */
export function recordTargetAnswer(
  outliers: Outliers,
  target: string,
  slowness: number,
  nowMs: number,
): readonly UnstampedEvent[] {
  const health = outliers.targets.get(target);
  if (health === undefined) return [];
  health.failuresInARow = 0;
  health.samples += 1;
  const weight = Math.max(NEWEST_SAMPLE_WEIGHT, 1 / health.samples);
  health.slowness += (slowness - health.slowness) * weight;
  const isSlow =
    health.samples >= outliers.options.minSamples &&
    health.slowness > medianSlowness(outliers) * outliers.options.slowRatio;
  if (isSlow) return eject(outliers, target, health, nowMs, 'answers are slow');
  // Answers to requests sent before the ejection still arrive; they do not show that it recovered.
  if (health.ejectedUntilMs > nowMs) return [];
  return passProbation(outliers, target, health);
}

/** Records a failure caused by the target. */
export function recordTargetFailure(
  outliers: Outliers,
  target: string,
  nowMs: number,
): readonly UnstampedEvent[] {
  const health = outliers.targets.get(target);
  if (health === undefined) return [];
  health.failuresInARow += 1;
  const isOverLimit =
    health.probationAnswersLeft > 0 || health.failuresInARow >= outliers.options.failuresInARow;
  return isOverLimit ? eject(outliers, target, health, nowMs, 'requests fail') : [];
}

function passProbation(
  outliers: Outliers,
  target: string,
  health: TargetHealth,
): readonly UnstampedEvent[] {
  if (health.probationAnswersLeft === 0) return [];
  health.probationAnswersLeft -= 1;
  if (health.probationAnswersLeft > 0) return [];
  outliers.restricted.delete(target);
  return [{ kind: EventKind.TargetReadmitted, service: outliers.options.service, target }];
}

function medianSlowness(outliers: Outliers): number {
  const sorted = [...outliers.targets.values()]
    .filter((health) => health.samples >= outliers.options.minSamples)
    .map((health) => health.slowness)
    .sort((a, b) => a - b);
  return sorted[Math.floor((sorted.length - 1) / 2)] ?? 1;
}

function eject(
  outliers: Outliers,
  target: string,
  health: TargetHealth,
  nowMs: number,
  reason: string,
): readonly UnstampedEvent[] {
  const { options } = outliers;
  if (health.ejectedUntilMs > nowMs) return [];
  const ejectedTargets = [...outliers.targets.values()].filter(
    (other) => other.ejectedUntilMs > nowMs,
  );
  // Limits the share of ejected targets. Without this, a fault of this entry, such as a network
  // partition, makes all targets fail at once and ejects the whole fleet.
  if (ejectedTargets.length + 1 > outliers.targets.size * options.maxEjectedShare) return [];
  const forMs = Math.min(options.maxEjectionMs, options.baseEjectionMs * 2 ** health.timesEjected);
  health.timesEjected += 1;
  outliers.restricted.add(target);
  health.ejectedUntilMs = nowMs + forMs;
  health.probationAnswersLeft = options.probationAnswers;
  health.failuresInARow = 0;
  const figures = { slowness: health.slowness, forMs, alsoOut: ejectedTargets.length };
  health.samples = 0;
  health.slowness = 1;
  return [{ kind: EventKind.TargetEjected, service: options.service, target, reason, figures }];
}

/** Returns the targets to which the next request must not be sent. */
export function excludedTargets(
  outliers: Outliers,
  nowMs: number,
  random: Random,
): ReadonlySet<string> {
  const excluded = new Set<string>();
  for (const name of outliers.restricted) {
    const health = outliers.targets.get(name);
    if (health === undefined) continue;
    if (health.ejectedUntilMs > nowMs) excluded.add(name);
    else if (health.probationAnswersLeft > 0 && random() >= outliers.options.probationShare) {
      excluded.add(name);
    }
  }
  return excluded;
}
