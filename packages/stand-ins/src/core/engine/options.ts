/**
 * Capabilities and speed of an engine stand-in. The defaults match a small model on one accelerator;
 * tests use settings that are tens of times faster.
 */
import { EngineRole } from '@cassiamast/coordination';

/** Batching limits of a role. */
export interface RoleSpeed {
  /** Prompt tokens computed in one step, over all requests. */
  readonly prefillChunkTokens: number;
  /** Maximum number of requests in the batch. */
  readonly maxBatch: number;
}

/** A model that is loaded in the engine. */
export interface LoadedModel {
  readonly name: string;
  readonly version: string;
  readonly adapters: readonly string[];
}

/** Options of the engine stand-in; all but a few have defaults, see {@link DEFAULT_ENGINE}. */
export interface EngineOptions {
  readonly host: string;
  /** 0 selects any free port. */
  readonly port: number;
  readonly name: string;
  readonly role: EngineRole;
  /** Models loaded at startup, including after a restart. */
  readonly models: readonly LoadedModel[];
  readonly roleSpeeds: Readonly<Record<EngineRole, RoleSpeed>>;
  /** Duration of an empty step. */
  readonly stepBaseMs: number;
  /** Added for each decoding request. */
  readonly stepPerRequestMs: number;
  /** Added per thousand context tokens of the decoding requests. */
  readonly stepPerContextKtokenMs: number;
  readonly prefillTokensPerMs: number;
  readonly kvCapacityTokens: number;
  readonly maxWaiting: number;
  /** Number of tokens that a stream writes per event. */
  readonly tokensPerEvent: number;
  /** How long an ended stream can still be read. */
  readonly keepEndedMs: number;
  /** Maximum number of ended streams kept; the oldest is removed first. */
  readonly maxEnded: number;
  readonly loadReportEveryMs: number;
  /** Minimum age of the load report that is returned. */
  readonly loadReportLagMs: number;
  readonly cacheEventLagMs: number;
  /** Every n-th cache event is lost, where n is this value; 0 loses none. */
  readonly cacheEventGapEvery: number;
  readonly checksFencing: boolean;
  /** Whether a restart loses the highest fencing token seen. */
  readonly forgetsFenceOnRestart: boolean;
  readonly roleChangeMs: number;
  /** Base address of the weight store, or null to load in `loadMs`. */
  readonly weightStore: string | null;
  readonly modelSizeMb: number;
  readonly loadMs: number;
  readonly kvTransferTokensPerMs: number;
  /** A prompt with this text crashes the engine, after `crashAfterTokens` tokens of its answer. */
  readonly crashMarker: string;
  readonly crashAfterTokens: number;
  readonly restartMs: number;
  /** If not empty, this engine computes different answers than other engines. */
  readonly answerVariant: string;
}

/** Default options of the engine stand-in. */
export const DEFAULT_ENGINE: EngineOptions = {
  host: '127.0.0.1',
  port: 0,
  name: 'engine',
  role: EngineRole.Mixed,
  models: [{ name: 'stand-in', version: '1', adapters: [] }],
  roleSpeeds: {
    [EngineRole.Prefill]: { prefillChunkTokens: 8_192, maxBatch: 16 },
    [EngineRole.Decode]: { prefillChunkTokens: 256, maxBatch: 128 },
    [EngineRole.Mixed]: { prefillChunkTokens: 2_048, maxBatch: 64 },
  },
  stepBaseMs: 8,
  stepPerRequestMs: 0.15,
  stepPerContextKtokenMs: 0.05,
  prefillTokensPerMs: 20,
  kvCapacityTokens: 400_000,
  maxWaiting: 512,
  tokensPerEvent: 1,
  keepEndedMs: 30_000,
  maxEnded: 4_096,
  loadReportEveryMs: 100,
  loadReportLagMs: 300,
  cacheEventLagMs: 200,
  cacheEventGapEvery: 0,
  checksFencing: true,
  forgetsFenceOnRestart: true,
  roleChangeMs: 2_000,
  weightStore: null,
  modelSizeMb: 1_000,
  loadMs: 1_000,
  kvTransferTokensPerMs: 200,
  crashMarker: 'CRASH-THE-ENGINE',
  crashAfterTokens: 3,
  restartMs: 1_500,
  answerVariant: '',
};
