/**
 * Sends the requests of one turn to its engines: a prefill to one engine, and the stream request to
 * another or the same one.
 */
import {
  JobEventKind,
  RequestedWork,
  SCHEDULER_OPTIONS,
  type TargetEntry,
  isActive,
  createByteBuffer,
} from '@cassiamast/coordination';
import type { PromptHandle } from '@cassiamast/ports';
import { type Result, err, ok } from 'neverthrow';
import {
  type AnswerSink,
  FIRST_FAILURE_STATUS,
  type FlowControl,
  type SendOutcome,
  SendOutcomeKind,
  sendToTarget,
} from './send-to-target.js';
import { announcementFields } from './announcement-fields.js';
import { type ForwardingServices, availableTarget } from './forwarding-services.js';
import { type Exchange, retriesOfPrefill, retriesOfRun } from './exchange.js';
import { countHandover, countSend } from './locality-counts.js';
import { type SilenceWatch, watchSilence } from './silence-watch.js';
import type { StreamPart } from './stream-relay.js';
import { type Turn, TurnEnd, reportFailed, report } from './stream-turn.js';

/**
 * Tolerance on the predicted prefill time before the target is checked for being unresponsive:
 * another prompt may be ahead in its queue, and predictions are sometimes wrong by half.
 */
const PREFILL_SLACK_RATIO = 2;
const PREFILL_SLACK_MS = 500;
/** Same for a stream without events: twice the longest gap that callers accept as on time. */
const STREAM_SILENCE_MS = 700;
/**
 * Requests a prefill for a stream at another engine. If it failed, nothing has run, and the error
 * says how the turn ends.
 */
export async function requestPrefill(
  turn: Turn,
  prefillTarget: TargetEntry,
): Promise<Result<PromptHandle, TurnEnd>> {
  const { exchange, services } = turn;
  const collected = collectBody();
  const allowedMs = turn.plan.predictedReadMs * PREFILL_SLACK_RATIO + PREFILL_SLACK_MS;
  const outcome = await send(
    turn,
    prefillTarget,
    { readOnly: true, from: null, allowedMs },
    collected.sink,
  );
  services.crashes.recordPrefill(exchange, prefillTarget, outcome);
  logSend(turn, prefillTarget, 'read prompt', outcome);
  const handle =
    outcome.kind === SendOutcomeKind.Complete ? services.wire.readHandle(collected.body()) : null;
  if (handle !== null) {
    turn.progress.noteRead();
    report(turn, JobEventKind.Read, prefillTarget.id);
    return ok({ address: prefillTarget.address, handle });
  }
  if (turn.progress.signal.aborted) return err(TurnEnd.Stopped);
  if (outcome.kind === SendOutcomeKind.OverBudget) return err(TurnEnd.OverBudget);
  if (outcome.kind === SendOutcomeKind.Withheld) {
    exchange.failedTargets.add(prefillTarget.id);
    return err(TurnEnd.NotServing);
  }
  if (outcome.kind !== SendOutcomeKind.Silent) {
    reportFailed(turn, prefillTarget, failureKind(outcome));
  }
  return err(TurnEnd.NotRun);
}

/** Requests the stream from a target and relays it to the caller. */
export async function requestStream(
  turn: Turn,
  target: TargetEntry,
  from: PromptHandle | null,
): Promise<TurnEnd> {
  const { exchange, plan } = turn;
  const part = turn.relay.beginPart();
  let isReadReported = plan.streamAt !== null;
  const sink: AnswerSink = {
    onHead: part.sink.onHead,
    onBytes: (bytes, flow) => {
      // Another attempt may have been sent since, and the first event takes its version from here.
      noteSent(exchange, target);
      const fault = part.sink.onBytes(bytes, flow);
      // The first event shows that the prompt was read; other bytes may be anything.
      if (!isReadReported && part.hasEvents()) {
        isReadReported = true;
        report(turn, JobEventKind.Read, target.id);
      }
      return fault;
    },
  };
  const allowedMs =
    STREAM_SILENCE_MS + (from === null ? plan.predictedReadMs * PREFILL_SLACK_RATIO : 0);
  const outcome = await send(turn, target, { readOnly: false, from, allowedMs }, sink);
  exchange.mayHaveRun ||= outcome.sent && outcome.kind !== SendOutcomeKind.NotRun;
  const isWhole = !isCutOff(outcome, part) || (await hadNothingLeft(turn, target, outcome, part));
  turn.services.crashes.recordRun(exchange, target, withStreamEnd(outcome, isWhole));
  logSend(turn, target, 'sent to target', outcome);
  const end = concludeTurn(turn, target, outcome, part, isWhole);
  // A prefill was already sent, so another turn sends a further one.
  return end === TurnEnd.NotServing && from !== null ? TurnEnd.NotRun : end;
}

/**
 * Returns whether a stream has broken off although its connection ended in order: it stops inside an
 * event, or before its first one, and its framing does not say that this is its end.
 */
function isCutOff({ endedWithConnection }: SendOutcome, part: StreamPart): boolean {
  return part.endedInsideEvent() || (endedWithConnection && !part.hasEvents());
}

/**
 * Resolves with whether an engine that was to go on with a stream had no event left: its answer ended
 * in order before the first one, and the engine lives on. One that dies ends its connection alike.
 */
async function hadNothingLeft(
  { exchange, relay, services }: Turn,
  target: TargetEntry,
  { endedWithConnection }: SendOutcome,
  part: StreamPart,
): Promise<boolean> {
  const isEmpty = endedWithConnection && !part.hasEvents() && !part.endedInsideEvent();
  const hasEarlierEvents = relay.lastEventId() !== null || exchange.head.lastEventId !== null;
  if (!isEmpty || !hasEarlierEvents) return false;
  return !(await services.probes.isDownNow(target));
}

/** Returns the outcome with what the events of its stream tell. */
function withStreamEnd(outcome: SendOutcome, isWhole: boolean): SendOutcome {
  if (isWhole) return outcome;
  const brokeOff = outcome.brokeOff || outcome.endedWithConnection;
  return { ...outcome, brokeOff, ranWhole: false, endedWithConnection: false };
}

function concludeTurn(
  turn: Turn,
  target: TargetEntry,
  outcome: SendOutcome,
  part: StreamPart,
  isWhole: boolean,
): TurnEnd {
  switch (outcome.kind) {
    case SendOutcomeKind.Withheld:
      turn.exchange.failedTargets.add(target.id);
      return TurnEnd.NotServing;
    case SendOutcomeKind.OverBudget:
      return TurnEnd.OverBudget;
    case SendOutcomeKind.Complete:
      if (!isWhole || !isDeliverable(turn, part)) {
        reportFailed(turn, target, JobEventKind.Broke);
        return TurnEnd.Broken;
      }
      turn.progress.noteAnswer();
      part.end();
      return TurnEnd.Delivered;
    case SendOutcomeKind.NotSent:
    case SendOutcomeKind.NotRun:
      // The target is unreachable, changing its phase or full, so other requests must avoid it as
      // well.
      reportFailed(turn, target, JobEventKind.Failed);
      return TurnEnd.NotRun;
    case SendOutcomeKind.Stopped:
    case SendOutcomeKind.Replaced:
      return TurnEnd.Stopped;
    case SendOutcomeKind.Silent:
      return TurnEnd.Broken;
    case SendOutcomeKind.Broken:
      reportFailed(turn, target, failureKind(outcome));
      return TurnEnd.Broken;
  }
}

/**
 * Returns whether a whole answer may be passed on: a stream must not look complete after a failure,
 * and a failure must not end an answer that another target may still bring.
 */
function isDeliverable({ exchange, progress }: Turn, part: StreamPart): boolean {
  return !part.hasFailed() || (!exchange.response.headersSent && progress.isAlone());
}

/**
 * A broken answer may concern this request only; any other failure means that the target is down.
 */
function failureKind(outcome: SendOutcome): JobEventKind {
  return outcome.kind === SendOutcomeKind.Broken ? JobEventKind.Broke : JobEventKind.Failed;
}

/** Options of one attempt. */
export interface SendOptions {
  readonly readOnly: boolean;
  readonly from: PromptHandle | null;
  /** After a longer silence, the target is checked for being unresponsive. */
  readonly allowedMs: number;
}

/** Sends the request to one target; tells of its answer, and whether it is overdue. */
async function send(
  turn: Turn,
  target: TargetEntry,
  options: SendOptions,
  sink: AnswerSink,
): Promise<SendOutcome> {
  const { exchange, services, relay, progress } = turn;
  noteSent(exchange, target);
  const headers = services.wire.targetHeaders(exchange.rawHeaders, {
    targetName: target.name,
    remainingTimeMs: Math.max(1, Math.floor(exchange.endsAtMs - services.nowMs())),
    prefillOnly: options.readOnly,
    from: options.from,
    fetchFrom: options.from === null ? addressOf(services, turn.plan.fetchFrom) : null,
    lastEventId: relay.lastEventId() ?? exchange.head.lastEventId,
    workspace: exchange.workspace,
    hidesKey: exchange.hidesKey,
    priority: enginePriority(exchange, services),
  });
  const { method, path, body, head } = exchange;
  const tokens = head.parts.reduce((sum, part) => sum + part.tokens, 0);
  const work = options.readOnly ? RequestedWork.Read : RequestedWork.Run;
  const retries = () => (options.readOnly ? retriesOfPrefill : retriesOfRun)(exchange);
  const onSent = (): void => {
    countSend(services, target, tokens);
    if (options.from !== null) countHandover(services, turn.plan.readAt, target, tokens);
    if (options.readOnly) {
      exchange.prefills += 1;
      return;
    }
    exchange.sends += 1;
    progress.noteRun();
  };
  const request = { attemptId: head.attemptId, work, onSent, retries, method, path, headers, body };
  const watch = watchSilence(turn, target, options);
  let hasFailed = false;
  const watchedSink: AnswerSink = {
    onHead: (received, rawHeaders) => {
      sink.onHead(received, rawHeaders);
      // A failure must not stop the attempts whose targets may still answer.
      hasFailed = received.status >= FIRST_FAILURE_STATUS;
      if (hasFailed) return;
      watch.noteBytes();
      if (!options.readOnly) progress.noteAnswer();
    },
    onBytes: (bytes, flow) => {
      if (!hasFailed) watch.noteBytes();
      return sink.onBytes(bytes, pausing(watch, flow));
    },
  };
  const outcome = await sendToTarget(services, target, request, watchedSink, watch.signal);
  if (outcome.kind === SendOutcomeKind.NotRun && !options.readOnly) exchange.rejections += 1;
  if (outcome.kind === SendOutcomeKind.Withheld) services.count('requests_withheld_total');
  watch.stop();
  return outcome.kind === SendOutcomeKind.Stopped ? explainStop(turn, watch, outcome) : outcome;
}

/** Returns the priority that engines are told, or null where the service has only one. */
function enginePriority(
  { priority, service }: Exchange,
  { view }: ForwardingServices,
): number | null {
  const prioritiesDiffer = view.table?.prioritizedServices.has(service) ?? false;
  return isActive(SCHEDULER_OPTIONS.enginePriority, prioritiesDiffer) ? priority : null;
}

/** Suspends a watch while the caller reads too slowly for more bytes. */
function pausing(watch: SilenceWatch, flow: FlowControl): FlowControl {
  return {
    pause: () => {
      watch.pause();
      flow.pause();
    },
    resume: () => {
      watch.resume();
      flow.resume();
    },
  };
}

function noteSent(exchange: Exchange, target: TargetEntry): void {
  exchange.lastTarget = target.id;
  exchange.sentVersion = target.version;
}

function explainStop({ exchange }: Turn, watch: SilenceWatch, outcome: SendOutcome): SendOutcome {
  if (exchange.signal.aborted) return outcome;
  const kind = watch.isSilent() ? SendOutcomeKind.Silent : SendOutcomeKind.Replaced;
  return { ...outcome, kind, detail: kind };
}

function collectBody(): {
  readonly sink: AnswerSink;
  readonly body: () => Buffer;
} {
  const parts = createByteBuffer();
  return {
    sink: {
      onHead: () => undefined,
      onBytes: (bytes) => {
        parts.append(bytes);
        return null;
      },
    },
    body: () => parts.take(),
  };
}

function addressOf(services: ForwardingServices, id: string | null): string | null {
  return id === null ? null : (availableTarget(services, id)?.address ?? null);
}

/**
 * Releases a prefilled prompt that won't be fetched. It would occupy memory until it expires, which
 * is left to a target that must not be sent anything.
 */
export function freeHandle(
  services: ForwardingServices,
  prefillTarget: TargetEntry,
  from: PromptHandle,
): void {
  if (services.withholdReason(prefillTarget) !== null) return;
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

function logSend(turn: Turn, target: TargetEntry, message: string, outcome: SendOutcome): void {
  const { exchange, services } = turn;
  services.log.info(message, {
    request: exchange.id,
    target: target.id,
    send: exchange.sends,
    prefills: exchange.prefills,
    outcome: outcome.kind,
    detail: outcome.detail,
    ...announcementFields(outcome.announced),
    ageMs: Math.round(services.nowMs() - exchange.receivedAtMs),
  });
}
