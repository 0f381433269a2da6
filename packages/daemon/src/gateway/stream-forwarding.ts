/**
 * The way of a request to a service of engines: it waits for its turn, its prompt is read, perhaps
 * by one engine for another, and its stream is passed on. A resumable stream that breaks off goes
 * on at another engine within the same answer; any other one is visibly broken.
 */
import {
  type Decision,
  DecisionKind,
  JobEventKind,
  type Plan,
  type TargetEntry,
  hasStartedAgain,
  servingTarget,
} from '@cassiamast/coordination';
import type { PromptHandle } from '@cassiamast/ports';
import { type AnswerSink, type AskOutcome, AskOutcomeKind, askTarget } from './ask-target.js';
import { noteForCrashes } from './crash-reports.js';
import { type Exchange, callerLeft } from './exchange.js';
import { type ForwardingServices, newsAgeMs } from './forwarding-services.js';
import { failureStatus, sendOwnAnswer } from './own-answer.js';
import { jobOf } from './engine-job.js';
import { watchSilence } from './silence-watch.js';
import { type StreamRelay, createStreamRelay } from './stream-relay.js';

/** Times that one request asks for engines: a first one and some after failures. */
const MAX_TURNS = 4;
/**
 * Arrivals at engines that a further turn may add: one to have the prompt read, one to go on. Only
 * the first reading of a request is free.
 */
const ARRIVALS_PER_TURN = 2;
/**
 * A reading that takes so much longer than was predicted is looked at: another prompt may be before
 * it, and the prediction is off by a half at times.
 */
const READ_SLACK_RATIO = 2;
const READ_SLACK_MS = 500;
/** The same for a stream that brings nothing: twice the longest pause that callers call on time. */
const STREAM_SILENCE_MS = 700;
/** When a caller is asked back whose engine failed before it ran anything. */
const RETRY_AFTER_MS = 300;
/** One reason for all sendings that end early: a signal's own one carries a stack, which costs. */
const SEND_STOPPED = new Error('the exchange is over, or its target silent');
/** The scheduler's decision not to give a request an engine. */
type Refusal = Extract<Decision, { readonly kind: DecisionKind.Refuse }>;

/** One turn of an exchange at engines. */
interface Turn {
  readonly exchange: Exchange;
  readonly services: ForwardingServices;
  readonly relay: StreamRelay;
  readonly jobId: string;
  readonly schedulerId: string;
  readonly plan: Plan;
}

/** How a turn ended. */
enum TurnEnd {
  Delivered = 'delivered',
  /** Nothing ran; another turn may be taken. */
  NotRun = 'not-run',
  /** Nothing was sent: what was granted is leaving, as this gateway knows and the scheduler not. */
  NotServing = 'not-serving',
  /** The stream broke off, or may have run unseen. */
  Broken = 'broken',
  Stopped = 'stopped',
}

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

function addressOf(services: ForwardingServices, id: string | null): string | null {
  return id === null ? null : (servingTarget(services.view, id, services.nowMs())?.address ?? null);
}

/** Has a prompt read for another engine; null when that failed, after which nothing has run. */
async function readAt(turn: Turn, reader: TargetEntry): Promise<PromptHandle | null> {
  const { exchange, services } = turn;
  const held = holdBody();
  const allowedMs = turn.plan.predictedReadMs * READ_SLACK_RATIO + READ_SLACK_MS;
  const outcome = await ask(turn, reader, { readOnly: true, from: null, allowedMs }, held.sink);
  // A prompt that was read whole says nothing yet: it may crash what makes its tokens.
  if (outcome.brokeOff) services.crashes.noteCrash(exchange, reader.id);
  logSend(turn, reader, 'read prompt', outcome);
  const handle =
    outcome.kind === AskOutcomeKind.Complete ? services.wire.readHandle(held.body()) : null;
  if (handle !== null) {
    report(turn, JobEventKind.Read, reader.id);
    return { address: reader.address, handle };
  }
  if (!exchange.signal.aborted) noteFailed(turn, reader, failureKind(outcome));
  return null;
}

/** Has the stream made and passes it on. */
async function streamAt(
  turn: Turn,
  target: TargetEntry,
  from: PromptHandle | null,
): Promise<TurnEnd> {
  const { exchange, relay, plan } = turn;
  const sink = relay.nextSink();
  const watched = {
    ...sink,
    onBytes: (bytes: Buffer, flow: Parameters<typeof sink.onBytes>[1]) => {
      if (plan.streamAt === null) report(turn, JobEventKind.Read, target.id);
      return sink.onBytes(bytes, flow);
    },
  };
  const allowedMs =
    STREAM_SILENCE_MS + (from === null ? plan.predictedReadMs * READ_SLACK_RATIO : 0);
  const outcome = await ask(turn, target, { readOnly: false, from, allowedMs }, watched);
  if (outcome.sent) exchange.sends += 1;
  exchange.mayHaveRun ||= outcome.sent && outcome.kind !== AskOutcomeKind.NotRun;
  noteForCrashes(exchange, turn.services, target.id, outcome);
  logSend(turn, target, 'sent to target', outcome);
  return judgeStream(turn, target, outcome);
}

function judgeStream(turn: Turn, target: TargetEntry, outcome: AskOutcome): TurnEnd {
  const { relay } = turn;
  switch (outcome.kind) {
    case AskOutcomeKind.Complete:
      if (relay.isCutInside() || relay.isFailureInside()) {
        noteFailed(turn, target, JobEventKind.Broke);
        return TurnEnd.Broken;
      }
      relay.end();
      return TurnEnd.Delivered;
    case AskOutcomeKind.NotSent:
    case AskOutcomeKind.NotRun:
      // It can't be reached, changes its phase or is full: others must not be sent there either.
      noteFailed(turn, target, JobEventKind.Failed);
      return TurnEnd.NotRun;
    case AskOutcomeKind.Stopped:
      return TurnEnd.Stopped;
    case AskOutcomeKind.Silent:
    case AskOutcomeKind.Broken:
      noteFailed(turn, target, failureKind(outcome));
      return TurnEnd.Broken;
  }
}

/** An answer that broke off may be bad luck; whatever else fails says that the target is away. */
function failureKind(outcome: AskOutcome): JobEventKind {
  return outcome.kind === AskOutcomeKind.Broken ? JobEventKind.Broke : JobEventKind.Failed;
}

/** How a target is asked. */
interface Asking {
  readonly readOnly: boolean;
  readonly from: PromptHandle | null;
  /** A silence that is longer is looked at. */
  readonly allowedMs: number;
}

async function ask(
  turn: Turn,
  target: TargetEntry,
  how: Asking,
  sink: AnswerSink,
): Promise<AskOutcome> {
  const { exchange, services, relay } = turn;
  exchange.lastTarget = target.id;
  const headers = services.wire.targetHeaders(exchange.rawHeaders, {
    targetName: target.name,
    patienceMs: Math.max(1, Math.floor(exchange.endsAtMs - services.nowMs())),
    readOnly: how.readOnly,
    from: how.from,
    fetchFrom: how.from === null ? addressOf(services, turn.plan.fetchFrom) : null,
    lastEventId: relay.lastEventId() ?? exchange.head.lastEventId,
  });
  const { method, path, body, head } = exchange;
  const request = { attemptId: head.attemptId, method, path, headers, body };
  // A stream that must not run twice waits on: what is silent may still be at work on it.
  const mayMove = how.readOnly || exchange.route.resumable;
  const stopped = new AbortController();
  const stop = (): void => {
    stopped.abort(SEND_STOPPED);
  };
  if (exchange.signal.aborted) stop();
  exchange.signal.addEventListener('abort', stop);
  const watch = watchSilence(services.pulse, target.id, how.allowedMs, services.nowMs, () => {
    services.count('silent_targets_total');
    if (mayMove) stop();
    else report(turn, JobEventKind.Failed, target.id);
  });
  const heard: AnswerSink = {
    onHead: sink.onHead,
    onBytes: (bytes, flow) => {
      watch.noteBytes();
      return sink.onBytes(bytes, flow);
    },
  };
  const outcome = await askTarget(services, target, request, heard, stopped.signal);
  watch.stop();
  exchange.signal.removeEventListener('abort', stop);
  const isSilent = outcome.kind === AskOutcomeKind.Stopped && !exchange.signal.aborted;
  return isSilent ? { ...outcome, kind: AskOutcomeKind.Silent, detail: 'silent' } : outcome;
}

function holdBody(): {
  readonly sink: AnswerSink;
  readonly body: () => Buffer;
} {
  const parts: Buffer[] = [];
  return {
    sink: {
      onHead: () => undefined,
      onBytes: (bytes) => {
        parts.push(bytes);
        return null;
      },
    },
    body: () => Buffer.concat(parts),
  };
}

function noteFailed(turn: Turn, target: TargetEntry, kind: JobEventKind): void {
  turn.exchange.failedTargets.add(target.id);
  report(turn, kind, target.id);
}

function report(turn: Turn, kind: JobEventKind, target: string): void {
  const { exchange, services } = turn;
  services.scheduling.report(exchange.service, turn.schedulerId, kind, turn.jobId, target);
}

/** Lets go of a prompt that nobody will fetch; it would lapse by itself, and fill memory until then. */
function freeHandle(services: ForwardingServices, from: PromptHandle): void {
  const request = {
    origin: `http://${from.address}`,
    method: 'DELETE' as const,
    path: services.wire.handlePath(from.handle),
    headers: {},
    body: null,
  };
  void services.transport.exchange(request, FREE_LIMITS);
}

const FREE_LIMITS = { timeoutMs: 1000, maxAnswerBytes: 65_536 };

function logSend(turn: Turn, target: TargetEntry, message: string, outcome: AskOutcome): void {
  const { exchange, services } = turn;
  services.log.info(message, {
    request: exchange.id,
    target: target.id,
    send: exchange.sends,
    outcome: outcome.kind,
    detail: outcome.detail,
    ageMs: Math.round(services.nowMs() - exchange.receivedAtMs),
  });
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
