/** Counts an entry's answers per service: what operators watch and the benchmark sums up. */
import {
  type AnswerEnding,
  type DriveRequest,
  type GoalsSpec,
  type GoodputStatus,
  type MixStatus,
  RunState,
} from '@cassiamast/coordination';
import type { Telemetry } from '../node/telemetry.js';
import type { LatencyFigures } from './latency-watch.js';

interface ServiceFigures {
  answered: number;
  answeredWithinGoals: number;
  refusedNotRun: number;
  failed: number;
  outputTokens: number;
  promptTokens: number;
}

/** The figures of one entry. */
export interface EntryFigures {
  readonly answered: (
    request: DriveRequest,
    figures: LatencyFigures,
    ending: AnswerEnding,
    goals: GoalsSpec,
  ) => void;
  readonly refused: (request: DriveRequest, runState: RunState) => void;
  readonly goodput: (service: string) => GoodputStatus;
  readonly mix: (service: string) => MixStatus;
}

/** Starts counting. */
export function createEntryFigures(telemetry: Telemetry): EntryFigures {
  const services = new Map<string, ServiceFigures>();

  function of(service: string): ServiceFigures {
    const known = services.get(service);
    if (known !== undefined) return known;
    const made: ServiceFigures = {
      answered: 0,
      answeredWithinGoals: 0,
      refusedNotRun: 0,
      failed: 0,
      outputTokens: 0,
      promptTokens: 0,
    };
    services.set(service, made);
    return made;
  }

  return {
    answered: (request, latency, ending, goals) => {
      const figures = of(request.service);
      figures.answered += 1;
      figures.outputTokens += ending.outputTokens;
      figures.promptTokens += ending.promptTokens;
      telemetry.count('answers_total');
      if (latency.firstTokenMs !== null) telemetry.record('first_token_ms', latency.firstTokenMs);
      telemetry.record('inter_token_p95_ms', latency.interTokenP95Ms);
      const inTime =
        (latency.firstTokenMs ?? 0) <= goals.firstTokenMs &&
        latency.interTokenP95Ms <= goals.interTokenMs;
      if (!inTime) return;
      figures.answeredWithinGoals += 1;
      telemetry.count('answers_within_goals_total');
    },
    refused: (request, runState) => {
      const figures = of(request.service);
      const isNotRun = runState === RunState.NotRun;
      if (isNotRun) figures.refusedNotRun += 1;
      else figures.failed += 1;
      telemetry.count(isNotRun ? 'refused_not_run_total' : 'requests_failed_total');
    },
    goodput: (service) => {
      const { answered, answeredWithinGoals, refusedNotRun, failed, outputTokens } = of(service);
      return { answered, answeredWithinGoals, refusedNotRun, failed, outputTokens };
    },
    mix: (service) => {
      const { promptTokens, outputTokens } = of(service);
      return { windowMs: 0, promptTokens, outputTokens };
    },
  };
}
