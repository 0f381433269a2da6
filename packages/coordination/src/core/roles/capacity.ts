/**
 * What a split of roles can serve: a fluid forecast of the share of requests that is answered
 * within the goals, for a demand given in engines. Soft means come first in it: what the readers
 * cannot read is lent to the writers at a higher price. The knees are fitted to the fake engine of
 * the benchmark; docs/design/roles.md shows the fit.
 */
import { EngineRole } from '../model/configuration.js';
import type { EngineProfile } from '../routing/engine-profile.js';
import type { DemandSample } from './demand.js';

/** A split of the serving engines. */
export interface RoleSplit {
  readonly readers: number;
  readonly writers: number;
}

/** Use of the readers up to which prompts are read within the goal; queues grow beyond. */
const READER_KNEE = 0.8;

/** Use of the writers up to which steps stay within the goal. */
const WRITER_KNEE = 0.9;

/** Share of the writers' time that may go to lent prompts before their steps become too long. */
const MAX_LENT_SHARE = 0.45;

/** Loss per part of use beyond nothing: breaks ties towards the split with more slack. */
const SLACK_PRICE = 0.02;

/** Share of requests served within the goals, 0 to 1. */
export function servedShare(
  profile: EngineProfile,
  split: RoleSplit,
  demand: Pick<DemandSample, 'prefillEngines' | 'decodeEngines'>,
): number {
  if (split.writers <= 0) return 0;
  const lendPrice =
    profile.roles[EngineRole.Decode].prefillMsPerToken /
    profile.roles[EngineRole.Prefill].prefillMsPerToken;
  const read = Math.min(demand.prefillEngines, split.readers * READER_KNEE);
  const lent = (demand.prefillEngines - read) * lendPrice;
  const mayLend = split.writers * MAX_LENT_SHARE;
  const servedPrompts =
    demand.prefillEngines <= 0
      ? 1
      : Math.min(1, (read + Math.min(lent, mayLend) / lendPrice) / demand.prefillEngines);
  const writerUse = (demand.decodeEngines + Math.min(lent, mayLend)) / split.writers;
  const servedAnswers = writerUse <= WRITER_KNEE ? 1 : WRITER_KNEE / writerUse;
  return Math.min(servedPrompts, servedAnswers) - SLACK_PRICE * Math.min(1.5, writerUse);
}
