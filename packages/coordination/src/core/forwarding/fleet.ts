/**
 * The fleet as a gateway knows it: services, the routes that lead to them, and the targets that
 * registered themselves. Plain data; an adapter decodes it from whatever the platform holds.
 */

/** What may be done with a request once it may have run. */
export enum DeliveryKind {
  /** May run more than once. */
  Idempotent = 'idempotent',
  /** Runs at most once for each attempt of a caller. */
  AtMostOnce = 'at-most-once',
  /** Answered by a series of events; runs at most once unless the route is resumable. */
  Stream = 'stream',
}

/** One service that a route may lead to. */
export interface RouteShare {
  readonly service: string;
  /** Relative to the other shares of the route; all are positive. */
  readonly weight: number;
}

/** Where requests of one host and path prefix go, and what they are promised. */
export interface Route {
  readonly name: string;
  readonly host: string;
  /** Begins and ends with a slash. */
  readonly pathPrefix: string;
  readonly kind: DeliveryKind;
  /** The longest that a request is kept waiting. */
  readonly timeoutMs: number;
  /** An answer within this time is on time; of a stream, its first event. */
  readonly targetLatencyMs: number;
  /** Longest pause between events of a stream that is on time; 0 where none is declared. */
  readonly targetGapMs: number;
  /** 0 is the most urgent. */
  readonly priority: number;
  readonly shares: readonly RouteShare[];
  /** Most targets that one attempt of a caller is sent to. */
  readonly maxAttempts: number;
  /** Whether requests name the parts of their prompt. */
  readonly hasPrompts: boolean;
  /** Whether a broken stream may go on at another target. */
  readonly resumable: boolean;
}

/** What is declared of the engines of a service. */
export interface EngineSpec {
  readonly slots: number;
  readonly kvCapacityTokens: number;
  /** Bytes of one token's memory. */
  readonly kvTokenBytes: number;
  /** Speed of the links over which engines hand memory to each other. */
  readonly linkMbps: number;
  /** How long an engine keeps a prompt that it read for another one to fetch. */
  readonly kvRetentionMs: number;
}

/** A service that targets belong to. */
export interface RoutedService {
  readonly name: string;
  readonly maxConnections: number;
  /** Null for plain services. */
  readonly engine: EngineSpec | null;
}

/** Bounds on what callers may send. */
export interface CallerLimits {
  readonly maxBodyBytes: number;
  readonly headerTimeoutMs: number;
  readonly idleTimeoutMs: number;
}

/** One version of what the operators want. */
export interface FleetConfiguration {
  /** Only grows. */
  readonly version: number;
  readonly routes: readonly Route[];
  readonly services: readonly RoutedService[];
  readonly limits: CallerLimits;
}

/** What an engine does for prompts. */
export enum EnginePhase {
  /** Reads prompts for other engines. */
  Prefill = 'prefill',
  /** Makes tokens, and reads prompts slowly beside that. */
  Decode = 'decode',
  /** Does both at full speed. */
  Both = 'both',
}

/** A target as it registered itself. */
export interface TargetEntry {
  /** One start of the target: what is known of an earlier start says nothing of this one. */
  readonly id: string;
  /** What it registers under; kept by some targets when they start again. */
  readonly name: string;
  /** Unix milliseconds of this start, 0 where the target does not tell. Orders starts of a name. */
  readonly bornAtMs: number;
  readonly service: string;
  /** `host:port`. */
  readonly address: string;
  readonly failureDomain: string;
  readonly slots: number;
  /** Whether it takes no new work because it is leaving. */
  readonly draining: boolean;
  /** Null for targets of plain services. */
  readonly phase: EnginePhase | null;
}

/** One part of a prompt; requests that begin with the same parts share them. */
export interface PromptPart {
  readonly id: string;
  readonly tokens: number;
}
