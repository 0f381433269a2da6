/**
 * The life of a request in a run: it arrives, waits in fair order, is sent as routing says, is read
 * and written by engines, and is sent again where an engine refuses or loses it.
 */
import {
  expectedOutputTokens,
  noExcludedTargets,
  isBorrowing,
  mayStart,
  recordArrival,
  recordDispatch,
  recordAnswerEnd,
  recordMigration,
  applyLoadReport,
  offer,
  pump,
  PumpResult,
  requestCostTokens,
  sidecarAccepts,
  requeueRefused,
  RouteKind,
  transferMs,
} from '@cassiamast/coordination';
import type { AdmissionRequest, RoutePlan, RouteRequest } from '@cassiamast/coordination';
import {
  isAccepting,
  queueAheadMs,
  readLoad,
  readTimeMs,
  submitAnswer,
  submitPrompt,
} from '../fake-engine/fake-engine.js';
import type { FakeEngine, FakeJob } from '../fake-engine/fake-engine.js';
import { schedule } from '../fake-engine/virtual-clock.js';
import { HOP_MS } from './fleet.js';
import type { Fleet } from './fleet.js';
import { liveRequest } from './live-request.js';
import type { LiveRequest } from './live-request.js';
import type { Entry } from './policy.js';
import { countAnswer, countRefusal, INTER_TOKEN_GOAL_MS, POINT_MS } from './statistics.js';
import type { TraceRequest } from './trace.js';

/** Outputs are bounded by the deployment's limit; callers seldom say less. */
const MAX_OUTPUT_TOKENS = 2000;

/** How often waiting requests are tried again. */
const PUMP_MS = 15;

/** Time after which a refusal or a crash is noticed at the entry. */
const CRASH_NOTICE_MS = 500;

/** A request reaches its entry. */
export function arrive(fleet: Fleet, trace: TraceRequest): void {
  const entry = fleet.entries[trace.entry];
  if (entry === undefined) return;
  const request = liveRequest(trace);
  meterArrival(fleet, entry, request);
  if (fleet.policy.startRule === null) {
    send(fleet, entry, request, true);
    return;
  }
  const asked = admissionRequest(fleet, entry, request);
  const refused = offer(entry.admission, asked, fleet.clock.nowMs);
  if (refused === null) pumpEntry(fleet, entry);
  else countRefusal(fleet.statistics, request);
}

function admissionRequest(
  fleet: Fleet,
  entry: Entry,
  request: LiveRequest,
): AdmissionRequest<LiveRequest> {
  const { trace } = request;
  const waitedMs = fleet.clock.nowMs - trace.atMs;
  return {
    workspace: trace.workspace,
    weight: 1,
    maxTokensPerS: null,
    costTokens: requestCostTokens(trace.promptTokens, expectedLength(entry, request)),
    maxWaitMs: fleet.policy.patienceMs - waitedMs,
    item: request,
  };
}

function expectedLength(entry: Entry, request: LiveRequest): number {
  const { workspace, promptTokens } = request.trace;
  return expectedOutputTokens(entry.router.lengths, workspace, promptTokens, MAX_OUTPUT_TOKENS);
}

function meterArrival(fleet: Fleet, entry: Entry, request: LiveRequest): void {
  const { trace } = request;
  const before = { prefillMs: entry.meter.prefillMs, decodeMs: entry.meter.decodeMs };
  recordArrival(entry.meter, {
    promptTokens: trace.promptTokens,
    prefillTokens: trace.promptTokens * entry.router.uncachedShare,
    expectedOutputTokens: expectedLength(entry, request),
  });
  const point = fleet.statistics.timeline[Math.floor(trace.atMs / POINT_MS)];
  if (point === undefined) return;
  const prefillMs = entry.meter.prefillMs - before.prefillMs;
  point.arrived += 1;
  point.prefillWorkMs += prefillMs;
  point.workMs += prefillMs + entry.meter.decodeMs - before.decodeMs;
}

/** Sends waiting requests of an entry on, and looks again soon where some still wait. */
export function pumpEntry(fleet: Fleet, entry: Entry): void {
  if (entry.admission.queue.heap.length === 0) return;
  const expired = pump(entry.admission, fleet.clock.nowMs, (request, waiting) => {
    request.place = waiting;
    return send(fleet, entry, request, false) ? PumpResult.Sent : PumpResult.Wait;
  });
  for (const { item } of expired) countRefusal(fleet.statistics, item);
  if (entry.admission.queue.heap.length === 0 || entry.pumpScheduled) return;
  entry.pumpScheduled = true;
  schedule(fleet.clock, fleet.clock.nowMs + PUMP_MS, () => {
    entry.pumpScheduled = false;
    pumpEntry(fleet, entry);
  });
}

function routeRequest(request: LiveRequest): RouteRequest {
  return {
    workspace: request.trace.workspace,
    promptTokens: request.contextTokens,
    prefixBlocks: request.trace.blocks,
    maxOutputTokens: Math.min(MAX_OUTPUT_TOKENS, request.leftTokens + MAX_OUTPUT_TOKENS),
    excluded: request.excluded,
  };
}

/** Sends a request where the policy says. False: not now. `force`: whatever the prediction. */
function send(fleet: Fleet, entry: Entry, request: LiveRequest, force: boolean): boolean {
  const nowMs = fleet.clock.nowMs;
  const asked = routeRequest(request);
  const decision = fleet.policy.chooseRoute(entry, asked, nowMs);
  if (decision.kind === RouteKind.None) {
    if (force) retryLater(fleet, entry, request);
    return false;
  }
  const rule = fleet.policy.startRule;
  const waitedMs = nowMs - request.trace.atMs;
  if (!force && rule !== null && !mayStart(rule, decision, waitedMs, borrows(entry, request)))
    return false;
  recordDispatch(entry.router, decision, asked, nowMs);
  schedule(fleet.clock, nowMs + HOP_MS, () => {
    read(fleet, entry, request, decision);
  });
  return true;
}

function borrows(entry: Entry, request: LiveRequest): boolean {
  return request.place !== null && isBorrowing(entry.admission.queue, request.place);
}

function retryLater(fleet: Fleet, entry: Entry, request: LiveRequest): void {
  request.excluded.clear();
  schedule(fleet.clock, fleet.clock.nowMs + CRASH_NOTICE_MS, () => {
    send(fleet, entry, request, true);
  });
}

/** The sidecar refuses, truly not run; its load comes with the refusal. */
function refuse(fleet: Fleet, entry: Entry, request: LiveRequest, engine: FakeEngine): void {
  schedule(fleet.clock, fleet.clock.nowMs + HOP_MS, () => {
    applyLoadReport(entry.router, readLoad(engine));
    const { place } = request;
    if (place === null || !Number.isNaN(request.firstTokenMs)) {
      request.excluded.add(engine.name);
      send(fleet, entry, request, true);
      return;
    }
    if (requeueRefused(entry.admission, place) === null) pumpEntry(fleet, entry);
    else countRefusal(fleet.statistics, request);
  });
}

/** Whether the sidecar refuses: it drains, or its own queue is too long by now. */
function isRefused(fleet: Fleet, request: LiveRequest, engine: FakeEngine): boolean {
  if (!isAccepting(engine)) return true;
  const rule = fleet.policy.startRule;
  if (rule === null || !Number.isNaN(request.firstTokenMs)) return false;
  const budgetMs = rule.firstTokenGoalMs - (fleet.clock.nowMs - request.trace.atMs) - HOP_MS;
  const aheadMs = queueAheadMs(engine);
  return !sidecarAccepts({ aheadMs }, readTimeMs(engine, request), budgetMs);
}

function read(fleet: Fleet, entry: Entry, request: LiveRequest, plan: RoutePlan): void {
  const engine = fleet.byName.get(plan.reader);
  if (engine === undefined) return;
  if (!engine.alive) {
    lose(fleet, entry, request, engine.name);
    return;
  }
  if (isRefused(fleet, request, engine)) {
    fleet.statistics.bounced += 1;
    refuse(fleet, entry, request, engine);
    return;
  }
  const split = plan.kind === RouteKind.Split;
  submitPrompt(engine, {
    ...newJob(fleet, entry, request, engine.name),
    readOnly: split,
    onRead: (job) => {
      noteFirstToken(fleet, request);
      sendLoadWithAnswer(fleet, entry, engine);
      request.contextTokens = job.contextTokens;
      request.leftTokens = job.leftTokens;
      if (split) handOver(fleet, entry, request, plan.writer);
    },
  });
}

/** An answer's first event carries the load of the engine, as old as its reports are. */
function sendLoadWithAnswer(fleet: Fleet, entry: Entry, engine: FakeEngine): void {
  const report = readLoad(engine);
  schedule(fleet.clock, fleet.clock.nowMs + fleet.trace.answerLoadLagMs, () => {
    applyLoadReport(entry.router, report);
  });
}

function newJob(
  fleet: Fleet,
  entry: Entry,
  request: LiveRequest,
  target: string,
): Omit<FakeJob, 'readOnly' | 'onRead'> {
  return {
    blocks: request.trace.blocks,
    contextTokens: request.contextTokens,
    leftTokens: request.leftTokens,
    unreadTokens: 0,
    joinedStep: 0,
    joinedSlowSteps: 0,
    onDone: (job, slowGaps) => {
      request.slowGaps += slowGaps;
      end(fleet, entry, request, target, job);
    },
    onMoved: (job, slowGaps) => {
      request.slowGaps += slowGaps;
      request.contextTokens = job.contextTokens;
      request.leftTokens = job.leftTokens;
      recordAnswerEnd(entry.router, endOf(request, target, false), fleet.clock.nowMs);
      moveOn(fleet, entry, request);
    },
    onLost: (job, slowGaps) => {
      request.slowGaps += slowGaps;
      request.contextTokens = job.contextTokens;
      request.leftTokens = job.leftTokens;
      lose(fleet, entry, request, target);
    },
  };
}

function noteFirstToken(fleet: Fleet, request: LiveRequest): void {
  const nowMs = fleet.clock.nowMs;
  if (Number.isNaN(request.firstTokenMs)) request.firstTokenMs = nowMs + HOP_MS;
  request.stalledSinceMs = Number.NaN;
}

function handOver(fleet: Fleet, entry: Entry, request: LiveRequest, writer: string): void {
  const fromMs = fleet.clock.nowMs;
  if (request.leftTokens <= 0) {
    end(fleet, entry, request, writer, null);
    return;
  }
  const engine = fleet.byName.get(writer);
  if (engine === undefined) return;
  const target = isAccepting(engine) ? engine : otherWriter(fleet, entry, request, engine);
  const tookMs = transferMs(engine.profile, request.contextTokens);
  schedule(fleet.clock, fromMs + tookMs, () => {
    if (fleet.clock.nowMs - fromMs > INTER_TOKEN_GOAL_MS) request.slowGaps += 1;
    submitAnswer(target, {
      ...newJob(fleet, entry, request, target.name),
      readOnly: false,
      onRead: () => undefined,
    });
  });
}

/** A writer that drains meanwhile takes no KV cache; the entry names another. */
function otherWriter(
  fleet: Fleet,
  entry: Entry,
  request: LiveRequest,
  refused: FakeEngine,
): FakeEngine {
  applyLoadReport(entry.router, readLoad(refused));
  const asked = { ...routeRequest(request), excluded: noExcludedTargets };
  const decision = fleet.policy.chooseRoute(entry, asked, fleet.clock.nowMs);
  if (decision.kind === RouteKind.None) return refused;
  return fleet.byName.get(decision.writer) ?? refused;
}

/** A draining writer's answer goes on elsewhere, from its KV cache. */
function moveOn(fleet: Fleet, entry: Entry, request: LiveRequest): void {
  const asked = routeRequest(request);
  const decision = fleet.policy.chooseRoute(entry, asked, fleet.clock.nowMs);
  if (decision.kind === RouteKind.None) {
    lose(fleet, entry, request, '');
    return;
  }
  const { writer } = decision;
  recordMigration(entry.router, writer, asked, decision.expectedOutputTokens, fleet.clock.nowMs);
  handOver(fleet, entry, request, writer);
}

function lose(fleet: Fleet, entry: Entry, request: LiveRequest, target: string): void {
  fleet.statistics.restarts += 1;
  request.slowGaps += 1;
  recordAnswerEnd(entry.router, endOf(request, target, false), fleet.clock.nowMs);
  const engine = fleet.byName.get(target);
  const crashed = engine?.alive === false;
  if (crashed) request.excluded.add(target);
  schedule(fleet.clock, fleet.clock.nowMs + (crashed ? CRASH_NOTICE_MS : HOP_MS), () => {
    send(fleet, entry, request, true);
  });
}

function endOf(
  request: LiveRequest,
  target: string,
  whole: boolean,
): Parameters<typeof recordAnswerEnd>[1] {
  const { promptTokens, outputTokens } = request.trace;
  return { target, workspace: request.trace.workspace, promptTokens, outputTokens, whole };
}

function end(
  fleet: Fleet,
  entry: Entry,
  request: LiveRequest,
  target: string,
  job: FakeJob | null,
): void {
  if (request.ended) return;
  request.ended = true;
  request.leftTokens = job?.leftTokens ?? 0;
  countAnswer(fleet.statistics, request, fleet.clock.nowMs);
  recordAnswerEnd(entry.router, endOf(request, target, true), fleet.clock.nowMs);
  pumpEntry(fleet, entry);
}
