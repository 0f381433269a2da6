/**
 * What is known of how fast an engine works. Predictions of a router and forecasts of a planner
 * both come from these few slopes, which the operator measures once per kind of engine; reports
 * correct them while the system runs.
 */
import { EngineRole } from '../model/configuration.js';

/** Figures of an engine that depend on its role. */
export interface RoleProfile {
  /** Fixed time of one step, in milliseconds, however small the batch. */
  readonly stepBaseMs: number;
  /** Time of one prompt token inside a step, in milliseconds. */
  readonly prefillMsPerToken: number;
  /** Most prompt tokens that one step takes; 0 where the role reads no prompts. */
  readonly chunkTokens: number;
  /** Most answers that are written at once; 0 where the role writes none. */
  readonly maxBatch: number;
  /** KV cache memory, in tokens. */
  readonly kvCapacityTokens: number;
}

/** Figures of one kind of engine. */
export interface EngineProfile {
  readonly roles: Readonly<Record<EngineRole, RoleProfile>>;
  /** Added to a step by each answer in the batch, in milliseconds. */
  readonly perSequenceMs: number;
  /** Added to a step by each token of context in the batch, in milliseconds. */
  readonly perContextTokenMs: number;
  /** Fixed time to hand KV cache to another engine, in milliseconds. */
  readonly transferBaseMs: number;
  /** Time to hand over the KV cache of one token, in milliseconds. */
  readonly transferMsPerToken: number;
  /** How long a role change takes an engine away, after it has drained, in milliseconds. */
  readonly roleChangeMs: number;
}

/**
 * An engine of eight accelerators as the target size implies it: 3,150 tokens a second and 8
 * requests a second per server, 27 in 100 of the work being prefill.
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

/** Time of a step without prompt tokens for a batch of that size and context, in milliseconds. */
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

/** Time to hand the KV cache of that many tokens to another engine, in milliseconds. */
export function transferMs(profile: EngineProfile, tokens: number): number {
  return profile.transferBaseMs + tokens * profile.transferMsPerToken;
}
