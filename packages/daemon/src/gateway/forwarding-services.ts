/** What the forwarding paths share. */
import type { FleetView, Hash32, Random } from '@cassiamast/coordination';
import type { StandstillWatch } from '../node/standstill.js';
import type { AskServices } from './ask-target.js';
import type { CrashReports } from './crash-reports.js';
import type { GatewayLog } from './gateway-log.js';
import type { RetryBudgets } from './retry-budgets.js';
import type { SchedulingClient } from './scheduling-client.js';
import type { TargetHealth } from './target-health.js';
import type { TargetLimits } from './target-limits.js';

/** The surroundings of a request's way through the gateway. */
export interface ForwardingServices extends AskServices {
  readonly standstill: StandstillWatch;
  readonly view: FleetView;
  readonly budgets: RetryBudgets;
  readonly health: TargetHealth;
  readonly limits: TargetLimits;
  readonly scheduling: SchedulingClient;
  readonly crashes: CrashReports;
  readonly random: Random;
  readonly hash32: Hash32;
  readonly nowMs: () => number;
  readonly log: GatewayLog;
  readonly count: (name: string) => void;
  readonly record: (name: string, valueMs: number) => void;
  readonly failureDomain: string;
  /** This gateway as others know it. */
  readonly selfId: string;
}

/** Age of what this gateway knows of the fleet, for the log: decisions rest on it. */
export function newsAgeMs(services: ForwardingServices): number {
  return Math.round(services.nowMs() - services.view.confirmedAtMs);
}
