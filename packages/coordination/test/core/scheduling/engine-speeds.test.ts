/** Tests that engines get work in proportion to their speed, on a virtual clock. */
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import {
  type Decision,
  DecisionKind,
  EnginePhase,
  type JobEvent,
  JobEventKind,
  SCHEDULER_OPTIONS,
  type Scheduler,
  type TargetEntry,
  createScheduler,
  handleJobEvents,
  submitJob,
  syncEngines,
  tickScheduler,
} from '../../../src/index.js';
import {
  createEngineSpeed,
  createServiceSpeeds,
  prefillModelOf,
  recordPrefillSpeed,
  refreshSpeed,
} from '../../../src/core/scheduling/engine-speeds.js';
import { predictPrefillMs, prefillLatencyMs } from '../../../src/core/scheduling/prefill-time.js';
import { SPEC, engine, job } from '../../fixtures/scheduling.js';

const SPEEDS = [0.6, 1, 1.6];
const OWN_TOKENS = 2000;
const TOKENS_PER_MS = 36;
const STREAM_MS = 200;
const DURATION_MS = 40_000;
const WARM_UP_MS = 10_000;

const IDS = SPEEDS.flatMap((speed) => [0, 1].map((index) => `${String(speed)}/${String(index)}`));
const READERS = IDS.map((id) => engine(`reader/${id}`, EnginePhase.Prefill));
const STREAMERS = IDS.map((id) => engine(`streamer/${id}`, EnginePhase.Decode));

/** Returns the speed in an engine's id. */
function speedOf(id: string): number {
  return Number(id.split('/')[1]);
}

/** Plays evenly spaced requests on engines of three speeds; returns how long each was busy. */
function play(scheduler: Scheduler, gapMs: number): ReadonlyMap<string, number> {
  const busyMs = new Map([...READERS, ...STREAMERS].map(({ id }) => [id, 0]));
  const freeAtMs = new Map<string, number>();
  const reports = new Map<number, JobEvent[]>();

  function reportAt(timeMs: number, jobId: string, target: string, kind: JobEventKind): void {
    const atMs = Math.ceil(timeMs);
    reports.set(atMs, [...(reports.get(atMs) ?? []), { kind, jobId, target }]);
  }

  function start(decisions: readonly Decision[], nowMs: number): void {
    for (const decision of decisions) {
      if (decision.kind !== DecisionKind.Run) continue;
      const { jobId, plan } = decision;
      const decodeAt = plan.streamAt ?? plan.readAt;
      const prefillMs = (22 + plan.missingTokens / TOKENS_PER_MS) / speedOf(plan.readAt);
      const streamMs = STREAM_MS / speedOf(decodeAt);
      const readAtMs = Math.max(nowMs, freeAtMs.get(plan.readAt) ?? 0) + prefillMs;
      freeAtMs.set(plan.readAt, readAtMs);
      reportAt(readAtMs, jobId, plan.readAt, JobEventKind.Read);
      reportAt(readAtMs + streamMs, jobId, decodeAt, JobEventKind.Served);
      if (nowMs < WARM_UP_MS) continue;
      busyMs.set(plan.readAt, (busyMs.get(plan.readAt) ?? 0) + prefillMs);
      busyMs.set(decodeAt, (busyMs.get(decodeAt) ?? 0) + streamMs);
    }
  }

  for (let nowMs = 0; nowMs < DURATION_MS; nowMs += 1) {
    start(handleJobEvents(scheduler, reports.get(nowMs) ?? [], nowMs), nowMs);
    reports.delete(nowMs);
    if (nowMs % gapMs === 0) {
      const { parts, ...rest } = job('unused', OWN_TOKENS, { aimAtMs: nowMs + 2000 });
      const next = { ...rest, parts: parts.slice(1), deadlineAtMs: nowMs + 5000 };
      start(submitJob(scheduler, next, nowMs), nowMs);
    }
    if (nowMs % 10 === 0) start(tickScheduler(scheduler, nowMs), nowMs);
  }
  return busyMs;
}

/** Returns the busy time of the busiest of some engines relative to their mean. */
function imbalance(busyMs: ReadonlyMap<string, number>, engines: readonly TargetEntry[]): number {
  const times = engines.map(({ id }) => busyMs.get(id) ?? 0);
  return (Math.max(...times) * times.length) / times.reduce((sum, ms) => sum + ms, 0);
}

describe('a scheduler of engines of three speeds', () => {
  for (const gapMs of [16, 25, 50]) {
    // An equal share keeps the slowest engines busy 2.7 times as long as the fastest ones.
    it(`keeps all prefill engines about equally busy, a request every ${String(gapMs)} ms`, () => {
      const scheduler = createScheduler({ ...SCHEDULER_OPTIONS, learnsSpeeds: true });
      syncEngines(scheduler, [...READERS, ...STREAMERS], SPEC);
      const busyMs = play(scheduler, gapMs);
      const [readers, streamers] = [imbalance(busyMs, READERS), imbalance(busyMs, STREAMERS)];
      const figures = `${readers.toFixed(2)} prefill, ${streamers.toFixed(2)} decode`;
      assert.ok(readers <= 1.3 && streamers <= 1.3, figures);
    });
  }

  // A stall of 0.8 s must not leave an engine idle after its end.
  it('does not count a stall of 0.8 s as a lower speed', () => {
    const service = createServiceSpeeds();
    const model = prefillModelOf(service, true, EnginePhase.Prefill);
    const speeds = Array.from({ length: 8 }, () => createEngineSpeed(service, true));
    const [stalled] = speeds;
    const isStalled = (nowMs: number): boolean => nowMs >= 20_000 && nowMs < 20_800;
    for (let nowMs = 0; nowMs < 24_000; nowMs += 50) {
      for (const speed of speeds) {
        const measuredMs = speed === stalled && isStalled(nowMs) ? 800 : 80;
        const sample = { tokens: OWN_TOKENS, durationMs: measuredMs, queuedMs: 0 };
        recordPrefillSpeed({ speed, prefillTimeModel: model }, sample, nowMs);
        refreshSpeed(speed, nowMs);
        const occupiedMs = speed.prefillSlowness * predictPrefillMs(model, OWN_TOKENS);
        const predictedMs = prefillLatencyMs(model) + occupiedMs;
        if (nowMs < 10_000 || isStalled(nowMs)) continue;
        assert.ok(Math.abs(predictedMs - 80) < 8, `${String(predictedMs)} at ${String(nowMs)}`);
      }
    }
  });
});
