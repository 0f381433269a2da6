/**
 * Chooses the target of a plain service for the next request: the healthy target with the fewest
 * requests in flight from this gateway, with a preference for its own failure domain. Health is
 * derived only from the answers to this gateway's requests; no probes are sent.
 */
import {
  DEFAULT_OUTLIER_OPTIONS,
  type FleetView,
  type Outliers,
  type Random,
  type TargetEntry,
  createOutliers,
  excludedTargets,
  recordTargetAnswer,
  setOutlierTargets,
  recordTargetFailure,
  servingTargets,
} from '@cassiamast/coordination';

/**
 * A gateway sends only a few requests per second to a small service, so two consecutive failures
 * are the evidence of about one second. The ejection is short so that a recovered target is used
 * again soon.
 */
const FAILURES_IN_A_ROW = 2;
const EJECTION_MS = 1500;
/** Of three targets, one remains in use when the others fail. */
const MAX_EJECTED_SHARE = 0.67;
/** Cost of a target in another failure domain, in additional requests in flight. */
const OWN_DOMAIN_ADVANTAGE = 0.5;

/** Chooses targets and tracks their health. */
export interface TargetHealth {
  /** Returns the target for the next request, or null if every target has been tried. */
  readonly choose: (service: string, tried: ReadonlySet<string>) => TargetEntry | null;
  readonly noteSent: (target: TargetEntry) => void;
  readonly noteDone: (target: TargetEntry) => void;
  readonly recordSuccess: (target: TargetEntry) => void;
  readonly recordFailure: (target: TargetEntry) => void;
}

/** Creates the health tracking of all plain targets. */
export function createTargetHealth(
  view: FleetView,
  failureDomain: string,
  random: Random,
  nowMs: () => number,
): TargetHealth {
  const outliersByService = new Map<string, Outliers>();
  const inFlight = new Map<string, number>();

  function outliersOf(service: string): Outliers {
    const existing = outliersByService.get(service);
    if (existing !== undefined) return existing;
    const created = createOutliers({
      ...DEFAULT_OUTLIER_OPTIONS,
      service,
      failuresInARow: FAILURES_IN_A_ROW,
      baseEjectionMs: EJECTION_MS,
      maxEjectedShare: MAX_EJECTED_SHARE,
    });
    outliersByService.set(service, created);
    return created;
  }

  function costOf(target: TargetEntry): number {
    const isNear = target.failureDomain === failureDomain;
    return (inFlight.get(target.id) ?? 0) + (isNear ? 0 : OWN_DOMAIN_ADVANTAGE) + random() / 10;
  }

  function adjustInFlight(target: TargetEntry, change: number): void {
    const count = (inFlight.get(target.id) ?? 0) + change;
    if (count <= 0) inFlight.delete(target.id);
    else inFlight.set(target.id, count);
  }

  return {
    choose: (service, tried) => {
      const entries = servingTargets(view, service, nowMs()).filter(
        (entry) => !tried.has(entry.id),
      );
      const outliers = outliersOf(service);
      setOutlierTargets(
        outliers,
        servingTargets(view, service, nowMs()).map((entry) => entry.id),
      );
      const excluded = excludedTargets(outliers, nowMs(), random);
      const healthy = entries.filter((entry) => !excluded.has(entry.id));
      // If all targets are ejected, trying one of them is better than refusing the request.
      const candidates = healthy.length > 0 ? healthy : entries;
      return candidates.reduce<TargetEntry | null>(
        (best, entry) => (best === null || costOf(entry) < costOf(best) ? entry : best),
        null,
      );
    },
    noteSent: (target) => {
      adjustInFlight(target, 1);
    },
    noteDone: (target) => {
      adjustInFlight(target, -1);
    },
    recordSuccess: (target) => {
      recordTargetAnswer(outliersOf(target.service), target.id, 1, nowMs());
    },
    recordFailure: (target) => {
      recordTargetFailure(outliersOf(target.service), target.id, nowMs());
    },
  };
}
