/**
 * Admission in front of one service at one entry. A request is queued fairly, goes when routing
 * predicts that it begins in time, and is refused early and truthfully ("not run") when its wait
 * would be longer than it can use. Nothing is asked of other processes per request.
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
  putBack,
  QueueRefusal,
  removeWhere,
  takeFirstSent,
} from './fair-queue.js';
import type { FairQueue, Waiting } from './fair-queue.js';
import { createWorkspaceLimits, takeTokens } from './limits.js';
import type { WorkspaceLimits } from './limits.js';

/** What admission is made with. */
export interface AdmissionOptions {
  readonly service: string;
  readonly maxWaiting: number;
  readonly maxWaitingPerWorkspace: number;
}

/** Bounds of the queue; the reasons are in docs/design/admission.md. */
export const DEFAULT_ADMISSION_OPTIONS = {
  maxWaiting: 1024,
  maxWaitingPerWorkspace: 128,
} as const;

/** A request as admission sees it. */
export interface AdmissionRequest<T> {
  readonly workspace: string;
  readonly weight: number;
  /** Limit of the workspace over all entries, or null. */
  readonly maxTokensPerS: number | null;
  /** Prompt tokens plus output tokens at their price; see {@link requestCostTokens}. */
  readonly costTokens: number;
  /** How long it may wait here and still be of use, in milliseconds. */
  readonly patienceMs: number;
  readonly item: T;
}

/** Admission's state. */
export interface Admission<T> {
  readonly options: AdmissionOptions;
  readonly queue: FairQueue<T>;
  readonly limits: WorkspaceLimits;
  /** Tokens sent on per millisecond while requests waited; 0 until known. */
  drainTokensPerMs: number;
  lastPumpMs: number;
  /** Set while the service is shed for more important ones. */
  shed: boolean;
}

/** Makes an admission with an empty queue. */
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
 * Engine time of an output token over that of a prompt token (0.26 ms to 0.025 ms in the default
 * profile): a workspace pays for what it takes from the others, whichever phase it takes it in.
 */
const OUTPUT_TOKEN_PRICE = 10;

/** Cost of a request in prompt tokens. */
export function requestCostTokens(promptTokens: number, expectedOutputTokens: number): number {
  return promptTokens + expectedOutputTokens * OUTPUT_TOKEN_PRICE;
}

/** Least time that a refused caller is told to stay away, in milliseconds. */
const MIN_RETRY_AFTER_MS = 250;

/** Queues a request, or refuses it at once. */
export function offer<T>(
  admission: Admission<T>,
  request: AdmissionRequest<T>,
  nowMs: number,
): Failure<string, RefusalData> | null {
  const refusal = (waitMs: number): RefusalData => ({
    service: admission.options.service,
    workspace: request.workspace,
    retryAfterMs: Math.ceil(Math.max(MIN_RETRY_AFTER_MS, waitMs)),
  });
  if (admission.shed) return SERVICE_SHED.of(refusal(backlogMs(admission)));
  const limitWaitMs = takeTokens(
    admission.limits,
    request.workspace,
    request.maxTokensPerS,
    request.costTokens,
    nowMs,
  );
  if (limitWaitMs > 0) return WORKSPACE_LIMIT.of(refusal(limitWaitMs));
  const waitMs = predictedWaitMs(admission, request);
  if (waitMs > request.patienceMs) return WAIT_TOO_LONG.of(refusal(waitMs));
  const refused = enqueue(admission.queue, {
    workspace: request.workspace,
    weight: request.weight,
    costTokens: request.costTokens,
    expiresAtMs: nowMs + request.patienceMs,
    item: request.item,
  });
  if (refused === QueueRefusal.Full) return QUEUE_FULL.of(refusal(backlogMs(admission)));
  if (refused === QueueRefusal.WorkspaceFull) return WORKSPACE_QUEUE_FULL.of(refusal(waitMs));
  return null;
}

/** Takes back a request that was sent and refused, truly not run, at the place it had. */
export function takeBack<T>(
  admission: Admission<T>,
  waiting: Waiting<T>,
): Failure<string, RefusalData> | null {
  if (putBack(admission.queue, waiting)) return null;
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
 * Wait in fair order: what the workspace has queued itself, times the workspaces that share the
 * rate, but no more than the whole backlog. O(1), so weights other than its own are taken as equal.
 */
function predictedWaitMs<T>(admission: Admission<T>, request: AdmissionRequest<T>): number {
  if (admission.drainTokensPerMs <= 0) return 0;
  const { queue } = admission;
  const own = queue.flows.get(request.workspace)?.queuedTokens ?? 0;
  const inTurn = own * Math.max(1, queue.flows.size);
  return Math.min(queue.queuedTokens, inTurn) / admission.drainTokensPerMs;
}

/** What became of a request that was tried. */
export enum PumpResult {
  /** It went to a target. */
  Sent = 'sent',
  /** No target would begin it in time now; it stays, and those behind it wait. */
  Wait = 'wait',
}

/** Refused by {@link pump}, with its failure. */
export interface Expired<T> {
  readonly item: T;
  readonly failure: Failure<string, RefusalData>;
}

/** Weight of the newest rate of dispatch; the rate matters over some hundred milliseconds. */
const RATE_WEIGHT = 0.1;

/**
 * Requests tried in order before waiting: a long prompt at the head, which no target can begin in
 * time now, must not keep back short ones that a target could begin. They pass it, it stays first.
 */
const LOOK_AHEAD = 4;

/**
 * Sends waiting requests on in fair order until `trySend` takes none of the first few, then refuses
 * those that have become useless. Call it at arrivals, at reports and every few milliseconds while any wait.
 */
export function pump<T>(
  admission: Admission<T>,
  nowMs: number,
  trySend: (item: T, waiting: Waiting<T>) => PumpResult,
): readonly Expired<T>[] {
  const waitedBefore = admission.queue.heap.length > 0;
  let sentTokens = 0;
  for (;;) {
    const sent = takeFirstSent(
      admission.queue,
      LOOK_AHEAD,
      (waiting) =>
        waiting.expiresAtMs > nowMs && trySend(waiting.item, waiting) === PumpResult.Sent,
    );
    if (sent === undefined) break;
    sentTokens += sent.costTokens;
  }
  noteRate(admission, nowMs, sentTokens, waitedBefore);
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

function noteRate<T>(
  admission: Admission<T>,
  nowMs: number,
  sentTokens: number,
  waitedBefore: boolean,
): void {
  const elapsedMs = nowMs - admission.lastPumpMs;
  admission.lastPumpMs = nowMs;
  // Only a rate seen under contention says how fast the queue drains.
  if (!waitedBefore || elapsedMs <= 0) return;
  const weight = Math.min(1, RATE_WEIGHT * Math.max(1, elapsedMs / 20));
  admission.drainTokensPerMs += (sentTokens / elapsedMs - admission.drainTokensPerMs) * weight;
}
