/**
 * Ejection of targets that fail or are slow, as seen by one entry's own requests. Slowness is the
 * time that a target took over the time that routing predicted, compared with the middle target of
 * the service: a fleet that is slow as a whole ejects nobody. Never more than a part of the targets
 * is ejected; an ejected target comes back on probation, with a trickle of requests.
 */
import { EventKind } from '../events/event.js';
import type { UnstampedEvent } from '../events/event.js';
import type { Random } from '../random/random.js';

/** What ejection goes by; reasons in docs/design/routing.md. */
export interface OutlierOptions {
  readonly service: string;
  /** Failures in a row that eject. */
  readonly failuresInARow: number;
  /** Slowness over that of the middle target that ejects. */
  readonly slowRatio: number;
  /** Answers that a judgement of slowness rests on. */
  readonly minSamples: number;
  /** Most of the targets that are out at once, 0 to 1. */
  readonly maxEjectedShare: number;
  readonly baseEjectionMs: number;
  readonly maxEjectionMs: number;
  /** Part of requests that a target on probation is weighed for. */
  readonly probationShare: number;
  /** Good answers that end probation. */
  readonly probationAnswers: number;
}

/** Defaults. */
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
  /** Good answers still wanted; 0 when not on probation. */
  probationLeft: number;
}

/** Health of the targets of one service at one entry. */
export interface Outliers {
  readonly options: OutlierOptions;
  readonly targets: Map<string, TargetHealth>;
  /** Those that are out or on probation, so that a request costs nothing for healthy ones. */
  readonly troubled: Set<string>;
}

/** Makes a state without targets. */
export function createOutliers(options: OutlierOptions): Outliers {
  return { options, targets: new Map(), troubled: new Set() };
}

/** Follows the set of targets; those that left are forgotten, which bounds the state. */
export function noteOutlierTargets(outliers: Outliers, names: readonly string[]): void {
  const present = new Set(names);
  for (const name of outliers.targets.keys()) {
    if (present.has(name)) continue;
    outliers.targets.delete(name);
    outliers.troubled.delete(name);
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
    probationLeft: 0,
  };
}

/** Weight of the newest answer in a target's slowness. */
const NEWEST_WEIGHT = 0.1;

/** Takes in an answer that came: its time over the predicted time, 1 when as predicted. */
export function noteAnswer(
  outliers: Outliers,
  target: string,
  slowness: number,
  nowMs: number,
): readonly UnstampedEvent[] {
  const health = outliers.targets.get(target);
  if (health === undefined) return [];
  health.failuresInARow = 0;
  health.samples += 1;
  const weight = Math.max(NEWEST_WEIGHT, 1 / health.samples);
  health.slowness += (slowness - health.slowness) * weight;
  const isSlow =
    health.samples >= outliers.options.minSamples &&
    health.slowness > middleSlowness(outliers) * outliers.options.slowRatio;
  if (isSlow) return eject(outliers, target, health, nowMs, 'answers are slow');
  // Answers to requests from before the ejection still come; they prove nothing of the time after.
  if (health.ejectedUntilMs > nowMs) return [];
  return passProbation(outliers, target, health);
}

/** Takes in a failure that the target is to blame for. */
export function noteTargetFailure(
  outliers: Outliers,
  target: string,
  nowMs: number,
): readonly UnstampedEvent[] {
  const health = outliers.targets.get(target);
  if (health === undefined) return [];
  health.failuresInARow += 1;
  const enough =
    health.probationLeft > 0 || health.failuresInARow >= outliers.options.failuresInARow;
  return enough ? eject(outliers, target, health, nowMs, 'requests fail') : [];
}

function passProbation(
  outliers: Outliers,
  target: string,
  health: TargetHealth,
): readonly UnstampedEvent[] {
  if (health.probationLeft === 0) return [];
  health.probationLeft -= 1;
  if (health.probationLeft > 0) return [];
  outliers.troubled.delete(target);
  return [{ kind: EventKind.TargetReadmitted, service: outliers.options.service, target }];
}

function middleSlowness(outliers: Outliers): number {
  const known = [...outliers.targets.values()]
    .filter((health) => health.samples >= outliers.options.minSamples)
    .map((health) => health.slowness)
    .sort((a, b) => a - b);
  return known[Math.floor((known.length - 1) / 2)] ?? 1;
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
  const out = [...outliers.targets.values()].filter((other) => other.ejectedUntilMs > nowMs);
  // Guards against ejecting a whole fleet for a fault of our own, such as a partition of this
  // entry: it shows as failures everywhere at once, and the bound leaves most targets in.
  if (out.length + 1 > outliers.targets.size * options.maxEjectedShare) return [];
  const forMs = Math.min(options.maxEjectionMs, options.baseEjectionMs * 2 ** health.timesEjected);
  health.timesEjected += 1;
  outliers.troubled.add(target);
  health.ejectedUntilMs = nowMs + forMs;
  health.probationLeft = options.probationAnswers;
  health.failuresInARow = 0;
  const figures = { slowness: health.slowness, forMs, alsoOut: out.length };
  health.samples = 0;
  health.slowness = 1;
  return [{ kind: EventKind.TargetEjected, service: options.service, target, reason, figures }];
}

/** Targets that the next request must not be sent to. */
export function excludedTargets(
  outliers: Outliers,
  nowMs: number,
  random: Random,
): ReadonlySet<string> {
  const excluded = new Set<string>();
  for (const name of outliers.troubled) {
    const health = outliers.targets.get(name);
    if (health === undefined) continue;
    if (health.ejectedUntilMs > nowMs) excluded.add(name);
    else if (health.probationLeft > 0 && random() >= outliers.options.probationShare) {
      excluded.add(name);
    }
  }
  return excluded;
}
