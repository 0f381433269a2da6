/** Prefill times that are learned from engines faster than the one that is assumed at first. */
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import {
  type Decision,
  DecisionKind,
  EnginePhase,
  SCHEDULER_OPTIONS,
  createScheduler,
  seededRandom,
  submitJob,
  syncEngines,
  tickScheduler,
} from '../../../src/index.js';
import { SPEC, engine, job, reportPrefilled } from '../../fixtures/scheduling.js';

const TOKENS_PER_MS = 157;
const STEP_MS = 4;
/** Calls, reports and answers travel while the engine works on other prompts. */
const LATENCY_MS = 70;
/** Reports are sent in batches. */
const REPORT_DELAY_MS = 20;
const PROMPT_TOKENS = [900, 2900, 4900] as const;
const MEAN_PROMPT_TOKENS = 2900;
const ENGINES = 28;
const DURATION_MS = 10_000;
const TICK_MS = 5;

const occupancyMs = (tokens: number): number => STEP_MS + tokens / TOKENS_PER_MS;

interface Prefill {
  readonly id: string;
  readonly target: string;
  readonly endsAtMs: number;
}

/** Plays a steady load of equal prompts; returns how many came and how many were served in time. */
function play(loadRatio: number, aimMs: number) {
  const scheduler = createScheduler(SCHEDULER_OPTIONS);
  const readers = Array.from({ length: ENGINES }, (_, index) =>
    engine(`reader-${String(index)}`, EnginePhase.Prefill),
  );
  syncEngines(scheduler, [...readers, engine('streamer', EnginePhase.Decode)], SPEC);
  const random = seededRandom(1);
  const arrivalMs = occupancyMs(MEAN_PROMPT_TOKENS) / ENGINES / loadRatio;
  const freeAtMs = new Map<string, number>();
  const arrivedAtMs = new Map<string, number>();
  let running: Prefill[] = [];
  let inTime = 0;
  const run = (decisions: readonly Decision[], nowMs: number): void => {
    for (const decision of decisions) {
      if (decision.kind !== DecisionKind.Run) continue;
      const { readAt: target, missingTokens } = decision.plan;
      const startsAtMs = Math.max(freeAtMs.get(target) ?? 0, nowMs + LATENCY_MS / 2);
      const readAtMs = startsAtMs + occupancyMs(missingTokens);
      freeAtMs.set(target, readAtMs);
      const reportedAtMs = readAtMs + LATENCY_MS / 2 + random() * REPORT_DELAY_MS;
      running.push({ id: decision.jobId, target, endsAtMs: reportedAtMs });
    }
  };
  let nextArrivalMs = 0;
  for (let nowMs = 0; nowMs < DURATION_MS; nowMs += TICK_MS) {
    for (; nextArrivalMs <= nowMs; nextArrivalMs += arrivalMs) {
      const tokens = PROMPT_TOKENS[Math.floor(random() * PROMPT_TOKENS.length)] ?? 0;
      const parts = [{ id: `own-${String(nextArrivalMs)}`, tokens }];
      const next = job('-', 1, { parts, aimAtMs: nowMs + aimMs, deadlineAtMs: nowMs + 3000 });
      arrivedAtMs.set(next.id, nowMs);
      run(submitJob(scheduler, next, nowMs), nowMs);
    }
    const ended = running.filter(({ endsAtMs }) => endsAtMs <= nowMs);
    running = running.filter(({ endsAtMs }) => endsAtMs > nowMs);
    for (const { id, target } of ended) {
      if (nowMs - (arrivedAtMs.get(id) ?? 0) <= aimMs) inTime += 1;
      run(reportPrefilled(scheduler, id, target, nowMs), nowMs);
    }
    for (const waiting of scheduler.queuedJobs.values()) waiting.lastPolledAtMs = nowMs;
    run(tickScheduler(scheduler, nowMs), nowMs);
  }
  return { arrived: arrivedAtMs.size, inTime };
}

describe('engines that prefill faster than the assumed type', () => {
  // The latency of calls and reports counted as time for which the engine is occupied: fast engines
  // were given one prompt at a time, stood idle for most of the time, and callers were refused.
  it('serve nine of ten prompts in time at 80 in 100 of what they can prefill', () => {
    const { arrived, inTime } = play(0.8, 250);
    assert.ok(inTime >= 0.9 * arrived, `${String(inTime)} of ${String(arrived)} in time`);
  });

  // The queue grew without a bound when more was given to engines than they can prefill.
  it('still serve most of what they can at twice the load', () => {
    const { arrived, inTime } = play(2, 250);
    assert.ok(inTime >= 0.8 * (arrived / 2), `${String(inTime)} of ${String(arrived)} in time`);
  });
});
