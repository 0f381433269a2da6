/**
 * Heeds what targets announce about their own availability: a target that is leaving, or that asked
 * for a back-off, receives nothing from this gateway, whatever the store says. Requests, prefills
 * and control calls ask here right before they are sent.
 */
import {
  type AnnouncedAvailability,
  EnginePhase,
  type FleetView,
  type Random,
  type TargetEntry,
  UnavailableReason,
  availableInMs,
  describeRevision,
  dropOldAnnouncements,
  recordBackOff,
  recordLeaving,
  servingTarget,
  servingTargets,
  unavailableReason,
  unavailableTargets,
} from '@cassiamast/coordination';
import type { TargetAnnouncement } from '@cassiamast/ports';
import { createPeriodic } from '../node/timers.js';
import type { Child } from '../supervisor/supervisor.js';
import type { GatewayLog } from './gateway-log.js';

/** Interval at which ended announcements are dropped. */
const CLEANUP_INTERVAL_MS = 1000;
/** Retry-after time while all targets leave: a replacement is registered within about a second. */
const REPLACEMENT_MS = 1000;
/**
 * Callers that wait for the same back-off return spread over this time, so that a recovering target
 * is not sent all of them at once.
 */
const RETURN_SPREAD_MS = 300;

/** Why a request is withheld if the target is missing from the view or draining there. */
const NOT_SERVING = 'the target leaves';
const REASONS: Readonly<Record<UnavailableReason, string>> = {
  [UnavailableReason.Leaving]: 'the target announced that it leaves',
  [UnavailableReason.BackOff]: 'the target asked for a back-off',
};

/** Gauges that are 1 for each target that is unavailable for the reason. */
const GAUGES: Readonly<Record<UnavailableReason, string>> = {
  [UnavailableReason.Leaving]: 'target_leaving',
  [UnavailableReason.BackOff]: 'target_backing_off',
};

/** Dependencies of the target availability. */
export interface TargetAvailabilityOptions {
  readonly view: FleetView;
  /** The clock of the fleet view. */
  readonly nowMs: () => number;
  /** A clock that includes suspended time, by which back-offs are measured. */
  readonly elapsedMs: () => number;
  readonly random: Random;
  readonly log: GatewayLog;
  readonly count: (name: string) => void;
  /** Sets a gauge with one value per target. */
  readonly gauge: (name: string, valueByTarget: ReadonlyMap<string, number>) => void;
  /** Called once for each target that announces its departure. */
  readonly onLeaving: (target: TargetEntry) => void;
}

/** The availability of targets for this gateway. */
export interface TargetAvailability {
  readonly child: Child;
  /** Records what an answer of a target announced; call this on receipt of the answer. */
  readonly noteAnswer: (target: TargetEntry, announced: TargetAnnouncement) => void;
  /** Returns why a target must not be sent anything now, or null if it may. */
  readonly withholdReason: (target: TargetEntry) => string | null;
  /** Returns the targets of a service that must not be sent anything, by their announcements. */
  readonly unavailable: (service: string) => readonly string[];
  /** Whether a target announced that it leaves. */
  readonly isLeaving: (target: string) => boolean;
  /**
   * Returns the time until the first target of a service that produces answers may be used; 0 if
   * one may be used now, or if the service has none.
   */
  readonly availableInMs: (service: string) => number;
  /** Returns when a refused caller of a service should retry. */
  readonly callerRetryInMs: (service: string) => number;
  /** Sets the gauges. */
  readonly measure: () => void;
}

/** Creates the availability without any announcement. */
export function createTargetAvailability(options: TargetAvailabilityOptions): TargetAvailability {
  const { view, nowMs, elapsedMs, random, log, count, gauge, onLeaving } = options;
  const announced: AnnouncedAvailability = new Map();

  function noteLeaving(target: TargetEntry): void {
    if (!recordLeaving(announced, target, elapsedMs())) return;
    const { id, service } = target;
    count('targets_announced_leaving_total');
    const revision = describeRevision(view.revision);
    log.info('target announces that it leaves', { target: id, service, revision });
    onLeaving(target);
  }

  function noteBackOff(target: TargetEntry, backOffMs: number): void {
    count('target_back_offs_total');
    if (!recordBackOff(announced, target, backOffMs, elapsedMs())) return;
    log.info('target asks for a back-off', {
      target: target.id,
      service: target.service,
      backOffMs,
    });
  }

  function withholdReason({ id }: TargetEntry): string | null {
    if (servingTarget(view, id, nowMs()) === null) return NOT_SERVING;
    const reason = unavailableReason(announced, id, elapsedMs());
    return reason === null ? null : REASONS[reason];
  }

  function unavailable(service: string): readonly string[] {
    return announced.size === 0 ? [] : unavailableTargets(announced, service, elapsedMs());
  }

  function serviceAvailableInMs(service: string): number {
    if (announced.size === 0) return 0;
    const ids = servingTargets(view, service, nowMs())
      .filter(({ phase }) => phase !== EnginePhase.Prefill)
      .map(({ id }) => id);
    if (ids.length === 0) return 0;
    return availableInMs(announced, ids, elapsedMs()) ?? REPLACEMENT_MS;
  }

  function measure(): void {
    const now = elapsedMs();
    for (const [reason, name] of Object.entries(GAUGES)) {
      const ids = [...announced.keys()].filter(
        (id) => unavailableReason(announced, id, now) === reason,
      );
      gauge(name, new Map(ids.map((id) => [id, 1])));
    }
  }

  return {
    child: createPeriodic(
      'target-availability',
      () => CLEANUP_INTERVAL_MS,
      () => {
        dropOldAnnouncements(announced, (id) => view.targets.has(id), elapsedMs());
      },
    ),
    noteAnswer: (target, { isLeaving, backOffMs }) => {
      if (isLeaving) noteLeaving(target);
      if (backOffMs !== null) noteBackOff(target, backOffMs);
    },
    withholdReason,
    unavailable,
    isLeaving: (id) => unavailableReason(announced, id, elapsedMs()) === UnavailableReason.Leaving,
    availableInMs: serviceAvailableInMs,
    callerRetryInMs: (service) => {
      const inMs = serviceAvailableInMs(service);
      return inMs === 0 ? 0 : inMs + random() * RETURN_SPREAD_MS;
    },
    measure,
  };
}
