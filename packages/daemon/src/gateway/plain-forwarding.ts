/**
 * The way of a request to a plain service: one target after another, as far as the request may be
 * repeated, its route allows it and the retry budget has room.
 */
import { AskedWork, DeliveryKind, type TargetEntry } from '@cassiamast/coordination';
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
enum NextKind {
  Delivered = 'delivered',
  TryAgain = 'try-again',
  GiveUp = 'give-up',
}

/** What is done next; a target to try has given its permit. */
type Next =
  | { readonly kind: NextKind.Delivered | NextKind.GiveUp }
  | { readonly kind: NextKind.TryAgain; readonly target: TargetEntry };

const DELIVERED: Next = { kind: NextKind.Delivered };
const GIVE_UP: Next = { kind: NextKind.GiveUp };
const NO_TARGET = 'no target takes work';
const ALL_LIMITED = 'all targets that could take it are at their rate limits';

/** One exchange on its way from target to target. */
interface Attempt {
  readonly exchange: Exchange;
  readonly services: ForwardingServices;
  /** Milliseconds until a permit, by target, of those that are at their rate limit. */
  readonly limited: Map<string, number>;
  /** Targets that could not be reached at all. */
  unreachable: number;
}

/** Forwards a request; resolves when its answer is handed over or it was given up. */
export async function forwardPlain(
  exchange: Exchange,
  services: ForwardingServices,
): Promise<void> {
  const attempt: Attempt = { exchange, services, limited: new Map(), unreachable: 0 };
  services.budgets.noteRequest(exchange.service);
  let target = await permittedTarget(attempt);
  let detail = attempt.limited.size > 0 ? ALL_LIMITED : NO_TARGET;
  while (target !== null && !exchange.signal.aborted) {
    const held = holdAnswer(exchange.response, services.wire);
    const outcome = await send(exchange, services, target, held);
    detail = outcome.detail;
    const next = await judge(attempt, target, held, outcome);
    if (next.kind === NextKind.Delivered) return;
    target = next.kind === NextKind.TryAgain ? next.target : null;
  }
  giveUp(attempt, detail);
}

/** The best target that may be sent the request now; its permit is taken. */
async function permittedTarget(attempt: Attempt): Promise<TargetEntry | null> {
  const { exchange, services, limited } = attempt;
  while (!exchange.signal.aborted) {
    const tried = new Set([...exchange.failedTargets, ...limited.keys()]);
    const target = services.health.choose(exchange.service, tried);
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
    services.standstill.whenCaughtUp(() => {
      slow.abort();
    });
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
      work: AskedWork.Run,
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

async function judge(
  attempt: Attempt,
  target: TargetEntry,
  held: HeldAnswer,
  outcome: AskOutcome,
): Promise<Next> {
  const { exchange, services } = attempt;
  const mayRepeat = exchange.route.kind === DeliveryKind.Idempotent;
  exchange.failedTargets.add(target.id);
  switch (outcome.kind) {
    case AskOutcomeKind.Complete: {
      services.health.noteGood(target);
      const failed = (held.head()?.status ?? 0) >= SERVER_FAILURE;
      if (failed && mayRepeat && !held.hasBegun()) {
        const next = await retry(attempt);
        if (next.kind === NextKind.TryAgain) return next;
      }
      held.deliver();
      return DELIVERED;
    }
    case AskOutcomeKind.NotSent:
      services.health.noteBad(target);
      attempt.unreachable += 1;
      return attempt.unreachable > MAX_UNREACHABLE ? GIVE_UP : goOn(attempt);
    case AskOutcomeKind.NotRun:
      return retry(attempt);
    // Stopped while the caller still waits: too slow for a request that may be repeated.
    case AskOutcomeKind.Stopped:
    case AskOutcomeKind.Silent:
    case AskOutcomeKind.Broken:
      if (exchange.signal.aborted) return GIVE_UP;
      services.health.noteBad(target);
      return !mayRepeat || held.hasBegun() ? GIVE_UP : retry(attempt);
  }
}

/** Goes on at another target if there is one. */
async function goOn(attempt: Attempt): Promise<Next> {
  const target = await permittedTarget(attempt);
  return target === null ? GIVE_UP : { kind: NextKind.TryAgain, target };
}

/** The same for a further arrival: one that the route and the retry budget allow. */
async function retry(attempt: Attempt): Promise<Next> {
  const { exchange, services } = attempt;
  if (exchange.sends >= exchange.route.maxAttempts) return GIVE_UP;
  const next = await goOn(attempt);
  if (next.kind !== NextKind.TryAgain) return GIVE_UP;
  return services.budgets.take(exchange.service) ? next : GIVE_UP;
}

function giveUp({ exchange, services, limited }: Attempt, detail: string): void {
  const { response } = exchange;
  if (response.destroyed) return;
  if (response.headersSent) {
    // A part of the answer is out: only a broken connection tells the caller that it isn't whole.
    response.destroy();
    return;
  }
  const status = failureStatus(exchange, exchange.signal.aborted);
  const isRefusal = !exchange.mayHaveRun;
  const retryAfterMs = isRefusal ? comeBackInMs(services, limited) : null;
  if (isRefusal && limited.size > 0) logLimited(exchange, services, limited, retryAfterMs);
  sendOwnAnswer(response, services.wire, { status, reason: detail, retryAfterMs });
}

function comeBackInMs(
  { limits }: ForwardingServices,
  limited: ReadonlyMap<string, number>,
): number {
  if (limited.size === 0) return RETRY_AFTER_MS;
  return Math.max(RETRY_AFTER_MS, limits.askBackInMs(limited));
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
