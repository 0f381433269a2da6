/**
 * Which target of a plain service takes the next request: among those that answer, the one with
 * the fewest of this gateway's requests, rather in its own failure domain. Health is judged by own
 * answers alone; no probe is sent.
 */
import {
  DEFAULT_OUTLIER_OPTIONS,
  type FleetView,
  type Outliers,
  type Random,
  type TargetEntry,
  createOutliers,
  excludedTargets,
  noteAnswer,
  noteOutlierTargets,
  noteTargetFailure,
  servingTargets,
} from '@cassiamast/coordination';

/**
 * A gateway sends a small service a few requests a second: two failures in a row are a second's
 * evidence, and a target that recovered is wanted back soon.
 */
const FAILURES_IN_A_ROW = 2;
const EJECTION_MS = 1500;
/** One of three targets may stay in when the others fail. */
const MAX_EJECTED_SHARE = 0.67;
/** Requests more that a target of the own failure domain may have. */
const OWN_DOMAIN_ADVANTAGE = 0.5;

/** Chooses targets and learns from what they answer. */
export interface TargetHealth {
  /** The target for the next request, null where there is none beside those that were tried. */
  readonly choose: (service: string, tried: ReadonlySet<string>) => TargetEntry | null;
  readonly noteSent: (target: TargetEntry) => void;
  readonly noteDone: (target: TargetEntry) => void;
  readonly noteGood: (target: TargetEntry) => void;
  readonly noteBad: (target: TargetEntry) => void;
}

/** Makes the health of all plain targets as this gateway sees it. */
export function createTargetHealth(
  view: FleetView,
  failureDomain: string,
  random: Random,
  nowMs: () => number,
): TargetHealth {
  const outliersByService = new Map<string, Outliers>();
  const inFlight = new Map<string, number>();

  function outliersOf(service: string): Outliers {
    const known = outliersByService.get(service);
    if (known !== undefined) return known;
    const made = createOutliers({
      ...DEFAULT_OUTLIER_OPTIONS,
      service,
      failuresInARow: FAILURES_IN_A_ROW,
      baseEjectionMs: EJECTION_MS,
      maxEjectedShare: MAX_EJECTED_SHARE,
    });
    outliersByService.set(service, made);
    return made;
  }

  function costOf(target: TargetEntry): number {
    const isNear = target.failureDomain === failureDomain;
    return (inFlight.get(target.id) ?? 0) + (isNear ? 0 : OWN_DOMAIN_ADVANTAGE) + random() / 10;
  }

  function add(target: TargetEntry, by: number): void {
    const count = (inFlight.get(target.id) ?? 0) + by;
    if (count <= 0) inFlight.delete(target.id);
    else inFlight.set(target.id, count);
  }

  return {
    choose: (service, tried) => {
      const entries = servingTargets(view, service, nowMs()).filter(
        (entry) => !tried.has(entry.id),
      );
      const outliers = outliersOf(service);
      noteOutlierTargets(
        outliers,
        servingTargets(view, service, nowMs()).map((entry) => entry.id),
      );
      const excluded = excludedTargets(outliers, nowMs(), random);
      const healthy = entries.filter((entry) => !excluded.has(entry.id));
      // Where all are suspects, a suspect is a better bet than a refusal.
      const candidates = healthy.length > 0 ? healthy : entries;
      return candidates.reduce<TargetEntry | null>(
        (best, entry) => (best === null || costOf(entry) < costOf(best) ? entry : best),
        null,
      );
    },
    noteSent: (target) => {
      add(target, 1);
    },
    noteDone: (target) => {
      add(target, -1);
    },
    noteGood: (target) => {
      noteAnswer(outliersOf(target.service), target.id, 1, nowMs());
    },
    noteBad: (target) => {
      noteTargetFailure(outliersOf(target.service), target.id, nowMs());
    },
  };
}
