/**
 * The configuration as every process acts on it: what the operators' text compiles to. Plain JSON
 * data, so that it is stored, gossiped and compared as it is. Fields carry their unit as suffix.
 */

/** What stands behind a target. */
export enum TargetKind {
  ModelEngine = 'model-engine',
  PlainService = 'plain-service',
}

/** What a model engine is set up to do. */
export enum EngineRole {
  /** Reads prompts and hands their KV cache on. */
  Prefill = 'prefill',
  /** Writes answers from KV cache that was computed elsewhere. */
  Decode = 'decode',
  /** Does both in one batch. */
  Mixed = 'mixed',
}

/** One host and port. */
export interface Address {
  readonly host: string;
  readonly port: number;
}

/** One server of a service together with the sidecar in its slot. */
export interface TargetSpec {
  /** Unique over the whole configuration. */
  readonly name: string;
  readonly failureDomain: string;
  /** Where the sidecar beside the target listens; also its bind lock. */
  readonly sidecar: Address;
  /** Where the engine or plain service itself listens; only its own sidecar calls it. */
  readonly backend: Address;
  /** Whether the engine refuses orders that carry an old fencing number. */
  readonly checksFencing: boolean;
  /** Set by the operator to take the target out of service: no new work, running work ends. */
  readonly withdrawn: boolean;
}

/** A model, optionally with an adapter, at a version that the service's engines must hold. */
export interface ModelSpec {
  readonly name: string;
  readonly version: string;
  readonly adapters: readonly string[];
  /** Size of the weights, for planning loads within the weight store's rate. */
  readonly sizeMb: number;
}

/** Calls of a plain service that begin with this path. The longest matching prefix decides. */
export interface CallSpec {
  readonly pathPrefix: string;
  /** False: the request runs at most once, whatever fails. */
  readonly repeatable: boolean;
}

/** Latency goals that make an answer count as goodput. */
export interface GoalsSpec {
  readonly firstTokenMs: number;
  /** 95 in 100 gaps between tokens are within this. */
  readonly interTokenMs: number;
}

/** One service: its targets and the promises it is run under. */
export interface ServiceSpec {
  readonly name: string;
  readonly kind: TargetKind;
  /** Services that must be ready for this one to be ready; acyclic. */
  readonly dependsOn: readonly string[];
  readonly models: readonly ModelSpec[];
  readonly calls: readonly CallSpec[];
  readonly targets: readonly TargetSpec[];
  readonly goals: GoalsSpec;
  /** The least number of targets that planned changes leave serving. */
  readonly floorTargets: number;
  /** Whether the planner may change roles of this service's engines. */
  readonly rolesMayChange: boolean;
  /** Lower is shed first under overload. */
  readonly priority: number;
  /** The longest a request may take before it is given up, in milliseconds. */
  readonly deadlineMs: number;
  /** Share of requests, 0 to 1, that may be retried or hedged on top of first tries. */
  readonly retryBudgetRatio: number;
}

/** One paying workspace: who it is and what share of the fleet it may claim under contention. */
export interface WorkspaceSpec {
  readonly name: string;
  /** Weight in the fair shares; relative to the other workspaces. */
  readonly share: number;
  /** Hex SHA-256 digests of the API keys that belong to the workspace. */
  readonly apiKeySha256: readonly string[];
  /** Upper bound on tokens a second, or null for no bound beyond the fair share. */
  readonly maxTokensPerS: number | null;
}

/** Bounds that hold for the whole deployment. */
export interface LimitsSpec {
  /** How long a finished answer is kept for a caller that returns late. */
  readonly answerRetentionMs: number;
  readonly maxPromptTokens: number;
  readonly maxOutputTokens: number;
  readonly maxBodyBytes: number;
  /** How long a shutting down process waits for running requests. */
  readonly drainMs: number;
}

/** Everything the operators say, compiled and checked. */
export interface Configuration {
  readonly services: readonly ServiceSpec[];
  readonly workspaces: readonly WorkspaceSpec[];
  readonly limits: LimitsSpec;
}

/** The document as it is stored under one key of the key-value service. */
export interface ConfigurationDocument {
  /** 1 for the first accepted edit, then one more for each; never goes back. */
  readonly version: number;
  /** Unique per edit, made by the command line, so that a resent edit recognises itself. */
  readonly editId: string;
  /** The operators' text as they wrote it. */
  readonly text: string;
  readonly compiled: Configuration;
  /** Wall clock of the editor, for the history only. */
  readonly editedAtMs: number;
  readonly editedBy: string;
}
