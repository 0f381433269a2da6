/**
 * Types of the answers to `status.read`, `timeline.read` and `metrics.read`. All values are plain
 * JSON data, and every list is bounded by the configuration or by the number of members. Status
 * serves people and health checks; no coordination decision depends on it.
 */
import type { EventKind, TimelineEvent } from '../events/event.js';
import type { EngineRole, TargetKind } from '../model/configuration.js';
import type { MemberKind, MemberState } from '../model/member.js';

/** Condition of a target, as one process sees it. */
export enum TargetCondition {
  /** Accepts new work. */
  Ready = 'ready',
  /** Is loading a model, is changing its role or has not reported yet. */
  Changing = 'changing',
  /** Accepts no new work and finishes running work. */
  Draining = 'draining',
  /** Removed from routing after failures; probed until it recovers. */
  Ejected = 'ejected',
  /** Its sidecar is not a live member. */
  Unreachable = 'unreachable',
}

/** One target as the answering process sees it. */
export interface TargetStatus {
  readonly name: string;
  readonly failureDomain: string;
  readonly condition: TargetCondition;
  /** The engine's role, or null for a plain service or before the first report. */
  readonly role: EngineRole | null;
  /**
   * Fraction of its capacity in use, 0 to 1, from the latest report; null before the first report.
   */
  readonly loadRatio: number | null;
  readonly runningRequests: number;
  readonly queuedRequests: number;
  /** Age of the latest report; null before the first report. */
  readonly reportAgeMs: number | null;
}

/** The planner of a service, as known to the answering process. */
export interface AuthorityStatus {
  /** Member id of the holder of the planner's lease; null if no holder is known. */
  readonly holder: string | null;
  /**
   * Fencing token of the holder, which is the lease key's create revision; null without a holder.
   */
  readonly fence: number | null;
}

/** Answers counted since the process started. Consumers compute rates from differences. */
export interface GoodputStatus {
  /** Requests answered completely. */
  readonly answered: number;
  /** Complete answers within the service's latency goals. */
  readonly answeredWithinGoals: number;
  readonly refusedNotRun: number;
  readonly failed: number;
  /** Number of tokens relayed to callers. */
  readonly outputTokens: number;
}

/** Prompt and output tokens in the latest window of the process. */
export interface MixStatus {
  readonly windowMs: number;
  readonly promptTokens: number;
  readonly outputTokens: number;
}

/** One service as the answering process sees it. */
export interface ServiceStatus {
  readonly name: string;
  readonly kind: TargetKind;
  /** Whether this service and all services it depends on have the targets they need. */
  readonly ready: boolean;
  /** Why it is not ready, in one sentence; empty if it is ready. */
  readonly reason: string;
  readonly targets: readonly TargetStatus[];
  readonly authority: AuthorityStatus;
  readonly goodput: GoodputStatus;
  readonly mix: MixStatus;
  /** Role changes that this process ordered since it started. */
  readonly roleChanges: number;
}

/** One member as the answering process sees it. */
export interface MemberStatus {
  readonly id: string;
  readonly kind: MemberKind;
  readonly failureDomain: string;
  /** The target beside a sidecar; empty for an entry. */
  readonly target: string;
  readonly state: MemberState;
}

/** Parameters of `status.read`. */
export interface StatusQuery {
  /** Whether to include the members. Set for one process only, because the list is long. */
  readonly withMembers: boolean;
}

/** Result of `status.read`. */
export interface ProcessStatus {
  readonly memberId: string;
  readonly kind: MemberKind;
  readonly failureDomain: string;
  /** The target beside a sidecar; empty for an entry. */
  readonly target: string;
  readonly startedAtWallMs: number;
  /** Version of the active configuration; 0 before the first. */
  readonly configurationVersion: number;
  /** Wall-clock time at which this process applied the active configuration. */
  readonly configurationSinceWallMs: number;
  /**
   * Whether the process is isolated: it cannot tell if its configuration is current and accepts no
   * new work.
   */
  readonly doubt: boolean;
  readonly stopping: boolean;
  readonly membersByState: Readonly<Record<MemberState, number>>;
  /** Present if the query requested the members. */
  readonly members?: readonly MemberStatus[];
  /** The services that this process serves or routes to. */
  readonly services: readonly ServiceStatus[];
  /** Counters by metric name. */
  readonly counters: Readonly<Record<string, number>>;
}

/** Parameters of `timeline.read`. An event must match all given conditions. */
export interface TimelineQuery {
  readonly request?: string;
  readonly workspace?: string;
  readonly service?: string;
  readonly target?: string;
  readonly kinds?: readonly EventKind[];
  /** Returns at most this many of the latest matching events. */
  readonly limit: number;
}

/** Result of `timeline.read`: the matching events of one process, oldest first. */
export interface ProcessTimeline {
  readonly memberId: string;
  readonly kind: MemberKind;
  readonly failureDomain: string;
  /** The target beside a sidecar; empty or absent for an entry. */
  readonly target?: string;
  readonly events: readonly TimelineEvent[];
  /** Number of events overwritten in the ring buffer since the process started. */
  readonly dropped: number;
  /** Number of matching events omitted because of the query's limit. */
  readonly omitted: number;
}

/** Result of `metrics.read`. */
export interface ProcessMetrics {
  readonly memberId: string;
  /** Metrics in the Prometheus text exposition format. */
  readonly prometheusText: string;
}
