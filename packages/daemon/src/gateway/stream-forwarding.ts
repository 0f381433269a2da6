/**
 * The way of a request to a service of engines: it waits for its turn, its prompt is read, perhaps
 * by one engine for another, and its stream is passed on. A resumable stream that breaks off goes
 * on at another engine within the same answer; any other one is visibly broken.
 */
import {
  type Decision,
  DecisionKind,
  JobEventKind,
  type TargetEntry,
  hasStartedAgain,
  servingTarget,
} from '@cassiamast/coordination';
import { jobOf } from './engine-job.js';
import { type Exchange, callerLeft } from './exchange.js';
import { type ForwardingServices, newsAgeMs } from './forwarding-services.js';
import { failureStatus, sendOwnAnswer } from './own-answer.js';
import { createStreamRelay } from './stream-relay.js';
import { freeHandle, readAt, streamAt } from './stream-sending.js';
import { type Turn, TurnEnd, report } from './stream-turn.js';

/** Times that one request asks for engines: a first one and some after failures. */
const MAX_TURNS = 4;
/**
 * Arrivals at engines that a further turn may add: one to have the prompt read, one to go on. Only
 * the first reading of a request is free.
 */
const ARRIVALS_PER_TURN = 2;
/** When a caller is asked back whose engine failed before it ran anything. */
const RETRY_AFTER_MS = 300;
/** The scheduler's decision not to give a request an engine. */
type Refusal = Extract<Decision, { readonly kind: DecisionKind.Refuse }>;

/** Forwards a request; resolves when its answer is handed over or it was given up. */
export async function forwardStream(
  exchange: Exchange,
  services: ForwardingServices,
): Promise<void> {
  const relay = createStreamRelay(exchange.response, services.wire, {
    onFirstEvent: () => {
      exchange.firstEventMs ??= Math.round(services.nowMs() - exchange.receivedAtMs);
      services.record('first_event_ms', exchange.firstEventMs);
    },
  });
  services.budgets.noteRequest(exchange.service);
  let detail = '';
  for (let turn = 1; turn <= MAX_TURNS && !exchange.signal.aborted; turn += 1) {
    const jobId = `${exchange.id}/${String(turn)}`;
    const answer = await services.scheduling.take(
      exchange.service,
      () => jobOf(exchange, services, jobId),
      exchange.signal,
    );
    if (answer === null) break;
    const { decision, schedulerId } = answer;
    if (decision.kind === DecisionKind.Refuse) {
      logRefusal(exchange, services, schedulerId, decision);
      giveUp(exchange, services, decision.reason, decision.retryAfterMs);
      return;
    }
    const taken: Turn = { exchange, services, relay, jobId, schedulerId, plan: decision.plan };
    const end = await runTurn(taken);
    const isServed = end === TurnEnd.Delivered;
    report(taken, isServed ? JobEventKind.Served : JobEventKind.Ended, exchange.lastTarget);
    if (isServed) return;
    if (end === TurnEnd.Stopped) break;
    detail = `engine ${exchange.lastTarget}: ${end}`;
    if (!mayGoOn(exchange, services, end)) break;
  }
  giveUp(exchange, services, detail, RETRY_AFTER_MS);
}

/** Whether another turn is allowed after one that failed. */
function mayGoOn(exchange: Exchange, services: ForwardingServices, end: TurnEnd): boolean {
  if (end === TurnEnd.NotServing) return true;
  if (end === TurnEnd.Broken && !exchange.route.resumable) return false;
  if (exchange.sends >= exchange.route.maxAttempts) return false;
  return services.budgets.take(exchange.service, ARRIVALS_PER_TURN);
}

async function runTurn(turn: Turn): Promise<TurnEnd> {
  const { exchange, services, plan } = turn;
  const reader = servingTarget(services.view, plan.readAt, services.nowMs());
  const streamer =
    plan.streamAt === null ? reader : servingTarget(services.view, plan.streamAt, services.nowMs());
  if (reader === null || streamer === null) return refuseGrant(turn);
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
  if (plan.streamAt === null) return streamAt(turn, reader, null);
  const handle = await readAt(turn, reader);
  if (handle === null) return exchange.signal.aborted ? TurnEnd.Stopped : TurnEnd.NotRun;
  if (hasStartedAgain(services.view, reader)) return refuseHandle(turn, reader);
  const end = await streamAt(turn, streamer, handle);
  if (end !== TurnEnd.Delivered) freeHandle(services, handle);
  return end;
}

/**
 * Guards against a scheduler that is cut off from the store and does not know that a target leaves:
 * it shows as new work that reaches a target seconds after its leaving was accepted. The gateway
 * that sends looks at its own news.
 */
function refuseGrant({ exchange, services, plan, schedulerId }: Turn): TurnEnd {
  for (const id of [plan.readAt, plan.streamAt]) {
    if (id === null || servingTarget(services.view, id, services.nowMs()) !== null) continue;
    exchange.failedTargets.add(id);
    services.log.warn('grant not taken', {
      request: exchange.id,
      scheduler: schedulerId,
      target: id,
      reason: 'the target leaves',
      newsAgeMs: newsAgeMs(services),
    });
  }
  return TurnEnd.NotServing;
}

/**
 * Guards against a handle of an engine that has started again since: the new start may have given
 * the same handle to another prompt, and it shows as an answer to somebody else's question.
 */
function refuseHandle({ exchange, services }: Turn, reader: TargetEntry): TurnEnd {
  exchange.failedTargets.add(reader.id);
  services.log.warn('prompt not fetched', {
    request: exchange.id,
    target: reader.id,
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
  services.log.info('engine refused', {
    request: exchange.id,
    scheduler,
    reason: decision.reason,
    retryAfterMs: Math.round(decision.retryAfterMs),
    aheadMs: Math.round(decision.aheadMs),
    waitingJobs: decision.waitingJobs,
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
    // A part of the stream is out: only a broken connection tells the caller that it isn't whole.
    response.destroy();
    return;
  }
  const status = failureStatus(exchange, exchange.signal.aborted);
  const answer = { status, reason, retryAfterMs: exchange.mayHaveRun ? null : retryAfterMs };
  sendOwnAnswer(response, services.wire, answer);
}
