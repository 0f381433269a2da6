/**
 * Speeds of the stand-ins in a laid out deployment: those of a 7B model on one accelerator, with
 * role changes and restarts of a second or two, so that a run of ten seconds shows them.
 */
import type { EngineOptions, PlainServiceOptions, WeightStoreOptions } from '@cassiamast/stand-ins';

/** Options given to every stand-in of a kind. */
export interface StandInTuning {
  readonly engine: Partial<EngineOptions>;
  readonly plainService: PlainServiceOptions;
  readonly weightStore: WeightStoreOptions;
}

/** The demo's speeds. */
export const DEFAULT_TUNING: StandInTuning = {
  engine: {
    stepBaseMs: 10,
    stepPerRequestMs: 0.2,
    stepPerContextKtokenMs: 0.05,
    prefillTokensPerMs: 40,
    roleChangeMs: 1_500,
    restartMs: 1_000,
    loadReportLagMs: 300,
    cacheEventLagMs: 200,
    cacheEventGapEvery: 50,
  },
  plainService: { runMs: 20 },
  weightStore: { rateMbPerS: 4_000, maxFetches: 2 },
};
