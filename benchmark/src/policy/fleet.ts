/** The fleet of a run: fake engines, entries with their own routers, and the reports between. */
import {
  createAdmission,
  createDemandMeter,
  createRouter,
  DEFAULT_ADMISSION_OPTIONS,
  DEFAULT_ENGINE_PROFILE,
  DEFAULT_ROUTER_OPTIONS,
  EngineRole,
  recordCacheEvent,
  applyLoadReport,
  updateTargets,
  seededRandom,
  takeDemandReport,
  wantsReports,
} from '@cassiamast/coordination';
import { CacheChange } from '@cassiamast/coordination';
import type {
  CacheEvent,
  DemandReport,
  Hash32,
  LoadReport,
  Random,
  TargetInfo,
} from '@cassiamast/coordination';
import { createFakeEngine, isAccepting, readLoad } from '../fake-engine/fake-engine.js';
import type { FakeEngine } from '../fake-engine/fake-engine.js';
import { createVirtualClock, schedule } from '../fake-engine/virtual-clock.js';
import type { VirtualClock } from '../fake-engine/virtual-clock.js';
import { BLOCK_TOKENS } from './generate.js';
import type { LiveRequest } from './live-request.js';
import type { Entry, Policy } from './policy.js';
import { createStatistics, INTER_TOKEN_GOAL_MS } from './statistics.js';
import type { Statistics } from './statistics.js';
import type { ServiceTrace } from './trace.js';

/** A run in progress. */
export interface Fleet {
  readonly trace: ServiceTrace;
  readonly policy: Policy;
  readonly clock: VirtualClock;
  readonly random: Random;
  readonly engines: readonly FakeEngine[];
  readonly byName: ReadonlyMap<string, FakeEngine>;
  readonly entries: readonly Entry[];
  readonly statistics: Statistics;
  /** Latest reports at the planner, by target. */
  readonly plannerReports: Map<string, LoadReport>;
  /** Latest demand at the planner, by entry. */
  readonly plannerDemand: Map<string, DemandReport>;
  /** Cache events sent per engine. */
  readonly cacheSequences: number[];
}

/** Failure domains of both deployments. */
const DOMAINS = ['a', 'b', 'c'];

/** One way between failure domains, in milliseconds. */
export const HOP_MS = 1;

/** Makes the fleet of a run, with its first reports due. */
export function createFleet(
  trace: ServiceTrace,
  policy: Policy,
  hash32: Hash32,
  seed: number,
): Fleet {
  const clock = createVirtualClock();
  const random = seededRandom(seed);
  const statistics = createStatistics(trace.durationMs);
  const readers = policy.initialReaders ?? trace.initialReaders;
  const engines = Array.from({ length: trace.engines }, (_, index) =>
    createFakeEngine({
      name: `target-${String(index)}`,
      failureDomain: domainOf(index),
      profile: DEFAULT_ENGINE_PROFILE,
      clock,
      random,
      slowStepMs: INTER_TOKEN_GOAL_MS,
      observeStep: (stepMs, sequences) => {
        statistics.interToken.recordValueWithCount(Math.round(stepMs), sequences);
      },
      role: index < readers ? EngineRole.Prefill : EngineRole.Decode,
      blockTokens: BLOCK_TOKENS,
    }),
  );
  const entries = Array.from({ length: trace.entries }, (_, index) =>
    createEntry(trace, policy, hash32, index, seed),
  );
  return {
    trace,
    policy,
    clock,
    random,
    engines,
    byName: new Map(engines.map((engine) => [engine.name, engine])),
    entries,
    statistics,
    plannerReports: new Map(),
    plannerDemand: new Map(),
    cacheSequences: engines.map(() => -1),
  };
}

function domainOf(index: number): string {
  return DOMAINS[index % DOMAINS.length] ?? 'a';
}

function createEntry(
  trace: ServiceTrace,
  policy: Policy,
  hash32: Hash32,
  index: number,
  seed: number,
): Entry {
  const name = `entry-${String(index)}`;
  const domain = domainOf(index);
  return {
    index,
    router: createRouter({
      ...DEFAULT_ROUTER_OPTIONS,
      entry: name,
      profile: DEFAULT_ENGINE_PROFILE,
      hash32,
      latencyMs: (failureDomain) => (failureDomain === domain ? 0.2 : HOP_MS),
      peerFactor: peersPerTarget(trace),
      ...policy.routerOptions,
    }),
    admission: createAdmission<LiveRequest>({
      service: trace.service,
      ...DEFAULT_ADMISSION_OPTIONS,
    }),
    meter: createDemandMeter(name, DEFAULT_ENGINE_PROFILE, INTER_TOKEN_GOAL_MS, 0),
    random: seededRandom(seed * 31 + index + 1),
    turn: index,
    pumpScheduled: false,
  };
}

/** Entries that use the same target, as each can work it out from the numbers of both. */
function peersPerTarget(trace: ServiceTrace): number {
  const part = Math.min(1, DEFAULT_ROUTER_OPTIONS.subsetTargets / trace.engines);
  return Math.max(1, trace.entries * part);
}

/** Targets as the membership shows them now. */
export function targetInfos(fleet: Fleet): readonly TargetInfo[] {
  return fleet.engines.map((engine) => ({
    name: engine.name,
    failureDomain: engine.failureDomain,
    role: engine.role,
    accepting: isAccepting(engine),
  }));
}

/** Tells all entries at once which targets there are; membership takes a few seconds at most. */
export function announceTargets(fleet: Fleet): void {
  const infos = targetInfos(fleet);
  for (const entry of fleet.entries) updateTargets(entry.router, infos);
}

/** Time in which a change of a target's state reaches the entries, apart from load reports. */
const GOSSIP_MS = 300;

/** A target says that it drains, changes or serves again: pushed, not left to the next report. */
export function announceEngine(fleet: Fleet, engine: FakeEngine, afterNews: () => void): void {
  const report = readLoad(engine);
  fleet.plannerReports.set(engine.name, report);
  schedule(fleet.clock, fleet.clock.nowMs + GOSSIP_MS, () => {
    for (const entry of fleet.entries) applyLoadReport(entry.router, report);
    afterNews();
  });
}

/** Part of the reports whose cache events are lost: the next ones show a gap. */
const CACHE_NEWS_LOSS = 0.02;

/** Starts the reports of all engines and entries, staggered over the interval. */
export function startReports(fleet: Fleet, onNews: (entry: Entry) => void): void {
  const { reportIntervalMs, durationMs } = fleet.trace;
  fleet.engines.forEach((engine, index) => {
    const tick = (): void => {
      if (engine.alive) sendReport(fleet, engine, index, onNews);
      if (fleet.clock.nowMs < durationMs) {
        schedule(fleet.clock, fleet.clock.nowMs + reportIntervalMs, tick);
      }
    };
    schedule(fleet.clock, (reportIntervalMs * index) / fleet.engines.length, tick);
  });
  for (const entry of fleet.entries) startDemandReports(fleet, entry);
}

function sendReport(
  fleet: Fleet,
  engine: FakeEngine,
  index: number,
  onNews: (entry: Entry) => void,
): void {
  const report = readLoad(engine);
  const news = takeCacheNews(fleet, engine, index);
  const lost = fleet.random() < CACHE_NEWS_LOSS;
  schedule(fleet.clock, fleet.clock.nowMs + fleet.trace.reportLagMs, () => {
    fleet.plannerReports.set(engine.name, report);
    for (const entry of fleet.entries) {
      if (!wantsReports(entry.router, engine.name, fleet.clock.nowMs)) continue;
      applyLoadReport(entry.router, report);
      if (!lost) for (const item of news) recordCacheEvent(entry.router, engine.name, item);
      onNews(entry);
    }
  });
}

function takeCacheNews(fleet: Fleet, engine: FakeEngine, index: number): readonly CacheEvent[] {
  const news: CacheEvent[] = [];
  const epoch = String(engine.epoch);
  const next = (): number => {
    const sequence = (fleet.cacheSequences[index] ?? -1) + 1;
    fleet.cacheSequences[index] = sequence;
    return sequence;
  };
  const { stored, evicted } = engine.cache;
  if (stored.length > 0) {
    news.push({ epoch, sequence: next(), change: CacheChange.Stored, blocks: stored });
  }
  if (evicted.length > 0) {
    news.push({ epoch, sequence: next(), change: CacheChange.Evicted, blocks: evicted });
  }
  engine.cache.stored = [];
  engine.cache.evicted = [];
  return news;
}

/** How often an entry tells the planner of its demand. */
const DEMAND_INTERVAL_MS = 1000;

function startDemandReports(fleet: Fleet, entry: Entry): void {
  const tick = (): void => {
    const report = takeDemandReport(entry.meter, fleet.clock.nowMs);
    schedule(fleet.clock, fleet.clock.nowMs + fleet.trace.reportLagMs, () => {
      fleet.plannerDemand.set(report.entry, report);
    });
    if (fleet.clock.nowMs < fleet.trace.durationMs) {
      schedule(fleet.clock, fleet.clock.nowMs + DEMAND_INTERVAL_MS, tick);
    }
  };
  schedule(fleet.clock, DEMAND_INTERVAL_MS, tick);
}
