/**
 * The way of a request to a plain service: one target after another, as far as the request may be
 * repeated, its route allows it and the retry budget has room.
 */
import { DeliveryKind, type TargetEntry } from '@cassiamast/coordination';
import { type AskOutcome, AskOutcomeKind, askTarget } from './ask-target.js';
import { noteForCrashes } from './crash-reports.js';
import type { Exchange } from './exchange.js';
import { type HeldAnswer, holdAnswer } from './held-answer.js';
import { failureStatus, sendOwnAnswer } from './own-answer.js';
import { type ForwardingServices, newsAgeMs } from './forwarding-services.js';

/** A repeatable request whose answer takes so many times its target latency is tried elsewhere. */
const SLOW_ANSWER_RATIO = 2;
/** Targets that can't be reached at all and are passed over for one request. */
const MAX_UNREACHABLE = 3;
/** When a refused caller is asked back: a queue of a small service drains within that. */
const RETRY_AFTER_MS = 300;
/** Statuses from here on are failures of the target. */
const SERVER_FAILURE = 500;

/** What is left of an exchange after one sending. */
enum Next {
  Delivered = 'delivered',
  TryAgain = 'try-again',
  GiveUp = 'give-up',
}

/** Forwards a request; resolves when its answer is handed over or it was given up. */
export async function forwardPlain(
  exchange: Exchange,
  services: ForwardingServices,
): Promise<void> {
  const { service } = exchange;
  let unreachable = 0;
  let detail = 'no target takes work';
  services.budgets.noteRequest(service);
  while (!exchange.signal.aborted) {
    const target = services.health.choose(service, exchange.failedTargets);
    if (target === null) break;
    const held = holdAnswer(exchange.response, services.wire);
    const outcome = await send(exchange, services, target, held);
    detail = outcome.detail;
    const next = judge(exchange, services, target, held, outcome);
    if (next === Next.Delivered) return;
    if (next === Next.GiveUp) break;
    if (outcome.kind === AskOutcomeKind.NotSent) unreachable += 1;
    if (unreachable > MAX_UNREACHABLE) break;
  }
  giveUp(exchange, services, detail);
}

async function send(
  exchange: Exchange,
  services: ForwardingServices,
  target: TargetEntry,
  held: HeldAnswer,
): Promise<AskOutcome> {
  const { route } = exchange;
  const startedAtMs = services.nowMs();
  const leftMs = Math.max(1, Math.floor(exchange.endsAtMs - startedAtMs));
  const slow = new AbortController();
  const mayRepeat = route.kind === DeliveryKind.Idempotent;
  const triesLeft = exchange.sends + 1 < route.maxAttempts;
  const slowAfterMs = mayRepeat && triesLeft ? route.targetLatencyMs * SLOW_ANSWER_RATIO : leftMs;
  const timer = setTimeout(() => {
    slow.abort();
  }, slowAfterMs);
  const headers = services.wire.targetHeaders(exchange.rawHeaders, {
    targetName: target.name,
    patienceMs: leftMs,
    readOnly: false,
    from: null,
    fetchFrom: null,
    lastEventId: exchange.head.lastEventId,
  });
  services.health.noteSent(target);
  const outcome = await askTarget(
    services,
    target,
    {
      attemptId: exchange.head.attemptId,
      method: exchange.method,
      path: exchange.path,
      headers,
      body: exchange.body,
    },
    held.sink,
    AbortSignal.any([exchange.signal, slow.signal]),
  );
  clearTimeout(timer);
  services.health.noteDone(target);
  if (outcome.sent) exchange.sends += 1;
  exchange.lastTarget = target.id;
  exchange.mayHaveRun ||= outcome.sent && outcome.kind !== AskOutcomeKind.NotRun;
  noteForCrashes(exchange, services, target.id, outcome);
  services.log.info('sent to target', {
    request: exchange.id,
    target: target.id,
    send: exchange.sends,
    outcome: outcome.kind,
    detail: outcome.detail,
    limitPerS: outcome.limitPerS ?? undefined,
    tookMs: Math.round(services.nowMs() - startedAtMs),
    leftMs,
    newsAgeMs: newsAgeMs(services),
  });
  return outcome;
}

function judge(
  exchange: Exchange,
  services: ForwardingServices,
  target: TargetEntry,
  held: HeldAnswer,
  outcome: AskOutcome,
): Next {
  const mayRepeat = exchange.route.kind === DeliveryKind.Idempotent;
  switch (outcome.kind) {
    case AskOutcomeKind.Complete: {
      services.health.noteGood(target);
      const failed = (held.head()?.status ?? 0) >= SERVER_FAILURE;
      exchange.failedTargets.add(target.id);
      if (failed && mayRepeat && !held.hasBegun() && takeRetry(exchange, services)) {
        return Next.TryAgain;
      }
      held.deliver();
      return Next.Delivered;
    }
    case AskOutcomeKind.NotSent:
      services.health.noteBad(target);
      exchange.failedTargets.add(target.id);
      return Next.TryAgain;
    case AskOutcomeKind.NotRun:
      exchange.failedTargets.add(target.id);
      return takeRetry(exchange, services) ? Next.TryAgain : Next.GiveUp;
    // Stopped while the caller still waits: too slow for a request that may be repeated.
    case AskOutcomeKind.Stopped:
    case AskOutcomeKind.Silent:
    case AskOutcomeKind.Broken:
      if (exchange.signal.aborted) return Next.GiveUp;
      services.health.noteBad(target);
      exchange.failedTargets.add(target.id);
      if (!mayRepeat || held.hasBegun()) return Next.GiveUp;
      return takeRetry(exchange, services) ? Next.TryAgain : Next.GiveUp;
  }
}

/** Takes a retry from the budget if the route allows one and another target is there. */
function takeRetry(exchange: Exchange, services: ForwardingServices): boolean {
  const { service, failedTargets, route } = exchange;
  if (exchange.sends >= route.maxAttempts) return false;
  if (services.health.choose(service, failedTargets) === null) return false;
  return services.budgets.take(service);
}

function giveUp(exchange: Exchange, services: ForwardingServices, detail: string): void {
  const { response } = exchange;
  if (response.destroyed) return;
  if (response.headersSent) {
    // A part of the answer is out: only a broken connection tells the caller that it isn't whole.
    response.destroy();
    return;
  }
  const status = failureStatus(exchange, exchange.signal.aborted);
  const retryAfterMs = exchange.mayHaveRun ? null : RETRY_AFTER_MS;
  sendOwnAnswer(response, services.wire, { status, reason: detail, retryAfterMs });
}
