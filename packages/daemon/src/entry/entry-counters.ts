/** Counts an entry's answers per service, for the operators' monitoring and the benchmark. */
import {
  type AnswerEnding,
  type CallerRequest,
  type GoalsSpec,
  type GoodputStatus,
  type MixStatus,
  RunState,
} from '@cassiamast/coordination';
import type { Telemetry } from '../node/telemetry.js';
import type { LatencyMeasurements } from './latency-meter.js';

interface ServiceCounters {
  answered: number;
  answeredWithinGoals: number;
  refusedNotRun: number;
  failed: number;
  outputTokens: number;
  promptTokens: number;
}

/** Counters of one entry. */
export interface EntryCounters {
  readonly answered: (
    request: CallerRequest,
    latency: LatencyMeasurements,
    ending: AnswerEnding,
    goals: GoalsSpec,
  ) => void;
  readonly refused: (request: CallerRequest, runState: RunState) => void;
  readonly goodput: (service: string) => GoodputStatus;
  readonly mix: (service: string) => MixStatus;
}

/** Creates counters that start at zero. */
export function createEntryCounters(telemetry: Telemetry): EntryCounters {
  const services = new Map<string, ServiceCounters>();

  function countersOf(service: string): ServiceCounters {
    const known = services.get(service);
    if (known !== undefined) return known;
    const counters: ServiceCounters = {
      answered: 0,
      answeredWithinGoals: 0,
      refusedNotRun: 0,
      failed: 0,
      outputTokens: 0,
      promptTokens: 0,
    };
    services.set(service, counters);
    return counters;
  }

  return {
    answered: (request, latency, ending, goals) => {
      const counters = countersOf(request.service);
      counters.answered += 1;
      counters.outputTokens += ending.outputTokens;
      counters.promptTokens += ending.promptTokens;
      telemetry.count('answers_total');
      if (latency.firstTokenMs !== null) telemetry.record('first_token_ms', latency.firstTokenMs);
      telemetry.record('inter_token_p95_ms', latency.interTokenP95Ms);
      const inTime =
        (latency.firstTokenMs ?? 0) <= goals.firstTokenMs &&
        latency.interTokenP95Ms <= goals.interTokenMs;
      if (!inTime) return;
      counters.answeredWithinGoals += 1;
      telemetry.count('answers_within_goals_total');
    },
    refused: (request, runState) => {
      const counters = countersOf(request.service);
      const isNotRun = runState === RunState.NotRun;
      if (isNotRun) counters.refusedNotRun += 1;
      else counters.failed += 1;
      telemetry.count(isNotRun ? 'refused_not_run_total' : 'requests_failed_total');
    },
    goodput: (service) => {
      const { answered, answeredWithinGoals, refusedNotRun, failed, outputTokens } =
        countersOf(service);
      return { answered, answeredWithinGoals, refusedNotRun, failed, outputTokens };
    },
    mix: (service) => {
      const { promptTokens, outputTokens } = countersOf(service);
      return { windowMs: 0, promptTokens, outputTokens };
    },
  };
}
