/**
 * Admission control for one service at one entry. Requests wait in a fair queue until routing
 * predicts that they start in time. A request whose wait would be longer than its deadline allows
 * is rejected early, with the guarantee that it has not run. No request needs a call to another
 * process.
 */
import type { Failure } from '../failures/failure.js';
import {
  QUEUE_FULL,
  SERVICE_SHED,
  WAIT_TOO_LONG,
  WORKSPACE_LIMIT,
  WORKSPACE_QUEUE_FULL,
} from './failures.js';
import type { RefusalData } from './failures.js';
import {
  createFairQueue,
  enqueue,
  requeue,
  QueueRefusal,
  removeWhere,
  dequeueFirstSent,
} from './fair-queue.js';
import type { FairQueue, QueuedRequest } from './fair-queue.js';
import { createWorkspaceLimits, takeTokens } from './limits.js';
import type { WorkspaceLimits } from './limits.js';

/** Options of admission control. */
export interface AdmissionOptions {
  readonly service: string;
  readonly maxWaiting: number;
  readonly maxWaitingPerWorkspace: number;
}

/** Default queue limits; the reasons are in docs/design/admission.md. */
export const DEFAULT_ADMISSION_OPTIONS = {
  maxWaiting: 1024,
  maxWaitingPerWorkspace: 128,
} as const;

/** The properties of a request that admission uses. */
export interface AdmissionRequest<T> {
  readonly workspace: string;
  readonly weight: number;
  /** Rate limit of the workspace over all entries, or null if it has none. */
  readonly maxTokensPerS: number | null;
  /** Cost of prompt and output in prompt tokens; see {@link requestCostTokens}. */
  readonly costTokens: number;
  /** Maximum time that the request may wait in the queue, in milliseconds. */
  readonly maxWaitMs: number;
  readonly item: T;
}

/** The state of admission control. */
export interface Admission<T> {
  readonly options: AdmissionOptions;
  readonly queue: FairQueue<T>;
  readonly limits: WorkspaceLimits;
  /** Tokens dispatched per millisecond while requests were queued; 0 until known. */
  drainTokensPerMs: number;
  lastPumpMs: number;
  /** True while the service is shed in favor of more important ones. */
  shed: boolean;
}

/** Creates admission control with an empty queue. */
export function createAdmission<T>(options: AdmissionOptions): Admission<T> {
  return {
    options,
    queue: createFairQueue(options.maxWaiting, options.maxWaitingPerWorkspace),
    limits: createWorkspaceLimits(),
    drainTokensPerMs: 0,
    lastPumpMs: 0,
    shed: false,
  };
}

/**
 * Engine time of an output token relative to a prompt token (0.26 ms to 0.025 ms in the default
 * profile). Workspaces are charged for the engine time that they use, in either phase.
 */
const OUTPUT_TOKEN_COST = 10;

/** Returns the cost of a request in prompt tokens. */
export function requestCostTokens(promptTokens: number, expectedOutputTokens: number): number {
  return promptTokens + expectedOutputTokens * OUTPUT_TOKEN_COST;
}

/** Minimum retry delay that a rejected caller receives, in milliseconds. */
const MIN_RETRY_AFTER_MS = 250;

/** Queues a request and returns null, or returns the failure that rejects it. */
export function offer<T>(
  admission: Admission<T>,
  request: AdmissionRequest<T>,
  nowMs: number,
): Failure<string, RefusalData> | null {
  const refusalData = (waitMs: number): RefusalData => ({
    service: admission.options.service,
    workspace: request.workspace,
    retryAfterMs: Math.ceil(Math.max(MIN_RETRY_AFTER_MS, waitMs)),
  });
  if (admission.shed) return SERVICE_SHED.of(refusalData(backlogMs(admission)));
  const limitWaitMs = takeTokens(
    admission.limits,
    request.workspace,
    request.maxTokensPerS,
    request.costTokens,
    nowMs,
  );
  if (limitWaitMs > 0) return WORKSPACE_LIMIT.of(refusalData(limitWaitMs));
  const waitMs = predictedWaitMs(admission, request);
  if (waitMs > request.maxWaitMs) return WAIT_TOO_LONG.of(refusalData(waitMs));
  const refusal = enqueue(admission.queue, {
    workspace: request.workspace,
    weight: request.weight,
    costTokens: request.costTokens,
    expiresAtMs: nowMs + request.maxWaitMs,
    item: request.item,
  });
  if (refusal === QueueRefusal.Full) return QUEUE_FULL.of(refusalData(backlogMs(admission)));
  if (refusal === QueueRefusal.WorkspaceFull) return WORKSPACE_QUEUE_FULL.of(refusalData(waitMs));
  return null;
}

/**
 * Puts a request back at its position in the queue after a target rejected it without running it.
 * Returns a failure if the queue is full.
 */
export function requeueRefused<T>(
  admission: Admission<T>,
  waiting: QueuedRequest<T>,
): Failure<string, RefusalData> | null {
  if (requeue(admission.queue, waiting)) return null;
  return QUEUE_FULL.of({
    service: admission.options.service,
    workspace: waiting.workspace,
    retryAfterMs: Math.ceil(Math.max(MIN_RETRY_AFTER_MS, backlogMs(admission))),
  });
}

function backlogMs<T>(admission: Admission<T>): number {
  if (admission.drainTokensPerMs <= 0) return 0;
  return admission.queue.queuedTokens / admission.drainTokensPerMs;
}

/**
 * Predicts the wait in fair order: the tokens queued by the workspace times the number of
 * workspaces that share the drain rate, but at most the whole backlog. To stay O(1), all weights
 * are assumed to be equal.
 */
function predictedWaitMs<T>(admission: Admission<T>, request: AdmissionRequest<T>): number {
  if (admission.drainTokensPerMs <= 0) return 0;
  const { queue } = admission;
  const ownTokens = queue.flows.get(request.workspace)?.queuedTokens ?? 0;
  const fairOrderTokens = ownTokens * Math.max(1, queue.flows.size);
  return Math.min(queue.queuedTokens, fairOrderTokens) / admission.drainTokensPerMs;
}

/** The result of trying to send a request. */
export enum PumpResult {
  /** The request was sent to a target. */
  Sent = 'sent',
  /** No target can start the request in time now; it stays queued. */
  Wait = 'wait',
}

/** A queued request that {@link pump} rejected because it expired. */
export interface Expired<T> {
  readonly item: T;
  readonly failure: Failure<string, RefusalData>;
}

/** Weight of the newest dispatch rate; smooths the rate over a few hundred milliseconds. */
const DRAIN_RATE_WEIGHT = 0.1;

/**
 * Number of requests tried in order, to prevent head-of-line blocking: a long prompt that no target
 * can start in time now must not delay short ones behind it. It stays at the head of the queue.
 */
const LOOK_AHEAD_REQUESTS = 4;

/**
 * Dispatches queued requests in fair order until `trySend` sends none of the first few, then
 * rejects and returns those that have expired. Must be called when requests or load reports arrive,
 * and every few milliseconds while requests are queued.
 */
export function pump<T>(
  admission: Admission<T>,
  nowMs: number,
  trySend: (item: T, waiting: QueuedRequest<T>) => PumpResult,
): readonly Expired<T>[] {
  const wasContended = admission.queue.heap.length > 0;
  let sentTokens = 0;
  for (;;) {
    const sent = dequeueFirstSent(
      admission.queue,
      LOOK_AHEAD_REQUESTS,
      (waiting) =>
        waiting.expiresAtMs > nowMs && trySend(waiting.item, waiting) === PumpResult.Sent,
    );
    if (sent === undefined) break;
    sentTokens += sent.costTokens;
  }
  updateDrainRate(admission, nowMs, sentTokens, wasContended);
  if (admission.queue.heap.length === 0) return [];
  const expired = removeWhere(admission.queue, (waiting) => waiting.expiresAtMs <= nowMs);
  return expired.map((waiting) => ({
    item: waiting.item,
    failure: WAIT_TOO_LONG.of({
      service: admission.options.service,
      workspace: waiting.workspace,
      retryAfterMs: Math.ceil(Math.max(MIN_RETRY_AFTER_MS, backlogMs(admission))),
    }),
  }));
}

function updateDrainRate<T>(
  admission: Admission<T>,
  nowMs: number,
  sentTokens: number,
  wasContended: boolean,
): void {
  const elapsedMs = nowMs - admission.lastPumpMs;
  admission.lastPumpMs = nowMs;
  // Without contention the dispatch rate is limited by arrivals and not by the targets.
  if (!wasContended || elapsedMs <= 0) return;
  const weight = Math.min(1, DRAIN_RATE_WEIGHT * Math.max(1, elapsedMs / 20));
  admission.drainTokensPerMs += (sentTokens / elapsedMs - admission.drainTokensPerMs) * weight;
}
