/**
 * Forwards requests to plain services. A failed request is retried at other targets if it is
 * idempotent and both its route's maximum of attempts and the retry budget allow it.
 */
import { RequestedWork, DeliveryKind, type TargetEntry } from '@cassiamast/coordination';
import { type SendOutcome, SendOutcomeKind, sendToTarget } from './send-to-target.js';
import { announcementFields } from './announcement-fields.js';
import { recordCrashOutcome } from './crash-reports.js';
import { type Exchange, replaceRetries, retriesOf } from './exchange.js';
import { type BufferedAnswer, bufferAnswer } from './buffered-answer.js';
import {
  DEADLINE_REASON,
  convictedAnswer,
  cutAnswer,
  failureStatus,
  sendOwnAnswer,
} from './own-answer.js';
import { type ForwardingServices, newsAgeMs } from './forwarding-services.js';

/** An idempotent request is retried elsewhere after this multiple of its route's target latency. */
const SLOW_ANSWER_RATIO = 2;
/** Number of unreachable targets that one request may skip. */
const MAX_UNREACHABLE = 3;
/** Retry-after time of rejected requests; the queue of a small service drains within this time. */
const RETRY_AFTER_MS = 300;
/** HTTP statuses from this one on are failures of the target. */
const FIRST_SERVER_ERROR_STATUS = 500;

/** Kinds of steps after an attempt. */
enum NextStepKind {
  Delivered = 'delivered',
  TryAgain = 'try-again',
  GiveUp = 'give-up',
}

/** The step after an attempt. A rate-limit permit is already taken for the target to try. */
type NextStep =
  | { readonly kind: NextStepKind.Delivered | NextStepKind.GiveUp }
  | { readonly kind: NextStepKind.TryAgain; readonly target: TargetEntry };

const DELIVERED: NextStep = { kind: NextStepKind.Delivered };
const GIVE_UP: NextStep = { kind: NextStepKind.GiveUp };
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
  let target = await choosePermittedTarget(state);
  let detail = reasonWithoutTarget(state);
  while (target !== null && !exchange.signal.aborted) {
    const bufferedAnswer = bufferAnswer(exchange.response, services.wire);
    const outcome = await send(exchange, services, target, bufferedAnswer);
    detail = outcome.detail;
    const next = await decideNextStep(state, target, bufferedAnswer, outcome);
    if (next.kind === NextStepKind.Delivered) return;
    target = next.kind === NextStepKind.TryAgain ? next.target : null;
  }
  giveUp(state, detail);
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

async function send(
  exchange: Exchange,
  services: ForwardingServices,
  target: TargetEntry,
  bufferedAnswer: BufferedAnswer,
): Promise<SendOutcome> {
  const { route } = exchange;
  const startedAtMs = services.nowMs();
  const leftMs = Math.max(1, Math.floor(exchange.endsAtMs - startedAtMs));
  const slowAnswer = new AbortController();
  const mayRepeat = route.kind === DeliveryKind.Idempotent;
  const hasAttemptsLeft = exchange.sends + 1 < route.maxAttempts;
  const slowAfterMs =
    mayRepeat && hasAttemptsLeft ? route.targetLatencyMs * SLOW_ANSWER_RATIO : leftMs;
  const timer = setTimeout(() => {
    services.standstill.whenCaughtUp(() => {
      slowAnswer.abort();
    });
  }, slowAfterMs);
  const headers = services.wire.targetHeaders(exchange.rawHeaders, {
    targetName: target.name,
    remainingTimeMs: leftMs,
    prefillOnly: false,
    from: null,
    fetchFrom: null,
    lastEventId: exchange.head.lastEventId,
  });
  services.health.noteSent(target);
  const outcome = await sendToTarget(
    services,
    target,
    {
      attemptId: exchange.head.attemptId,
      work: RequestedWork.Run,
      retries: retriesOf(exchange, exchange.sends),
      method: exchange.method,
      path: exchange.path,
      headers,
      body: exchange.body,
    },
    bufferedAnswer.sink,
    AbortSignal.any([exchange.signal, slowAnswer.signal]),
  );
  clearTimeout(timer);
  services.health.noteDone(target);
  if (outcome.sent) exchange.sends += 1;
  exchange.lastTarget = target.id;
  exchange.mayHaveRun ||= outcome.sent && outcome.kind !== SendOutcomeKind.NotRun;
  if (outcome.kind === SendOutcomeKind.Withheld) services.count('requests_withheld_total');
  recordCrashOutcome(exchange, services, target, outcome);
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
  return outcome;
}

async function decideNextStep(
  state: ForwardingState,
  target: TargetEntry,
  bufferedAnswer: BufferedAnswer,
  outcome: SendOutcome,
): Promise<NextStep> {
  const { exchange, services } = state;
  const mayRepeat = exchange.route.kind === DeliveryKind.Idempotent;
  exchange.failedTargets.add(target.id);
  switch (outcome.kind) {
    case SendOutcomeKind.Complete: {
      services.health.recordSuccess(target);
      const failed = (bufferedAnswer.head()?.status ?? 0) >= FIRST_SERVER_ERROR_STATUS;
      if (failed && mayRepeat && !bufferedAnswer.hasSentHead()) {
        const next = await retryWithinBudget(state);
        if (next.kind === NextStepKind.TryAgain) return next;
      }
      bufferedAnswer.deliver();
      return DELIVERED;
    }
    case SendOutcomeKind.NotSent:
      services.health.recordFailure(target);
      state.unreachable += 1;
      return state.unreachable > MAX_UNREACHABLE ? GIVE_UP : tryNextTarget(state);
    case SendOutcomeKind.Withheld:
      return tryNextTarget(state);
    case SendOutcomeKind.OverBudget:
      return GIVE_UP;
    case SendOutcomeKind.NotRun:
      return retryWithinBudget(state);
    // An attempt stopped before the deadline was too slow; only idempotent requests are stopped.
    case SendOutcomeKind.Stopped:
    case SendOutcomeKind.Silent:
    case SendOutcomeKind.Broken:
      if (exchange.signal.aborted) return GIVE_UP;
      services.health.recordFailure(target);
      return !mayRepeat || bufferedAnswer.hasSentHead() ? GIVE_UP : retryWithinBudget(state);
  }
}

/** Continues at another target if there is one. */
async function tryNextTarget(state: ForwardingState): Promise<NextStep> {
  const target = await choosePermittedTarget(state);
  return target === null ? GIVE_UP : { kind: NextStepKind.TryAgain, target };
}

/** Continues at another target if the route's maximum of attempts and the retry budget allow it. */
async function retryWithinBudget(state: ForwardingState): Promise<NextStep> {
  const { exchange, services } = state;
  if (exchange.isTrial || exchange.sends >= exchange.route.maxAttempts) return GIVE_UP;
  await services.crashes.whenDecided(exchange);
  const next = await tryNextTarget(state);
  if (next.kind !== NextStepKind.TryAgain) return GIVE_UP;
  const arrivals = exchange.sends === 0 ? 0 : 1;
  replaceRetries(exchange, services.budgets.reserve(exchange.service, exchange.id, arrivals));
  return exchange.retries === null ? GIVE_UP : next;
}

function giveUp({ exchange, services, limited }: ForwardingState, detail: string): void {
  const { response, service, signal } = exchange;
  if (response.destroyed) return;
  if (response.headersSent) {
    cutAnswer(exchange, services, signal.aborted ? DEADLINE_REASON : detail);
    return;
  }
  if (exchange.isConvicted) {
    sendOwnAnswer(response, services.wire, convictedAnswer(exchange));
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
