/**
 * What an engine stand-in can do and how fast. The defaults are those of a small model on one
 * accelerator; tests make them tens of times faster.
 */
import { EngineRole } from '@cassiamast/coordination';

/** How a role batches. */
export interface RoleSpeed {
  /** Prompt tokens computed in one step, over all requests. */
  readonly prefillChunkTokens: number;
  /** Most requests in the batch. */
  readonly maxBatch: number;
}

/** A model that the engine holds. */
export interface HeldModel {
  readonly name: string;
  readonly version: string;
  readonly adapters: readonly string[];
}

/** Options of the engine stand-in; all but a few have defaults, see {@link DEFAULT_ENGINE}. */
export interface EngineOptions {
  readonly host: string;
  /** 0 takes any free port. */
  readonly port: number;
  readonly name: string;
  readonly role: EngineRole;
  /** Models held from the start, also after a restart. */
  readonly models: readonly HeldModel[];
  readonly roleSpeeds: Readonly<Record<EngineRole, RoleSpeed>>;
  /** Time of an empty step. */
  readonly stepBaseMs: number;
  /** Added for each request that generates. */
  readonly stepPerRequestMs: number;
  /** Added for each thousand tokens of context of those requests. */
  readonly stepPerContextKtokenMs: number;
  readonly prefillTokensPerMs: number;
  readonly kvCapacityTokens: number;
  readonly maxWaiting: number;
  /** A stream writes its tokens out in groups of this many. */
  readonly tokensPerEvent: number;
  /** How long the end of a stream can be read again. */
  readonly keepEndedMs: number;
  /** Most ended streams kept; the oldest goes first. */
  readonly maxEnded: number;
  readonly loadReportEveryMs: number;
  /** Age of the load report that is told. */
  readonly loadReportLagMs: number;
  readonly cacheEventLagMs: number;
  /** Every so many-th cache event is lost; 0 for none. */
  readonly cacheEventGapEvery: number;
  readonly checksFencing: boolean;
  /** Whether a restarted engine has forgotten the highest fencing number it saw. */
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
  /** Not empty: this engine computes other answers than the rest. */
  readonly answerVariant: string;
}

/** The defaults. */
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
