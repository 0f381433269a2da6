/**
 * Demand for the two phases, as an entry meters it at arrival and as the planner adds it up. Work
 * is counted in engine time: how long one engine of the fitting role would be busy with it.
 */
import { EngineRole } from '../model/configuration.js';
import type { EngineProfile } from '../routing/engine-profile.js';

/** Demand that one entry saw over a span. */
export interface DemandReport {
  readonly entry: string;
  /** End of the span on the receiver's monotonic clock: time of arrival less stated age. */
  readonly atMs: number;
  /** Rises with each report. */
  readonly sequence: number;
  readonly spanMs: number;
  readonly requests: number;
  readonly prefillMs: number;
  /** What the prefix caches saved of it. */
  readonly savedMs: number;
  readonly decodeMs: number;
}

/** Counters of one entry. */
export interface DemandMeter {
  readonly entry: string;
  readonly profile: EngineProfile;
  readonly interTokenGoalMs: number;
  sequence: number;
  sinceMs: number;
  requests: number;
  prefillMs: number;
  savedMs: number;
  decodeMs: number;
}

/** Makes a meter that starts counting now. */
export function createDemandMeter(
  entry: string,
  profile: EngineProfile,
  interTokenGoalMs: number,
  nowMs: number,
): DemandMeter {
  return {
    entry,
    profile,
    interTokenGoalMs,
    sequence: 0,
    sinceMs: nowMs,
    requests: 0,
    prefillMs: 0,
    savedMs: 0,
    decodeMs: 0,
  };
}

/**
 * Engine time that writing an answer takes where steps are as long as the goal allows: the fixed
 * time of a step is then shared most widely. Shorter steps share it less and take more time.
 */
export function decodeWorkMs(
  profile: EngineProfile,
  interTokenGoalMs: number,
  promptTokens: number,
  outputTokens: number,
): number {
  const contextTokens = promptTokens + outputTokens / 2;
  const perTokenMs = profile.perSequenceMs + contextTokens * profile.perContextTokenMs;
  return (outputTokens * perTokenMs) / writerEfficiency(profile, interTokenGoalMs);
}

/** Part of a writer's time that is not the fixed time of its steps, when they are at the goal. */
export function writerEfficiency(profile: EngineProfile, interTokenGoalMs: number): number {
  return 1 - profile.roles[EngineRole.Decode].stepBaseMs / interTokenGoalMs;
}

/** Counts an arrival, also one that is refused: demand is what was wanted. */
export function noteArrival(
  meter: DemandMeter,
  arrival: {
    readonly promptTokens: number;
    readonly prefillTokens: number;
    readonly expectedOutputTokens: number;
  },
): void {
  meter.requests += 1;
  const perTokenMs = meter.profile.roles[EngineRole.Prefill].prefillMsPerToken;
  meter.prefillMs += arrival.prefillTokens * perTokenMs;
  meter.savedMs += (arrival.promptTokens - arrival.prefillTokens) * perTokenMs;
  meter.decodeMs += decodeWorkMs(
    meter.profile,
    meter.interTokenGoalMs,
    arrival.promptTokens,
    arrival.expectedOutputTokens,
  );
}

/** Reads the counters off and starts anew. */
export function takeDemandReport(meter: DemandMeter, nowMs: number): DemandReport {
  meter.sequence += 1;
  const report: DemandReport = {
    entry: meter.entry,
    atMs: nowMs,
    sequence: meter.sequence,
    spanMs: nowMs - meter.sinceMs,
    requests: meter.requests,
    prefillMs: meter.prefillMs,
    savedMs: meter.savedMs,
    decodeMs: meter.decodeMs,
  };
  meter.sinceMs = nowMs;
  meter.requests = 0;
  meter.prefillMs = 0;
  meter.savedMs = 0;
  meter.decodeMs = 0;
  return report;
}

/** Demand on a service over some seconds, in engines: milliseconds of work per millisecond. */
export interface DemandSample {
  readonly atMs: number;
  readonly requestsPerS: number;
  readonly prefillEngines: number;
  /** Readers that the prefix caches save. */
  readonly savedEngines: number;
  readonly decodeEngines: number;
}
