/**
 * Plays a workload on a scheduler and simple engines, on a virtual clock: an engine reads one prompt
 * after the other, and a stream lasts as long as its tokens. Counts who was served in time, and what
 * deciding took of the processor.
 */
import {
  RequestedWork,
  type Decision,
  DecisionKind,
  EnginePhase,
  type Job,
  JobEventKind,
  LOAN_MS,
  type Plan,
  type RateLimiter,
  SCHEDULER_OPTIONS,
  type Scheduler,
  type SchedulerOptions,
  type TargetEntry,
  createRateLimiter,
  createScheduler,
  syncEngines,
  handleJobEvents,
  recordLimit,
  permitsOf,
  seededRandom,
  submitJob,
  tickScheduler,
} from '@cassiamast/coordination';
import { EventQueue } from '../control/event-queue.js';
import { DOMAINS, type WorkloadOptions, makeWorkload } from './workload.js';

/** Sheet of an engine of today's kind. */
const ENGINE_SPEC = {
  slots: 64,
  kvCapacityTokens: 428_000,
  kvTokenBytes: 18_432,
  linkMbps: 370_000,
  kvRetentionMs: 5000,
};
const READ_TOKENS_PER_MS = 36.7;
const READ_START_MS = 20;
const MS_PER_TOKEN = 12;
const FETCH_MS = 12;
/** A report crosses to the scheduler in that time, a grant to the engine too. */
const CROSSING_MS = 2;
const TICK_MS = 10;
/** An idle connection is closed after so long. */
const IDLE_CONNECTION_MS = 4000;
/** Part of the engines that make tokens. */
const DECODE_SHARE = 0.2;
const US_PER_MS = 1000;

/** What a play came to. */
export interface PlayFigures {
  readonly requests: number;
  readonly onTime: number;
  readonly late: number;
  /** Requests whose caller was refused, came back once and was refused again or too late. */
  readonly unserved: number;
  /** Processor time of the scheduler for each request, in microseconds. */
  readonly decideUsPerRequest: number;
  /** The longest single decision, in microseconds. */
  readonly longestDecisionUs: number;
  /** Most requests that waited at once. */
  readonly mostWaiting: number;
  /** Connections that gateways opened to engines. */
  readonly connections: number;
  /** Most requests in four seconds at an engine that named a limit, in parts of what it named. */
  readonly limitUsed: number;
  /** Ways between gateway, prefill and decode engine that cross failure domains, per request run. */
  readonly crossings: number;
}

/** Engines that name rate limits for the whole of a play. */
export interface PlayLimits {
  /** Part of the engines that make tokens; rounded up. */
  readonly share: number;
  readonly perS: number;
}

const NO_LIMITS: PlayLimits = { share: 0, perS: 0 };
const LIMIT_WINDOW_MS = 4000;
const MS_PER_S = 1000;

interface Play {
  readonly scheduler: Scheduler;
  readonly limiter: RateLimiter;
  /** When requests were sent to engines that named limits, by engine. */
  readonly sentAtMs: Map<string, number[]>;
  readonly queue: EventQueue;
  readonly freeAtMs: Map<string, number>;
  readonly jobs: Map<string, Job>;
  /** When the connection of a gateway to an engine was last used, by both. */
  readonly connectionUsedAtMs: Map<string, number>;
  onTime: number;
  late: number;
  unserved: number;
  spentUs: number;
  longestUs: number;
  mostWaiting: number;
  connections: number;
  crossings: number;
  runs: number;
}

/** Plays a workload to its end. */
export function playScheduling(
  options: WorkloadOptions,
  schedulerOptions: SchedulerOptions = SCHEDULER_OPTIONS,
  limits: PlayLimits = NO_LIMITS,
): PlayFigures {
  const queue = new EventQueue();
  const limiter = createRateLimiter(seededRandom(options.seed), -LOAN_MS);
  const permits = permitsOf(
    limiter,
    () => 1,
    () => queue.nowMs,
  );
  const scheduler = createScheduler(schedulerOptions, permits);
  const engines = makeEngines(options.engines);
  syncEngines(scheduler, engines, ENGINE_SPEC);
  const play: Play = {
    scheduler,
    limiter,
    sentAtMs: new Map(),
    queue,
    freeAtMs: new Map(),
    jobs: new Map(),
    connectionUsedAtMs: new Map(),
    onTime: 0,
    late: 0,
    unserved: 0,
    spentUs: 0,
    longestUs: 0,
    mostWaiting: 0,
    connections: 0,
    crossings: 0,
    runs: 0,
  };
  const arrivals = makeWorkload(options);
  for (const { atMs, job } of arrivals) {
    play.queue.at(atMs, () => {
      submit(play, job);
    });
  }
  scheduleTicks(play, options.durationMs);
  nameLimits(play, engines, limits, options.durationMs);
  play.queue.runUntil(options.durationMs + LINGER_MS);
  return {
    requests: arrivals.length,
    onTime: play.onTime,
    late: play.late,
    unserved: play.unserved,
    decideUsPerRequest: Math.round(play.spentUs / arrivals.length),
    longestDecisionUs: Math.round(play.longestUs),
    mostWaiting: play.mostWaiting,
    connections: play.connections,
    limitUsed: limitUsed(play, limits),
    crossings: Math.round((play.crossings / Math.max(1, play.runs)) * 100) / 100,
  };
}

/** Has some of the engines that make tokens name a limit again and again, as in their answers. */
function nameLimits(
  play: Play,
  engines: readonly TargetEntry[],
  { share, perS }: PlayLimits,
  durationMs: number,
): void {
  const decode = engines.filter(({ phase }) => phase === EnginePhase.Decode);
  for (const engine of decode.slice(0, Math.ceil(decode.length * share))) {
    play.sentAtMs.set(engine.id, []);
    for (let atMs = 0; atMs < durationMs; atMs += MS_PER_S) {
      play.queue.at(atMs, () => {
        const answer = {
          work: RequestedWork.Run,
          sentAtMs: atMs,
          origin: `${engine.id}/${String(atMs)}`,
        };
        recordLimit(play.limiter.limits, engine, perS, answer, atMs);
      });
    }
  }
}

function limitUsed({ sentAtMs }: Play, { perS }: PlayLimits): number {
  const most = [...sentAtMs.values()].flatMap((times) =>
    times.map((fromMs, first) => {
      const inWindow = times.slice(first).filter((atMs) => atMs < fromMs + LIMIT_WINDOW_MS);
      return inWindow.length;
    }),
  );
  return most.length === 0 ? 0 : (Math.max(...most) * MS_PER_S) / (perS * LIMIT_WINDOW_MS);
}

/** After the last arrival, until the last caller has left. */
const LINGER_MS = 8000;

function makeEngines(count: number): readonly TargetEntry[] {
  const decode = Math.ceil(count * DECODE_SHARE);
  return Array.from({ length: count }, (_, index) => ({
    id: `engine-${String(index)}`,
    name: `engine-${String(index)}`,
    bornAtMs: 0,
    version: 'v1',
    service: 'llm',
    address: `engine-${String(index)}:80`,
    failureDomain: `domain-${String(index % DOMAINS)}`,
    slots: ENGINE_SPEC.slots,
    draining: false,
    phase: index < decode ? EnginePhase.Decode : EnginePhase.Prefill,
  }));
}

function scheduleTicks(play: Play, durationMs: number): void {
  for (let atMs = TICK_MS; atMs < durationMs + LINGER_MS; atMs += TICK_MS) {
    play.queue.at(atMs, () => {
      decide(play, () => tickScheduler(play.scheduler, play.queue.nowMs));
    });
  }
}

function submit(play: Play, job: Job): void {
  play.jobs.set(job.id, job);
  decide(play, () => submitJob(play.scheduler, job, play.queue.nowMs));
  play.mostWaiting = Math.max(play.mostWaiting, play.scheduler.queuedJobs.size);
}

function decide(play: Play, make: () => readonly Decision[]): void {
  const startedNs = process.hrtime.bigint();
  const decisions = make();
  const spentUs = Number(process.hrtime.bigint() - startedNs) / US_PER_MS;
  play.spentUs += spentUs;
  play.longestUs = Math.max(play.longestUs, spentUs);
  for (const decision of decisions) take(play, decision);
}

function take(play: Play, decision: Decision): void {
  const job = play.jobs.get(decision.jobId);
  if (job === undefined) return;
  if (decision.kind === DecisionKind.Run) {
    run(play, job, decision.plan);
    return;
  }
  const backAtMs = play.queue.nowMs + decision.retryAfterMs;
  if (job.id.endsWith(RETURNED) || backAtMs >= job.deadlineAtMs) {
    play.unserved += 1;
    return;
  }
  // A caller comes back once, as a new attempt of the same request.
  play.queue.at(backAtMs, () => {
    submit(play, { ...job, id: `${job.id}${RETURNED}` });
  });
}

const RETURNED = '+';

/** Uses the connection of a gateway to an engine, opening one where the last one was closed idle. */
function connect(play: Play, job: Job, engineId: string): void {
  const key = `${job.gateway}/${engineId}`;
  const now = play.queue.nowMs;
  const usedAtMs = play.connectionUsedAtMs.get(key) ?? -Infinity;
  if (now - usedAtMs >= IDLE_CONNECTION_MS) play.connections += 1;
  play.connectionUsedAtMs.set(key, now);
}

function run(play: Play, job: Job, plan: Plan): void {
  const { queue } = play;
  countCrossings(play, job, plan);
  connect(play, job, plan.readAt);
  if (plan.streamAt !== null) connect(play, job, plan.streamAt);
  play.sentAtMs.get(plan.streamAt ?? plan.readAt)?.push(queue.nowMs);
  const startAtMs = Math.max(queue.nowMs + CROSSING_MS, play.freeAtMs.get(plan.readAt) ?? 0);
  const fetchMs = plan.fetchFrom === null ? 0 : FETCH_MS;
  const readAtMs = startAtMs + READ_START_MS + fetchMs + plan.missingTokens / READ_TOKENS_PER_MS;
  play.freeAtMs.set(plan.readAt, readAtMs);
  const handoverMs = plan.streamAt === null ? 0 : FETCH_MS + CROSSING_MS;
  const firstEventAtMs = readAtMs + handoverMs;
  queue.at(readAtMs + CROSSING_MS, () => {
    report(play, job, JobEventKind.Read, plan.readAt);
  });
  queue.at(firstEventAtMs, () => {
    if (firstEventAtMs <= job.aimAtMs) play.onTime += 1;
    else if (firstEventAtMs <= job.deadlineAtMs) play.late += 1;
    else play.unserved += 1;
  });
  queue.at(firstEventAtMs + job.outputTokens * MS_PER_TOKEN + CROSSING_MS, () => {
    report(play, job, JobEventKind.Ended, plan.readAt);
  });
}

/** Counts the ways of a request that cross failure domains. */
function countCrossings(play: Play, { failureDomain }: Job, { readAt, streamAt }: Plan): void {
  const domainOf = (id: string): string =>
    play.scheduler.targets.get(id)?.entry.failureDomain ?? '';
  const decodeDomain = domainOf(streamAt ?? readAt);
  play.runs += 1;
  play.crossings += Number(domainOf(readAt) !== failureDomain);
  play.crossings += Number(decodeDomain !== failureDomain);
  play.crossings += Number(decodeDomain !== domainOf(readAt));
}

function report(play: Play, job: Job, kind: JobEventKind, target: string): void {
  const events = [{ kind, jobId: job.id, target }];
  decide(play, () => handleJobEvents(play.scheduler, events, play.queue.nowMs));
}
