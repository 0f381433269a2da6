/**
 * A fake engine on a virtual clock, for measuring policy. It batches continuously: each step gives
 * every running answer one token and reads a bounded chunk of waiting prompts; its length grows
 * with batch, context and chunk. It has KV memory, a prefix cache, roles and the time a change of
 * role takes, and it can crash. A step costs O(1), so that fleets of hundreds run fast.
 */
import { EngineRole, decodeStepMs } from '@cassiamast/coordination';
import type { EngineProfile, LoadReport, Random } from '@cassiamast/coordination';
import { cachedBlocks, clearBlocks, createPrefixCache, storeBlocks } from './prefix-cache.js';
import type { FakePrefixCache } from './prefix-cache.js';
import { schedule } from './virtual-clock.js';
import type { VirtualClock } from './virtual-clock.js';

/** Work for a fake engine. The engine changes the fields that are not read-only. */
export interface FakeJob {
  readonly blocks: readonly string[];
  /** Tokens to hold in KV memory: prompt and what has been written. */
  contextTokens: number;
  /** Tokens of the answer still to write. */
  leftTokens: number;
  /** Prompt tokens still to read here; set when the engine takes the job. */
  unreadTokens: number;
  /** Reads only: the job leaves with its KV cache when the prompt is read. */
  readonly readOnly: boolean;
  /** Steps of the engine when the answer joined its batch. */
  joinedStep: number;
  joinedSlowSteps: number;
  readonly onRead: (job: FakeJob) => void;
  /** The answer is whole; `slowGaps` of its gaps here were beyond the goal. */
  readonly onDone: (job: FakeJob, slowGaps: number) => void;
  /** The engine drains and the answer left with its KV cache. */
  readonly onMoved: (job: FakeJob, slowGaps: number) => void;
  /** The engine crashed or ran out of memory; the job has to start again elsewhere. */
  readonly onLost: (job: FakeJob, slowGaps: number) => void;
}

/** What an engine shows to the statistics: each step with its batch. */
export type StepObserver = (stepMs: number, sequences: number) => void;

/** A fake engine. */
export interface FakeEngine {
  readonly name: string;
  readonly failureDomain: string;
  readonly profile: EngineProfile;
  readonly clock: VirtualClock;
  readonly random: Random;
  /** Steps longer than this count as slow gaps. */
  readonly slowStepMs: number;
  readonly observeStep: StepObserver;
  readonly cache: FakePrefixCache;
  role: EngineRole;
  changingTo: EngineRole | null;
  alive: boolean;
  draining: boolean;
  epoch: number;
  sequence: number;
  waiting: FakeJob[];
  readonly running: Set<FakeJob>;
  /** Answers that end at a step, by the number of the step. */
  readonly endings: Map<number, FakeJob[]>;
  contextTokens: number;
  steps: number;
  slowSteps: number;
  stepping: boolean;
  stepEndsMs: number;
  lastStepMs: number;
  roleChanges: number;
  onIdle: (() => void) | null;
  /** Multiplies step times: 1 when healthy. */
  slowness: number;
}

/** What a fake engine is made with. */
export type FakeEngineOptions = Pick<
  FakeEngine,
  'name' | 'failureDomain' | 'profile' | 'clock' | 'random' | 'slowStepMs' | 'observeStep' | 'role'
> & { readonly blockTokens: number };

/** Makes an idle engine with a cold cache. */
export function createFakeEngine(options: FakeEngineOptions): FakeEngine {
  const { blockTokens, ...rest } = options;
  return {
    ...rest,
    cache: createPrefixCache(blockTokens),
    changingTo: null,
    alive: true,
    draining: false,
    epoch: 0,
    sequence: 0,
    waiting: [],
    running: new Set(),
    endings: new Map(),
    contextTokens: 0,
    steps: 0,
    slowSteps: 0,
    stepping: false,
    stepEndsMs: 0,
    lastStepMs: 0,
    roleChanges: 0,
    onIdle: null,
    slowness: 1,
  };
}

/** Whether the engine takes new work. */
export function isAccepting(engine: FakeEngine): boolean {
  return engine.alive && !engine.draining && engine.changingTo === null;
}

/** Gives the engine a prompt to read. */
export function submitPrompt(engine: FakeEngine, job: FakeJob): void {
  if (!engine.alive) {
    job.onLost(job, 0);
    return;
  }
  const held = cachedBlocks(engine.cache, job.blocks) * engine.cache.blockTokens;
  job.unreadTokens = Math.max(1, job.contextTokens - held);
  engine.waiting.push(job);
  startStep(engine);
}

/** Gives the engine an answer to write whose KV cache it has been handed. */
export function submitAnswer(engine: FakeEngine, job: FakeJob): void {
  if (!engine.alive) {
    job.onLost(job, 0);
    return;
  }
  job.unreadTokens = 0;
  engine.waiting.push(job);
  startStep(engine);
}

function figures(engine: FakeEngine): EngineProfile['roles'][EngineRole] {
  return engine.profile.roles[engine.role];
}

function startStep(engine: FakeEngine): void {
  if (engine.stepping || !engine.alive) return;
  const chunk = takeChunk(engine);
  if (chunk.readTokens === 0 && engine.running.size === 0) {
    engine.onIdle?.();
    return;
  }
  engine.stepping = true;
  const stepMs =
    (decodeStepMs(engine.profile, engine.role, engine.running.size, engine.contextTokens) +
      chunk.readTokens * figures(engine).prefillMsPerToken) *
    engine.slowness *
    noise(engine.random);
  const { epoch } = engine;
  engine.stepEndsMs = engine.clock.nowMs + stepMs;
  schedule(engine.clock, engine.stepEndsMs, () => {
    if (engine.epoch === epoch) endStep(engine, stepMs, chunk.read);
  });
}

/** Steps of real engines vary by some 5 in 100. */
const STEP_NOISE = 0.1;

function noise(random: Random): number {
  return 1 + (random() - 0.5) * STEP_NOISE;
}

/** Share of KV memory that new answers may fill; the rest is for those running to grow. */
const JOIN_SHARE = 0.95;

interface Chunk {
  readonly readTokens: number;
  /** Jobs whose prompt is read when the step ends. */
  readonly read: readonly FakeJob[];
}

/** Takes waiting jobs in order, up to the chunk of the role and the memory. */
function takeChunk(engine: FakeEngine): Chunk {
  const { chunkTokens, maxBatch, kvCapacityTokens } = figures(engine);
  let readTokens = 0;
  let heldTokens = engine.contextTokens;
  let batch = engine.running.size;
  const read: FakeJob[] = [];
  let at = 0;
  for (; at < engine.waiting.length; at += 1) {
    const job = engine.waiting[at];
    if (job === undefined) break;
    const joins = !job.readOnly;
    const fits = heldTokens + job.contextTokens <= kvCapacityTokens * JOIN_SHARE;
    if (joins && (batch >= maxBatch || (!fits && batch > 0))) break;
    const share = Math.min(job.unreadTokens, chunkTokens - readTokens);
    job.unreadTokens -= share;
    readTokens += share;
    if (job.unreadTokens > 0) break;
    if (joins) {
      batch += 1;
      heldTokens += job.contextTokens;
      if (share === 0) join(engine, job);
      else read.push(job);
    } else read.push(job);
  }
  if (at > 0) engine.waiting.splice(0, at);
  return { readTokens, read };
}

function join(engine: FakeEngine, job: FakeJob): void {
  engine.running.add(job);
  engine.contextTokens += job.contextTokens;
  job.joinedStep = engine.steps;
  job.joinedSlowSteps = engine.slowSteps;
  const endStepNumber = engine.steps + Math.max(1, job.leftTokens);
  const ending = engine.endings.get(endStepNumber);
  if (ending === undefined) engine.endings.set(endStepNumber, [job]);
  else ending.push(job);
}

function endStep(engine: FakeEngine, stepMs: number, read: readonly FakeJob[]): void {
  engine.stepping = false;
  engine.lastStepMs = stepMs;
  engine.steps += 1;
  if (stepMs > engine.slowStepMs) engine.slowSteps += 1;
  engine.contextTokens += engine.running.size;
  if (engine.running.size > 0) engine.observeStep(stepMs, engine.running.size);
  const ending = engine.endings.get(engine.steps);
  if (ending !== undefined) {
    engine.endings.delete(engine.steps);
    for (const job of ending) if (engine.running.has(job)) finish(engine, job);
  }
  for (const job of read) endRead(engine, job);
  preemptBeyondMemory(engine);
  startStep(engine);
}

function slowGapsOf(engine: FakeEngine, job: FakeJob): number {
  return engine.slowSteps - job.joinedSlowSteps;
}

function settle(engine: FakeEngine, job: FakeJob): void {
  const written = engine.steps - job.joinedStep;
  job.contextTokens += written;
  job.leftTokens -= written;
  engine.contextTokens -= job.contextTokens;
  engine.running.delete(job);
}

function finish(engine: FakeEngine, job: FakeJob): void {
  settle(engine, job);
  job.onDone(job, slowGapsOf(engine, job));
}

function endRead(engine: FakeEngine, job: FakeJob): void {
  const free = figures(engine).kvCapacityTokens - engine.contextTokens;
  storeBlocks(engine.cache, job.blocks, free);
  job.contextTokens += 1;
  job.leftTokens -= 1;
  job.onRead(job);
  if (job.readOnly) return;
  if (job.leftTokens <= 0) job.onDone(job, 0);
  else join(engine, job);
}

/** Out of KV memory the newest answers give way and have their context read again later. */
function preemptBeyondMemory(engine: FakeEngine): void {
  const { kvCapacityTokens } = figures(engine);
  while (engine.contextTokens > kvCapacityTokens && engine.running.size > 1) {
    const newest = [...engine.running].at(-1);
    if (newest === undefined) return;
    const slowGaps = slowGapsOf(engine, newest) + 1;
    settle(engine, newest);
    newest.onLost(newest, slowGaps);
  }
}

/** Orders a change of role: drains, is away for the time of a change, serves on. */
export function changeRole(engine: FakeEngine, role: EngineRole, onDone: () => void): void {
  if (!isAccepting(engine) || engine.role === role) return;
  engine.changingTo = role;
  engine.roleChanges += 1;
  const { epoch } = engine;
  engine.onIdle = () => {
    engine.onIdle = null;
    schedule(engine.clock, engine.clock.nowMs + engine.profile.roleChangeMs, () => {
      if (engine.epoch !== epoch) return;
      engine.role = role;
      engine.changingTo = null;
      clearBlocks(engine.cache);
      engine.epoch += 1;
      onDone();
    });
  };
  startStep(engine);
}

/**
 * Hands the newest answer of a draining engine out with its KV cache. Gives false when there is
 * none left to move.
 */
export function moveOne(engine: FakeEngine, mayMove: (job: FakeJob) => boolean): boolean {
  if (!engine.alive) return false;
  for (const job of engine.running) {
    if (!mayMove(job)) continue;
    const slowGaps = slowGapsOf(engine, job);
    settle(engine, job);
    job.onMoved(job, slowGaps);
    return true;
  }
  return false;
}

/** Crashes the engine; all its jobs are lost. It comes back by {@link restart}. */
export function crash(engine: FakeEngine): void {
  engine.alive = false;
  engine.epoch += 1;
  engine.stepping = false;
  engine.changingTo = null;
  engine.onIdle = null;
  clearBlocks(engine.cache);
  const running = [...engine.running];
  const waiting = engine.waiting;
  engine.waiting = [];
  engine.endings.clear();
  for (const job of running) {
    const slowGaps = slowGapsOf(engine, job) + 1;
    settle(engine, job);
    job.onLost(job, slowGaps);
  }
  for (const job of waiting) job.onLost(job, 0);
}

/** Starts a crashed engine again, with its last role and a cold cache. */
export function restart(engine: FakeEngine): void {
  engine.alive = true;
  engine.epoch += 1;
  engine.sequence = 0;
  engine.contextTokens = 0;
}

/** Reads the load as the sidecar would report it now. */
export function readLoad(engine: FakeEngine): LoadReport {
  engine.sequence += 1;
  let waitingPrefillTokens = 0;
  for (const job of engine.waiting) waitingPrefillTokens += job.unreadTokens;
  return {
    target: engine.name,
    atMs: engine.clock.nowMs,
    sequence: engine.sequence,
    epoch: String(engine.epoch),
    role: engine.role,
    accepting: isAccepting(engine),
    runningRequests: engine.running.size,
    waitingRequests: engine.waiting.length,
    waitingPrefillTokens,
    runningContextTokens: engine.contextTokens,
    kvUsedTokens: engine.contextTokens,
    kvCapacityTokens: figures(engine).kvCapacityTokens,
    stepMs: engine.lastStepMs,
  };
}

/** Time until the prompts that wait now are read, as the sidecar works it out. */
export function queueAheadMs(engine: FakeEngine): number {
  let unread = 0;
  for (const job of engine.waiting) unread += job.unreadTokens;
  const restMs = engine.stepping ? engine.stepEndsMs - engine.clock.nowMs : 0;
  return unread * tokenMs(engine) + restMs;
}

/** Time to read a prompt here when nothing waits. */
export function readTimeMs(engine: FakeEngine, job: ReadableJob): number {
  const held = cachedBlocks(engine.cache, job.trace.blocks) * engine.cache.blockTokens;
  return Math.max(1, job.contextTokens - held) * tokenMs(engine);
}

/** The part of a request that its reading time depends on. */
export interface ReadableJob {
  readonly contextTokens: number;
  readonly trace: { readonly blocks: readonly string[] };
}

function tokenMs(engine: FakeEngine): number {
  const { chunkTokens, prefillMsPerToken } = figures(engine);
  const { size } = engine.running;
  const stepMs = decodeStepMs(engine.profile, engine.role, size, engine.contextTokens);
  return prefillMsPerToken + stepMs / chunkTokens;
}
