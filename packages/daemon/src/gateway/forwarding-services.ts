/** The services that plain and stream forwarding share. */
import {
  type FleetView,
  type Hash32,
  type Random,
  type TargetEntry,
  servingTarget,
} from '@cassiamast/coordination';
import type { ClientGuard } from '../node/client-guard.js';
import type { StallWatch } from '../node/stall-watch.js';
import type { CallerIdentity } from './caller-identity.js';
import type { SendServices } from './send-to-target.js';
import type { CrashReports } from './crash-reports.js';
import type { GatewayLog } from './gateway-log.js';
import type { RetryBudgets } from './retry-budgets.js';
import type { SchedulingClient } from './scheduling-client.js';
import type { StreamVersions } from './stream-versions.js';
import type { TargetActivity } from './target-activity.js';
import type { TargetAvailability } from './target-availability.js';
import type { TargetHealth } from './target-health.js';
import type { TargetLimits } from './target-limits.js';
import type { TargetProbes } from './target-probes.js';
import type { UsageDuty } from './usage-duty.js';

/** The services that forwarding a request depends on. */
export interface ForwardingServices extends SendServices {
  readonly guard: ClientGuard;
  readonly pulse: TargetActivity;
  readonly probes: TargetProbes;
  readonly standstill: StallWatch;
  readonly view: FleetView;
  readonly budgets: RetryBudgets;
  readonly health: TargetHealth;
  readonly limits: TargetLimits;
  readonly availability: TargetAvailability;
  readonly callers: CallerIdentity;
  readonly usage: Pick<UsageDuty, 'noteBegun'>;
  readonly scheduling: SchedulingClient;
  readonly crashes: CrashReports;
  readonly versions: StreamVersions;
  readonly random: Random;
  readonly hash32: Hash32;
  readonly nowMs: () => number;
  readonly log: GatewayLog;
  readonly count: (name: string, by?: number) => void;
  readonly record: (name: string, valueMs: number) => void;
  readonly failureDomain: string;
  /** The identity of this gateway among the gateways. */
  readonly selfId: string;
}

/** Returns a target that may be sent a request now, or null. */
export function availableTarget(services: ForwardingServices, id: string): TargetEntry | null {
  return unavailableBecause(services, id) === null
    ? servingTarget(services.view, id, services.nowMs())
    : null;
}

/** Returns why a target must not be sent a request now, or null if it may. */
export function unavailableBecause(services: ForwardingServices, id: string): string | null {
  const target = services.view.targets.get(id);
  return target === undefined ? 'the target is gone' : services.withholdReason(target.entry);
}

/** Returns the age of this gateway's view of the fleet, logged with each decision based on it. */
export function newsAgeMs(services: ForwardingServices): number {
  return Math.round(services.nowMs() - services.view.confirmedAtMs);
}
