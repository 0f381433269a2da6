/**
 * What a process tells of itself over `status.read`, `timeline.read` and `metrics.read`. Plain JSON
 * data; every list is bounded by the configuration or by the number of members. Status is for
 * people and checks: no decision rests on it.
 */
import type { EventKind, TimelineEvent } from '../events/event.js';
import type { EngineRole, TargetKind } from '../model/configuration.js';
import type { MemberKind, MemberState } from '../model/member.js';

/** How a process sees one target of a service. */
export enum TargetCondition {
  /** Takes new work. */
  Ready = 'ready',
  /** Loads a model, changes its role or has not reported yet. */
  Changing = 'changing',
  /** No new work; running work ends. */
  Draining = 'draining',
  /** Taken out after failures; probed until it is well. */
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
  /** Share of its capacity in use, 0 to 1, from the latest report; null before one came. */
  readonly loadRatio: number | null;
  readonly runningRequests: number;
  readonly queuedRequests: number;
  /** Age of the report that this rests on, or null before one came. */
  readonly reportAgeMs: number | null;
}

/** Who plans a service, as the answering process knows it. */
export interface AuthorityStatus {
  /** Member id of the holder of the planner's lease, or null when nobody is known to hold it. */
  readonly holder: string | null;
  /** The holder's fencing number: the lease key's create revision; null without a holder. */
  readonly fence: number | null;
}

/** Answers counted since the process started; a reader takes differences for rates. */
export interface GoodputStatus {
  /** Requests answered whole. */
  readonly answered: number;
  /** Of these, within the service's latency goals. */
  readonly answeredWithinGoals: number;
  readonly refusedNotRun: number;
  readonly failed: number;
  /** Tokens relayed to callers. */
  readonly outputTokens: number;
}

/** The prompt-to-output mix over the process's latest window. */
export interface MixStatus {
  readonly windowMs: number;
  readonly promptTokens: number;
  readonly outputTokens: number;
}

/** One service as the answering process sees it. */
export interface ServiceStatus {
  readonly name: string;
  readonly kind: TargetKind;
  /** Whether it and all it depends on have the targets they need. */
  readonly ready: boolean;
  /** Why it is not ready, in one sentence; empty while it is. */
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
  /** Whether to list the members; asked of one process only, as the list is long. */
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
  /** The version in force here; 0 before the first. */
  readonly configurationVersion: number;
  /** Since when, by this process's wall clock. */
  readonly configurationSinceWallMs: number;
  /** Cut off: it can't know whether its configuration is the latest and takes no new work. */
  readonly doubt: boolean;
  readonly stopping: boolean;
  readonly membersByState: Readonly<Record<MemberState, number>>;
  /** Present when the query asked for it. */
  readonly members?: readonly MemberStatus[];
  /** Services that this process serves or routes to. */
  readonly services: readonly ServiceStatus[];
  /** Counters by name, as in the metrics. */
  readonly counters: Readonly<Record<string, number>>;
}

/** Parameters of `timeline.read`: all given conditions must hold. */
export interface TimelineQuery {
  readonly request?: string;
  readonly workspace?: string;
  readonly service?: string;
  readonly target?: string;
  readonly kinds?: readonly EventKind[];
  /** The latest so many events of those that match. */
  readonly limit: number;
}

/** Result of `timeline.read`: one process's matching events, oldest first. */
export interface ProcessTimeline {
  readonly memberId: string;
  readonly kind: MemberKind;
  readonly failureDomain: string;
  /** The target beside a sidecar; empty or absent for an entry. */
  readonly target?: string;
  readonly events: readonly TimelineEvent[];
  /** Events that the ring lost to newer ones since the process started. */
  readonly dropped: number;
  /** Matching events left out because of the query's limit. */
  readonly omitted: number;
}

/** Result of `metrics.read`. */
export interface ProcessMetrics {
  readonly memberId: string;
  /** The Prometheus text exposition format. */
  readonly prometheusText: string;
}
