/**
 * Types of the fleet as a gateway knows it: services, the routes to them, and registered targets.
 * All values are plain data that an adapter decodes from the platform's store.
 */

/** Determines whether a request may be retried once it may have run. */
export enum DeliveryKind {
  /** May run more than once. */
  Idempotent = 'idempotent',
  /** Runs at most once for each request that a caller sends. */
  AtMostOnce = 'at-most-once',
  /** Answered by a stream of events; runs at most once unless the route is resumable. */
  Stream = 'stream',
}

/** A service of a route and its weight. */
export interface RouteShare {
  readonly service: string;
  /** Positive weight relative to the other shares of the route. */
  readonly weight: number;
}

/** The services and guarantees for requests with one host and path prefix. */
export interface Route {
  readonly name: string;
  readonly host: string;
  /** Starts and ends with a slash. */
  readonly pathPrefix: string;
  readonly kind: DeliveryKind;
  /** Longest time that a request may wait for its answer. */
  readonly timeoutMs: number;
  /** Latency goal for the answer, or for the first event of a stream. */
  readonly targetLatencyMs: number;
  /** Latency goal for the gap between two events of a stream; 0 if none is declared. */
  readonly targetGapMs: number;
  /** 0 is the highest priority. */
  readonly priority: number;
  readonly shares: readonly RouteShare[];
  /** Most targets to which one request of a caller is sent. */
  readonly maxAttempts: number;
  /** Whether requests list the parts of their prompt. */
  readonly hasPrompts: boolean;
  /** Whether an interrupted stream may be continued by another target. */
  readonly resumable: boolean;
  /** Whether callers need no key. */
  readonly isOpen: boolean;
}

/** A workspace, whose callers are known by its keys. */
export interface KeyedWorkspace {
  readonly name: string;
  /** Hexadecimal SHA-256 digests of its API keys. */
  readonly apiKeySha256: readonly string[];
  /** Replaces the priority of the route; null if it sets none. */
  readonly priority: number | null;
}

/** Declared properties of the engines of a service. */
export interface EngineSpec {
  readonly slots: number;
  readonly kvCapacityTokens: number;
  /** KV cache size of one token in bytes. */
  readonly kvTokenBytes: number;
  /** Bandwidth of the links over which engines transfer KV cache. */
  readonly linkMbps: number;
  /** How long a prefill engine keeps the KV cache of a prompt for another engine to fetch. */
  readonly kvRetentionMs: number;
}

/** A service that targets belong to. */
export interface RoutedService {
  readonly name: string;
  readonly maxConnections: number;
  /** Null for plain services. */
  readonly engine: EngineSpec | null;
}

/** Limits on requests from callers. */
export interface CallerLimits {
  readonly maxBodyBytes: number;
  readonly headerTimeoutMs: number;
  readonly idleTimeoutMs: number;
}

/** One version of the operators' configuration. */
export interface FleetConfiguration {
  /** Increases with each change. */
  readonly version: number;
  readonly routes: readonly Route[];
  readonly services: readonly RoutedService[];
  /** Null if no route asks for a key. */
  readonly workspaces: readonly KeyedWorkspace[] | null;
  readonly limits: CallerLimits;
}

/** The inference phases that an engine runs. */
export enum EnginePhase {
  /** Runs prefill for other engines. */
  Prefill = 'prefill',
  /** Runs decode; it can also run prefill, but slowly. */
  Decode = 'decode',
  /** Runs both at full speed. */
  Both = 'both',
}

/** The registration of a target. */
export interface TargetEntry {
  /** Unique per start of the target; nothing known of an earlier start applies to this one. */
  readonly id: string;
  /** Name under which it registers. Some targets keep it across restarts. */
  readonly name: string;
  /** Start time in Unix milliseconds, which orders starts with the same name; 0 if not reported. */
  readonly bornAtMs: number;
  readonly service: string;
  /** Version of its software. Versions have no order. */
  readonly version: string;
  /** `host:port`. */
  readonly address: string;
  readonly failureDomain: string;
  readonly slots: number;
  /** Whether it accepts no new work because it is shutting down. */
  readonly draining: boolean;
  /** Null for targets of plain services. */
  readonly phase: EnginePhase | null;
}

/**
 * A part of a prompt. Requests whose prompts start with the same parts can share their KV cache.
 */
export interface PromptPart {
  readonly id: string;
  readonly tokens: number;
}
