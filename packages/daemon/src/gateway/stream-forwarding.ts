/**
 * Forwards requests to services of engines. A request is queued at the scheduler, its prompt is
 * prefilled, possibly by another engine than the one that decodes, and the stream is relayed. A
 * resumable stream that breaks off continues at another engine within the same answer; for any
 * other stream, the caller's connection is closed. While an engine is silent, its answer stays open
 * and another engine is tried.
 */
import {
  type Decision,
  DecisionKind,
  JobEventKind,
  type TargetEntry,
  hasRestarted,
} from '@cassiamast/coordination';
import { createJobRequest } from './engine-job.js';
import { type Exchange, callerLeft, replaceRetries } from './exchange.js';
import {
  type ForwardingServices,
  availableTarget,
  newsAgeMs,
  unavailableBecause,
} from './forwarding-services.js';
import {
  DEADLINE_REASON,
  quarantinedAnswer,
  cutAnswer,
  failureStatus,
  revokedAnswer,
  sendOwnAnswer,
} from './own-answer.js';
import { type StreamRelay, createStreamRelay } from './stream-relay.js';
import { freeHandle, requestPrefill, requestStream } from './engine-requests.js';
import { type OpenAttempts, createOpenAttempts } from './open-attempts.js';
import { SendOutcomeKind } from './send-to-target.js';
import { type Turn, TurnEnd, report } from './stream-turn.js';

/** Maximum number of turns of one request: the first one and a few after failures. */
const MAX_TURNS = 4;
/** Retry-after time if the engine failed before the request ran. */
const RETRY_AFTER_MS = 300;
/** The scheduler's decision not to give a request an engine. */
type Refusal = Extract<Decision, { readonly kind: DecisionKind.Refuse }>;

/** The state of one request while turns are taken. */
interface Stream {
  readonly exchange: Exchange;
  readonly services: ForwardingServices;
  readonly relay: StreamRelay;
  readonly turns: OpenAttempts<TurnEnd>;
  /** Number of turns that the scheduler was asked for, and of those that it granted. */
  turnsAsked: number;
  turnsTaken: number;
}

/** Forwards a request; resolves when its answer is delivered or no further turn may be taken. */
export async function forwardStream(
  exchange: Exchange,
  services: ForwardingServices,
): Promise<void> {
  const relay = createStreamRelay(exchange.response, services.wire, {
    onFirstEvent: () => {
      exchange.firstEventMs ??= Math.round(services.nowMs() - exchange.receivedAtMs);
      services.record('first_event_ms', exchange.firstEventMs);
      services.versions.noteBegun(exchange);
      services.usage.noteBegun(exchange, services.nowMs());
    },
    onEvents: () => {
      exchange.lastEventAtMs = services.nowMs();
    },
  });
  services.budgets.noteRequest(exchange.service);
  const refused = await services.versions.takeUp(exchange);
  if (refused !== null) {
    giveUp(exchange, services, refused.reason, refused.retryAfterMs);
    return;
  }
  const turns = createOpenAttempts<TurnEnd>(exchange.signal, exchange.route.resumable);
  const stream: Stream = { exchange, services, relay, turns, turnsAsked: 0, turnsTaken: 0 };
  let detail = '';
  let needsTurn = true;
  while (!exchange.signal.aborted) {
    const refusal = needsTurn ? await askForTurn(stream) : null;
    if (refusal !== null && !turns.areOpen()) {
      giveUp(exchange, services, refusal.reason, refusal.retryAfterMs);
      return;
    }
    // While nobody else takes the request, the answers of silent targets are awaited.
    if ((refusal !== null || !needsTurn) && turns.areOpen()) await turns.changed(RETRY_AFTER_MS);
    // While the targets of all turns are silent, null: the request may be tried elsewhere.
    const end = await turns.next();
    if (end === TurnEnd.Delivered) return;
    if (end === TurnEnd.Stopped) break;
    detail = `engine ${exchange.lastTarget}: ${end ?? SendOutcomeKind.Silent}`;
    const gone = services.versions.refusal(exchange);
    needsTurn = gone === null && mayTakeAnotherTurn(stream, end);
    detail = gone?.reason ?? detail;
    if (!needsTurn && !turns.areOpen()) break;
    if (needsTurn) await services.crashes.whenDecided(exchange);
    // The answer may have gone on or ended meanwhile.
    if (end === null && !turns.areAllOverdue()) needsTurn = false;
  }
  if ((await turns.over()) === TurnEnd.Delivered) return;
  const availableInMs = services.availability.callerRetryInMs(exchange.service);
  giveUp(exchange, services, detail, Math.max(RETRY_AFTER_MS, availableInMs));
}

/** Asks the scheduler for engines and begins a turn with them; returns the refusal if there are none. */
async function askForTurn(stream: Stream): Promise<Refusal | null> {
  const { exchange, services, relay, turns } = stream;
  stream.turnsAsked += 1;
  const jobId = `${exchange.id}/${String(stream.turnsAsked)}`;
  const answer = await services.scheduling.take(
    exchange.service,
    () => createJobRequest(exchange, services, jobId),
    turns.untilAnswer(),
  );
  if (answer === null) return null;
  const { decision, schedulerId, hasLostAnswer } = answer;
  if (hasLostAnswer) exchange.turnVersions.assigned.add(null);
  if (decision.kind === DecisionKind.Refuse) {
    logRefusal(exchange, services, schedulerId, decision);
    return decision;
  }
  stream.turnsTaken += 1;
  const { readAt, streamAt } = decision.plan;
  noteAssigned(exchange, services, streamAt ?? readAt);
  const grant = { exchange, services, relay, jobId, schedulerId, plan: decision.plan };
  turns.begin((progress) => takeTurn({ ...grant, progress }));
  return null;
}

/** Records the version of the engine that a turn was assigned, which may not be known here. */
function noteAssigned(
  { turnVersions }: Exchange,
  { view }: ForwardingServices,
  engine: string,
): void {
  turnVersions.assigned.add(view.targets.get(engine)?.entry.version ?? null);
}

async function takeTurn(turn: Turn): Promise<TurnEnd> {
  const { exchange, services, jobId } = turn;
  const end = await runTurn(turn).finally(() => {
    services.versions.endTurn(exchange, jobId);
  });
  const kind = end === TurnEnd.Delivered ? JobEventKind.Served : JobEventKind.Ended;
  report(turn, kind, turn.plan.streamAt ?? turn.plan.readAt);
  return end;
}

/** Returns whether another turn is allowed after a failed one, or beside silent ones (null). */
function mayTakeAnotherTurn(
  { exchange, services, turnsTaken }: Stream,
  end: TurnEnd | null,
): boolean {
  if (turnsTaken >= MAX_TURNS) return false;
  if (end === TurnEnd.NotServing) return true;
  if (end === TurnEnd.OverBudget) return false;
  if (end === TurnEnd.Broken && !exchange.route.resumable) return false;
  if (exchange.isTrial || exchange.isRevoked || exchange.sends >= exchange.route.maxAttempts)
    return false;
  const arrivals = furtherArrivals(exchange);
  replaceRetries(exchange, services.budgets.reserve(exchange.service, exchange.id, arrivals));
  return exchange.retries !== null;
}

/**
 * Returns how many requests of the next turn count against the retry budget: its prefill and its
 * stream request, each unless it is the first one.
 */
function furtherArrivals({ prefills, sends }: Exchange): number {
  return Math.min(1, prefills) + Math.min(1, sends);
}

async function runTurn(turn: Turn): Promise<TurnEnd> {
  const { exchange, services, plan } = turn;
  const prefillTarget = availableTarget(services, plan.readAt);
  const decodeTarget =
    plan.streamAt === null ? prefillTarget : availableTarget(services, plan.streamAt);
  if (prefillTarget === null || decodeTarget === null) return rejectGrant(turn);
  for (const target of [prefillTarget, decodeTarget]) {
    if (!fitsVersion(exchange, target)) {
      const reason = `the stream began at version ${String(exchange.version)}, not ${target.version}`;
      return rejectVersion(turn, target, reason);
    }
  }
  const rejection = await services.versions.beginTurn(exchange, turn.jobId, decodeTarget);
  if (rejection !== null) return rejectVersion(turn, decodeTarget, rejection);
  services.log.info('engine granted', {
    request: exchange.id,
    scheduler: turn.schedulerId,
    readAt: plan.readAt,
    streamAt: plan.streamAt,
    waitedMs: Math.round(plan.waitedMs),
    fetchFrom: plan.fetchFrom,
    missingTokens: plan.missingTokens,
    predictedReadMs: Math.round(plan.predictedReadMs),
    newsAgeMs: newsAgeMs(services),
  });
  services.record('queue_wait_ms', plan.waitedMs);
  if (plan.streamAt === null) {
    return (await mayRun(turn)) ? requestStream(turn, prefillTarget, null) : TurnEnd.Broken;
  }
  const handle = await requestPrefill(turn, prefillTarget);
  if (handle.isErr()) return handle.error;
  if (hasRestarted(services.view, prefillTarget)) return rejectHandle(turn, prefillTarget);
  if (!(await mayRun(turn))) {
    freeHandle(services, prefillTarget, handle.value);
    return TurnEnd.Broken;
  }
  const end = await requestStream(turn, decodeTarget, handle.value);
  if (end !== TurnEnd.Delivered) freeHandle(services, prefillTarget, handle.value);
  return end;
}

/** Resolves with whether a stream may be sent to be run, which must not run twice unless it may resume. */
async function mayRun({ exchange, progress }: Turn): Promise<boolean> {
  await progress.whenAloneToRun();
  const { mayHaveRun, route } = exchange;
  return !progress.signal.aborted && (route.resumable || !mayHaveRun);
}

/**
 * Rejects a grant of an engine that is leaving or backing off as far as this gateway knows. A scheduler
 * that is cut off from the store does not see that an engine leaves; without this check, the engine
 * would receive new work seconds after its departure was accepted.
 */
function rejectGrant({ exchange, services, plan, schedulerId }: Turn): TurnEnd {
  for (const id of [plan.readAt, plan.streamAt]) {
    const reason = id === null ? null : unavailableBecause(services, id);
    if (id === null || reason === null) continue;
    exchange.failedTargets.add(id);
    services.log.warn('grant rejected', {
      request: exchange.id,
      scheduler: schedulerId,
      target: id,
      reason,
      newsAgeMs: newsAgeMs(services),
    });
  }
  return TurnEnd.NotServing;
}

function fitsVersion({ version }: Exchange, target: TargetEntry): boolean {
  return version === null || target.version === version;
}

/**
 * Rejects a grant of an engine at whose version the turn must not run. A scheduler may know engines
 * that this gateway did not name when it asked.
 */
function rejectVersion(
  { exchange, services, schedulerId }: Turn,
  target: TargetEntry,
  reason: string,
): TurnEnd {
  exchange.failedTargets.add(target.id);
  services.log.warn('grant rejected', {
    request: exchange.id,
    scheduler: schedulerId,
    target: target.id,
    reason,
    newsAgeMs: newsAgeMs(services),
  });
  return TurnEnd.NotServing;
}

/**
 * Rejects a prompt handle of an engine that has restarted since the prefill. The new incarnation
 * may use the same handle for another prompt, and the caller would get the answer to that one.
 */
function rejectHandle({ exchange, services }: Turn, prefillTarget: TargetEntry): TurnEnd {
  exchange.failedTargets.add(prefillTarget.id);
  services.log.warn('prompt not fetched', {
    request: exchange.id,
    target: prefillTarget.id,
    reason: 'the engine that read it has started again',
    newsAgeMs: newsAgeMs(services),
  });
  return TurnEnd.NotRun;
}

function logRefusal(
  exchange: Exchange,
  services: ForwardingServices,
  scheduler: string,
  decision: Refusal,
): void {
  services.count('engine_refusals_total');
  if (decision.isRetry === true) services.count('engine_refusals_of_retries_total');
  services.log.info('engine refused', {
    request: exchange.id,
    scheduler,
    reason: decision.reason,
    retryAfterMs: Math.round(decision.retryAfterMs),
    aheadMs: Math.round(decision.aheadMs),
    waitingJobs: decision.waitingJobs,
    isRetry: decision.isRetry ?? false,
    ageMs: Math.round(services.nowMs() - exchange.receivedAtMs),
    newsAgeMs: newsAgeMs(services),
  });
}

function giveUp(
  exchange: Exchange,
  services: ForwardingServices,
  reason: string,
  retryAfterMs: number,
): void {
  const { response } = exchange;
  if (callerLeft(exchange)) return;
  if (response.headersSent) {
    cutAnswer(exchange, services, exchange.signal.aborted ? DEADLINE_REASON : reason);
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
  const answer = { status, reason, retryAfterMs: exchange.mayHaveRun ? null : retryAfterMs };
  sendOwnAnswer(response, services.wire, answer);
}
