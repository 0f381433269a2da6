/**
 * Performance model of an engine. The predictions of the router and the forecasts of the planner
 * are both computed from these few coefficients, which the operator measures once per kind of
 * engine. Load reports correct them at run time.
 */
import { EngineRole } from '../model/configuration.js';

/** Coefficients of an engine that depend on its role. */
export interface RoleProfile {
  /** Fixed time of one step in milliseconds, independent of the batch size. */
  readonly stepBaseMs: number;
  /** Time that each prompt token adds to a step, in milliseconds. */
  readonly prefillMsPerToken: number;
  /** Maximum prompt tokens per step; 0 if the role runs no prefill. */
  readonly chunkTokens: number;
  /** Maximum number of answers decoded at once; 0 if the role runs no decode. */
  readonly maxBatch: number;
  /** Capacity of the KV cache, in tokens. */
  readonly kvCapacityTokens: number;
}

/** Coefficients of one kind of engine. */
export interface EngineProfile {
  readonly roles: Readonly<Record<EngineRole, RoleProfile>>;
  /** Time that each answer in the batch adds to a step, in milliseconds. */
  readonly perSequenceMs: number;
  /** Time that each context token in the batch adds to a step, in milliseconds. */
  readonly perContextTokenMs: number;
  /** Fixed time of a KV cache transfer to another engine, in milliseconds. */
  readonly transferBaseMs: number;
  /** Time to transfer the KV cache of one token, in milliseconds. */
  readonly transferMsPerToken: number;
  /** How long an engine is unavailable during a role change, after draining, in milliseconds. */
  readonly roleChangeMs: number;
}

/**
 * Profile of an engine with eight accelerators, derived from the load of the planned deployment:
 * 3,150 tokens and 8 requests per second and server, with prefill as 27 % of the work.
 */
export const DEFAULT_ENGINE_PROFILE: EngineProfile = {
  roles: {
    [EngineRole.Prefill]: {
      stepBaseMs: 4,
      prefillMsPerToken: 0.025,
      chunkTokens: 2048,
      maxBatch: 0,
      kvCapacityTokens: 600_000,
    },
    [EngineRole.Decode]: {
      stepBaseMs: 16,
      prefillMsPerToken: 0.05,
      chunkTokens: 256,
      maxBatch: 384,
      kvCapacityTokens: 800_000,
    },
    [EngineRole.Mixed]: {
      stepBaseMs: 18,
      prefillMsPerToken: 0.045,
      chunkTokens: 768,
      maxBatch: 320,
      kvCapacityTokens: 700_000,
    },
  },
  perSequenceMs: 0.1,
  perContextTokenMs: 0.00005,
  transferBaseMs: 3,
  transferMsPerToken: 0.004,
  roleChangeMs: 6000,
};

/** Returns the time of a decode step for a batch of this size and context, in milliseconds. */
export function decodeStepMs(
  profile: EngineProfile,
  role: EngineRole,
  sequences: number,
  contextTokens: number,
): number {
  return (
    profile.roles[role].stepBaseMs +
    sequences * profile.perSequenceMs +
    contextTokens * profile.perContextTokenMs
  );
}

/** Returns the time to transfer the KV cache of `tokens` tokens, in milliseconds. */
export function transferMs(profile: EngineProfile, tokens: number): number {
  return profile.transferBaseMs + tokens * profile.transferMsPerToken;
}
