/**
 * Measures the demand for prefill and decode: each entry counts it on arrival of a request, and the
 * planner sums it up. The unit is engine time: how long one engine of the matching role would be
 * busy with the work.
 */
import { EngineRole } from '../model/configuration.js';
import type { EngineProfile } from '../routing/engine-profile.js';

/** The demand that arrived at one entry during a time span. */
export interface DemandReport {
  readonly entry: string;
  /**
   * End of the span on the receiver's monotonic clock: arrival time of the report minus its age.
   */
  readonly atMs: number;
  /** Increases with each report. */
  readonly sequence: number;
  readonly spanMs: number;
  readonly requests: number;
  readonly prefillMs: number;
  /** Prefill time that prefix caches saved; not included in `prefillMs`. */
  readonly savedMs: number;
  readonly decodeMs: number;
}

/** The demand counters of one entry. */
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

/** Creates a meter that starts counting now. */
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
 * Returns the engine time that decoding an answer takes when steps are as long as the goal allows.
 * The fixed time of a step is then shared by the most sequences; shorter steps take more time per
 * token.
 */
export function decodeWorkMs(
  profile: EngineProfile,
  interTokenGoalMs: number,
  promptTokens: number,
  outputTokens: number,
): number {
  const contextTokens = promptTokens + outputTokens / 2;
  const perTokenMs = profile.perSequenceMs + contextTokens * profile.perContextTokenMs;
  return (outputTokens * perTokenMs) / decodeEfficiency(profile, interTokenGoalMs);
}

/** Returns the share of a decode step that is not its fixed time, for steps as long as the goal. */
export function decodeEfficiency(profile: EngineProfile, interTokenGoalMs: number): number {
  return 1 - profile.roles[EngineRole.Decode].stepBaseMs / interTokenGoalMs;
}

/**
 * Counts a request on arrival. Rejected requests count too, because they are part of the demand.
 */
export function recordArrival(
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

/** Returns a report of the counters and resets them. */
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

/** The demand on a service over a few seconds, in engines: milliseconds of work per millisecond. */
export interface DemandSample {
  readonly atMs: number;
  readonly requestsPerS: number;
  readonly prefillEngines: number;
  /** Prefill engines that are not needed because of the prefix caches. */
  readonly cachedPrefillEngines: number;
  readonly decodeEngines: number;
}
