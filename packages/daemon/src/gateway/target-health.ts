/**
 * Chooses the target of a plain service for the next request: the healthy target of the gateway's
 * failure domain that is expected to respond first, or one of another domain if that responds sooner
 * by more than leaving costs. Health and speed are derived only from the answers to this gateway's
 * requests; no probes are sent.
 */
import {
  DEFAULT_OUTLIER_OPTIONS,
  type FleetView,
  type LocalityOptions,
  LocalityReason,
  type Outliers,
  type PlainTargets,
  type Random,
  type SentRequest,
  type TargetEntry,
  choosePlainTarget,
  createOutliers,
  createPlainTargets,
  excludedTargets,
  localityOptions,
  notePlainDone,
  notePlainSent,
  recordTargetAnswer,
  setOutlierTargets,
  recordTargetFailure,
  servingTargets,
} from '@cassiamast/coordination';
import type { LocalityState } from './locality-counts.js';

/**
 * A gateway sends only a few requests per second to a small service, so two consecutive failures
 * are the evidence of about one second. The ejection is short so that a recovered target is used
 * again soon.
 */
const FAILURES_IN_A_ROW = 2;
const EJECTION_MS = 1500;
/** Of three targets, one remains in use when the others fail. */
const MAX_EJECTED_SHARE = 0.67;
/**
 * Cost of a target in another failure domain, in additional requests in flight; used if speeds are
 * not learned.
 */
const OWN_DOMAIN_ADVANTAGE = 0.5;

/** Options of the choice. */
export interface TargetHealthOptions {
  /**
   * Learns the service times of targets and leaves the failure domain only if that is faster. Null
   * to choose the target with the fewest requests in flight.
   */
  readonly locality: LocalityOptions | null;
  /** Called with where the requests of a service go, at each choice. */
  readonly onLocality?: (service: string, state: LocalityState) => void;
}

/** Default options. */
export const TARGET_HEALTH_OPTIONS: TargetHealthOptions = { locality: localityOptions() };

/**
 * Called when a request that was sent to a target has ended. `isMeasured`: its duration tells the
 * speed of the target, because it was answered or given up as overdue.
 */
export type NoteDone = (isMeasured: boolean) => void;

/** Chooses targets and tracks their health. */
export interface TargetHealth {
  /** Returns the target for the next request, or null if every target has been tried. */
  readonly choose: (service: string, tried: ReadonlySet<string>) => TargetEntry | null;
  readonly noteSent: (target: TargetEntry) => NoteDone;
  readonly recordSuccess: (target: TargetEntry) => void;
  readonly recordFailure: (target: TargetEntry) => void;
  /** Returns the share that may leave the failure domain, by service. */
  readonly leavingShares: () => ReadonlyMap<string, number>;
}

/** Creates the health tracking of all plain targets. */
export function createTargetHealth(
  view: FleetView,
  failureDomain: string,
  random: Random,
  nowMs: () => number,
  { locality, onLocality }: TargetHealthOptions = TARGET_HEALTH_OPTIONS,
): TargetHealth {
  const outliersByService = new Map<string, Outliers>();
  const plainTargetsByService = new Map<string, PlainTargets>();
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

  function plainTargetsOf(service: string): PlainTargets {
    const existing = plainTargetsByService.get(service);
    if (existing !== undefined) return existing;
    const created = createPlainTargets();
    plainTargetsByService.set(service, created);
    return created;
  }

  function chooseByLocality(
    service: string,
    candidates: readonly TargetEntry[],
    hasLocal: boolean,
    options: LocalityOptions,
  ): TargetEntry | null {
    const targets = plainTargetsOf(service);
    const now = nowMs();
    const decision = choosePlainTarget(targets, candidates, failureDomain, options, random, now);
    const { share } = targets.leaving;
    onLocality?.(service, { reason: stateOf(hasLocal, share), share });
    return decision?.candidate.target ?? null;
  }

  function chooseByRequests(candidates: readonly TargetEntry[]): TargetEntry | null {
    return candidates.reduce<TargetEntry | null>(
      (best, entry) => (best === null || costOf(entry) < costOf(best) ? entry : best),
      null,
    );
  }

  function noteDone(target: TargetEntry, sent: SentRequest | null, isMeasured: boolean): void {
    adjustInFlight(target, -1);
    if (sent === null || locality === null) return;
    notePlainDone(plainTargetsOf(target.service), sent, isMeasured, locality, nowMs());
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
      const serving = servingTargets(view, service, nowMs());
      const entries = serving.filter((entry) => !tried.has(entry.id));
      const outliers = outliersOf(service);
      setOutlierTargets(
        outliers,
        serving.map((entry) => entry.id),
      );
      const excluded = excludedTargets(outliers, nowMs(), random);
      const healthy = entries.filter((entry) => !excluded.has(entry.id));
      // If all targets are ejected, trying one of them is better than refusing the request.
      const candidates = healthy.length > 0 ? healthy : entries;
      if (locality === null) return chooseByRequests(candidates);
      const hasLocal = serving.some(
        (entry) => entry.failureDomain === failureDomain && !excluded.has(entry.id),
      );
      return chooseByLocality(service, candidates, hasLocal, locality);
    },
    noteSent: (target) => {
      adjustInFlight(target, 1);
      const sent =
        locality === null
          ? null
          : notePlainSent(plainTargetsOf(target.service), target, failureDomain, nowMs());
      return (isMeasured) => {
        noteDone(target, sent, isMeasured);
      };
    },
    leavingShares: () =>
      new Map([...plainTargetsByService].map(([service, { leaving }]) => [service, leaving.share])),
    recordSuccess: (target) => {
      recordTargetAnswer(outliersOf(target.service), target.id, 1, nowMs());
    },
    recordFailure: (target) => {
      recordTargetFailure(outliersOf(target.service), target.id, nowMs());
    },
  };
}

/** Returns where the requests of a service go; that one request has tried the local targets is none. */
function stateOf(hasLocal: boolean, share: number): LocalityReason {
  if (!hasLocal) return LocalityReason.NoLocalTarget;
  return share > 0 ? LocalityReason.Sooner : LocalityReason.Local;
}
