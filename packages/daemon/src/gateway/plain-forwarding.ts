/**
 * Forwards requests to plain services. A request whose target has failed, or whose answer is overdue,
 * is tried at other targets if it is idempotent and both its route's maximum of attempts and the
 * retry budget allow it.
 */
import { RequestedWork, DeliveryKind, type TargetEntry } from '@cassiamast/coordination';
import {
  type AnswerSink,
  type SendOutcome,
  SendOutcomeKind,
  sendToTarget,
} from './send-to-target.js';
import { announcementFields } from './announcement-fields.js';
import { type Exchange, replaceRetries, retriesOfRun } from './exchange.js';
import { watchAnswer } from './answer-watch.js';
import { type BufferedAnswer, bufferAnswer } from './buffered-answer.js';
import {
  DEADLINE_REASON,
  quarantinedAnswer,
  cutAnswer,
  failureStatus,
  revokedAnswer,
  sendOwnAnswer,
} from './own-answer.js';
import { type ForwardingServices, newsAgeMs } from './forwarding-services.js';
import { countSend } from './locality-counts.js';
import { type AttemptProgress, type OpenAttempts, createOpenAttempts } from './open-attempts.js';

/** An idempotent request is retried elsewhere after this multiple of its route's target latency. */
const SLOW_ANSWER_RATIO = 2;
/** Number of unreachable targets that one request may skip. */
const MAX_UNREACHABLE = 3;
/** Retry-after time of rejected requests; the queue of a small service drains within this time. */
const RETRY_AFTER_MS = 300;
/** HTTP statuses from this one on are failures of the target. */
const FIRST_SERVER_ERROR_STATUS = 500;

/** How an attempt at one target ended. */
interface AttemptOutcome extends SendOutcome {
  readonly answer: BufferedAnswer;
}

const OVERDUE_REASON = 'the answer is overdue';
const NO_TARGET_REASON = 'no target takes work';
const UNAVAILABLE_REASON = 'all targets leave or asked for a back-off';
const RATE_LIMITED_REASON = 'all targets that could take it are at their rate limits';

/** The state of one request while targets are tried. */
interface ForwardingState {
  readonly exchange: Exchange;
  readonly services: ForwardingServices;
  /** Time until the next permit in milliseconds, by id, of the targets at their rate limit. */
  readonly limited: Map<string, number>;
  /** Number of targets that could not be reached. */
  unreachable: number;
}

/** Forwards a request; resolves when its answer is delivered or no further target may be tried. */
export async function forwardPlain(
  exchange: Exchange,
  services: ForwardingServices,
): Promise<void> {
  const state: ForwardingState = { exchange, services, limited: new Map(), unreachable: 0 };
  services.budgets.noteRequest(exchange.service);
  const attempts = createOpenAttempts<AttemptOutcome>(exchange.signal, mayRepeat(exchange));
  let target = await choosePermittedTarget(state);
  let detail = reasonWithoutTarget(state);
  while (!exchange.signal.aborted && (target !== null || attempts.areOpen())) {
    if (target !== null) attempts.begin(attemptAt(state, target));
    // While nobody else takes the request, an overdue answer is awaited.
    else await attempts.changed(RETRY_AFTER_MS);
    // While the answers of all targets are overdue, null: the request may be tried elsewhere.
    const outcome = await attempts.next();
    detail = outcome?.detail ?? OVERDUE_REASON;
    target = await chooseNextTarget(state, outcome);
    if (target === null && outcome !== null && deliver(outcome)) return;
    if (outcome !== null || attempts.areAllOverdue()) continue;
    // The answer came or was lost while the next target was chosen.
    if (attempts.areOpen() || (await hasAnswer(attempts))) target = null;
  }
  const last = await attempts.over();
  if (last !== null && deliver(last)) return;
  giveUp(state, last?.detail ?? detail);
}

/** Resolves with whether the last attempt has brought a complete answer of a target that served. */
async function hasAnswer(attempts: OpenAttempts<AttemptOutcome>): Promise<boolean> {
  const last = await attempts.over();
  return last?.kind === SendOutcomeKind.Complete && !hasFailed(last.answer);
}

/** Passes a complete answer on; returns whether there is one. */
function deliver({ kind, answer }: AttemptOutcome): boolean {
  if (kind !== SendOutcomeKind.Complete) return false;
  answer.deliver();
  return true;
}

/** Returns why no target was found for a request that was not sent yet. */
function reasonWithoutTarget({ exchange, services, limited }: ForwardingState): string {
  if (limited.size > 0) return RATE_LIMITED_REASON;
  const isUnavailable = services.availability.availableInMs(exchange.service) > 0;
  return isUnavailable ? UNAVAILABLE_REASON : NO_TARGET_REASON;
}

/** Chooses the best available target below its rate limit and takes a permit for it. */
async function choosePermittedTarget(state: ForwardingState): Promise<TargetEntry | null> {
  const { exchange, services, limited } = state;
  const { failedTargets, service } = exchange;
  while (!exchange.signal.aborted) {
    const unavailable = services.availability.unavailable(service);
    const excluded = new Set([...failedTargets, ...limited.keys(), ...unavailable]);
    const target = services.health.choose(service, excluded);
    if (target === null) return null;
    const waitMs = await services.limits.take(target);
    if (waitMs === 0) return target;
    limited.set(target.id, waitMs);
  }
  return null;
}

/** Returns the attempt at one target. */
function attemptAt(
  state: ForwardingState,
  target: TargetEntry,
): (progress: AttemptProgress) => Promise<AttemptOutcome> {
  return (progress) => attempt(state, target, progress);
}

/** Sends the request to one target, and records what its end says about the target. */
async function attempt(
  state: ForwardingState,
  target: TargetEntry,
  progress: AttemptProgress,
): Promise<AttemptOutcome> {
  const { exchange, services } = state;
  const answer = bufferAnswer(exchange.response, services.wire, progress.isAlone);
  const startedAtMs = services.nowMs();
  const leftMs = Math.max(1, Math.floor(exchange.endsAtMs - startedAtMs));
  // No further attempt may choose it, also while this one is open.
  exchange.failedTargets.add(target.id);
  const noteDone = services.health.noteSent(target);
  const outcome = await send(state, target, progress, answer, leftMs);
  noteDone(tellsSpeed(outcome, answer));
  // Its head and body may have come before it was overdue, and its end after.
  if (outcome.kind === SendOutcomeKind.Complete && !hasFailed(answer)) progress.noteAnswer();
  exchange.mayHaveRun ||= outcome.sent && outcome.kind !== SendOutcomeKind.NotRun;
  if (outcome.kind === SendOutcomeKind.NotRun) exchange.rejections += 1;
  if (outcome.kind === SendOutcomeKind.Withheld) services.count('requests_withheld_total');
  if (outcome.kind === SendOutcomeKind.NotSent) state.unreachable += 1;
  recordHealth(state, target, outcome);
  services.crashes.recordRun(exchange, target, outcome);
  services.log.info('sent to target', {
    request: exchange.id,
    target: target.id,
    send: exchange.sends,
    outcome: outcome.kind,
    detail: outcome.detail,
    ...announcementFields(outcome.announced),
    tookMs: Math.round(services.nowMs() - startedAtMs),
    leftMs,
    newsAgeMs: newsAgeMs(services),
  });
  return { ...outcome, answer };
}

async function send(
  { exchange, services }: ForwardingState,
  target: TargetEntry,
  progress: AttemptProgress,
  answer: BufferedAnswer,
  leftMs: number,
): Promise<SendOutcome> {
  const { route, head, method, path, body } = exchange;
  exchange.lastTarget = target.id;
  const headers = services.wire.targetHeaders(exchange.rawHeaders, {
    targetName: target.name,
    remainingTimeMs: leftMs,
    prefillOnly: false,
    from: null,
    fetchFrom: null,
    lastEventId: head.lastEventId,
    workspace: exchange.workspace,
    hidesKey: exchange.hidesKey,
    priority: null,
  });
  const hasAttemptsLeft = exchange.sends + 1 < route.maxAttempts;
  const overdueAfterMs =
    mayRepeat(exchange) && hasAttemptsLeft ? route.targetLatencyMs * SLOW_ANSWER_RATIO : null;
  const watch = watchAnswer(exchange, services, target, progress, overdueAfterMs);
  let sentAtMs = 0;
  const onSent = (): void => {
    sentAtMs = services.nowMs();
    exchange.sends += 1;
    countSend(services, target, 0);
    progress.noteRun();
  };
  const retries = () => retriesOfRun(exchange);
  const work = RequestedWork.Run;
  const request = { attemptId: head.attemptId, work, onSent, retries, method, path, headers, body };
  const sink: AnswerSink = {
    onHead: (received, rawHeaders) => {
      answer.sink.onHead(received, rawHeaders);
      if (!hasFailed(answer)) watch.noteAnswer();
    },
    onBytes: (bytes, flow) => {
      if (!hasFailed(answer)) watch.noteAnswer();
      return answer.sink.onBytes(bytes, flow);
    },
  };
  const outcome = await sendToTarget(services, target, request, sink, watch.signal);
  watch.stop();
  const mayHaveRun = outcome.sent && outcome.kind !== SendOutcomeKind.NotRun;
  if (mayHaveRun) services.usage.noteBegun(exchange, sentAtMs);
  const isReplaced = outcome.kind === SendOutcomeKind.Stopped && !exchange.signal.aborted;
  if (!isReplaced) return outcome;
  const kind = watch.isOverdue() ? SendOutcomeKind.Silent : SendOutcomeKind.Replaced;
  return { ...outcome, kind, detail: kind };
}

/** Returns whether the duration of an attempt tells the speed of its target. */
function tellsSpeed({ kind }: SendOutcome, answer: BufferedAnswer): boolean {
  if (kind === SendOutcomeKind.Complete) return !hasFailed(answer);
  // An overdue attempt took at least that long.
  return kind === SendOutcomeKind.Silent || kind === SendOutcomeKind.Replaced;
}

function hasFailed(answer: BufferedAnswer): boolean {
  return (answer.head()?.status ?? 0) >= FIRST_SERVER_ERROR_STATUS;
}

function mayRepeat({ route }: Exchange): boolean {
  return route.kind === DeliveryKind.Idempotent;
}

function recordHealth(
  { exchange, services }: ForwardingState,
  target: TargetEntry,
  { kind }: SendOutcome,
): void {
  switch (kind) {
    case SendOutcomeKind.Complete:
      services.health.recordSuccess(target);
      return;
    case SendOutcomeKind.NotSent:
      services.health.recordFailure(target);
      return;
    case SendOutcomeKind.Broken:
      if (!exchange.signal.aborted) services.health.recordFailure(target);
      return;
    // The watch has recorded an answer that is overdue.
    case SendOutcomeKind.Silent:
    case SendOutcomeKind.Stopped:
    case SendOutcomeKind.Withheld:
    case SendOutcomeKind.OverBudget:
    case SendOutcomeKind.NotRun:
    case SendOutcomeKind.Replaced:
      return;
  }
}

/**
 * Chooses the target to try next after an attempt, or beside overdue ones (null); null if the request
 * must not be tried again.
 */
async function chooseNextTarget(
  state: ForwardingState,
  outcome: AttemptOutcome | null,
): Promise<TargetEntry | null> {
  const { exchange } = state;
  switch (outcome?.kind) {
    case SendOutcomeKind.Complete: {
      const { answer } = outcome;
      if (!hasFailed(answer) || !mayRepeat(exchange) || answer.hasSentHead()) return null;
      return retryWithinBudget(state, false);
    }
    case SendOutcomeKind.NotSent:
      return state.unreachable > MAX_UNREACHABLE ? null : choosePermittedTarget(state);
    case SendOutcomeKind.Withheld:
      return choosePermittedTarget(state);
    case SendOutcomeKind.OverBudget:
      return null;
    case SendOutcomeKind.NotRun:
      return retryWithinBudget(state, false);
    case SendOutcomeKind.Stopped:
    case SendOutcomeKind.Silent:
    case SendOutcomeKind.Replaced:
    case SendOutcomeKind.Broken:
    case undefined:
      if (exchange.signal.aborted || !mayRepeat(exchange)) return null;
      return exchange.response.headersSent ? null : retryWithinBudget(state, outcome === null);
  }
}

/** Chooses another target if the route's maximum of attempts and the retry budget allow it. */
async function retryWithinBudget(
  state: ForwardingState,
  isBesideOpen: boolean,
): Promise<TargetEntry | null> {
  const { exchange, services } = state;
  if (exchange.isTrial || exchange.isRevoked || exchange.sends >= exchange.route.maxAttempts)
    return null;
  await services.crashes.whenDecided(exchange);
  const target = await choosePermittedTarget(state);
  if (target === null) return null;
  // An open attempt that waits for a connection may yet be sent as well.
  const arrivals = exchange.sends === 0 && !isBesideOpen ? 0 : 1;
  replaceRetries(exchange, services.budgets.reserve(exchange.service, exchange.id, arrivals));
  return exchange.retries === null ? null : target;
}

function giveUp({ exchange, services, limited }: ForwardingState, detail: string): void {
  const { response, service, signal } = exchange;
  if (response.destroyed) return;
  if (response.headersSent) {
    cutAnswer(exchange, services, signal.aborted ? DEADLINE_REASON : detail);
    return;
  }
  if (exchange.isQuarantined) {
    sendOwnAnswer(response, services.wire, quarantinedAnswer(exchange));
    return;
  }
  if (exchange.isRevoked && !exchange.mayHaveRun) {
    sendOwnAnswer(response, services.wire, revokedAnswer());
    return;
  }
  const status = failureStatus(exchange);
  const isRefusal = !exchange.mayHaveRun;
  const retryAfterMs = isRefusal ? computeRetryAfterMs(services, service, limited) : null;
  if (isRefusal && limited.size > 0) logLimited(exchange, services, limited, retryAfterMs);
  else if (isRefusal && services.availability.availableInMs(service) > 0)
    logUnavailable(exchange, services, retryAfterMs);
  sendOwnAnswer(response, services.wire, { status, reason: detail, retryAfterMs });
}

function computeRetryAfterMs(
  { limits, availability }: ForwardingServices,
  service: string,
  limited: ReadonlyMap<string, number>,
): number {
  const retryInMs =
    limited.size > 0 ? limits.callerRetryInMs(limited) : availability.callerRetryInMs(service);
  return Math.max(RETRY_AFTER_MS, retryInMs);
}

function logUnavailable(
  exchange: Exchange,
  services: ForwardingServices,
  retryAfterMs: number | null,
): void {
  services.count('refused_unavailable_total');
  services.log.info('refused, targets unavailable', {
    request: exchange.id,
    targets: services.availability.unavailable(exchange.service),
    retryAfterMs: Math.round(retryAfterMs ?? 0),
    ageMs: Math.round(services.nowMs() - exchange.receivedAtMs),
  });
}

function logLimited(
  exchange: Exchange,
  services: ForwardingServices,
  limited: ReadonlyMap<string, number>,
  retryAfterMs: number | null,
): void {
  services.count('refused_at_rate_limits_total');
  services.log.info('refused at rate limits', {
    request: exchange.id,
    targets: [...limited.keys()],
    retryAfterMs,
    ageMs: Math.round(services.nowMs() - exchange.receivedAtMs),
  });
}
