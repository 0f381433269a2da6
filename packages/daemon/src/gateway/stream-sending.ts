/**
 * The sendings of one turn: having a prompt read by one engine, and having its stream made by
 * another or the same one. A target that goes silent is left where the request may go on elsewhere.
 */
import { AskedWork, JobEventKind, type TargetEntry, servingTarget } from '@cassiamast/coordination';
import type { PromptHandle } from '@cassiamast/ports';
import { type AnswerSink, type AskOutcome, AskOutcomeKind, askTarget } from './ask-target.js';
import { noteForCrashes } from './crash-reports.js';
import type { ForwardingServices } from './forwarding-services.js';
import { watchSilence } from './silence-watch.js';
import { type Turn, TurnEnd, noteFailed, report } from './stream-turn.js';

/**
 * A reading that takes so much longer than was predicted is looked at: another prompt may be before
 * it, and the prediction is off by a half at times.
 */
const READ_SLACK_RATIO = 2;
const READ_SLACK_MS = 500;
/** The same for a stream that brings nothing: twice the longest pause that callers call on time. */
const STREAM_SILENCE_MS = 700;
/** One reason for all sendings that end early: a signal's own one carries a stack, which costs. */
const SEND_STOPPED = new Error('the exchange is over, or its target silent');

/** Has a prompt read for another engine; null when that failed, after which nothing has run. */
export async function readAt(turn: Turn, reader: TargetEntry): Promise<PromptHandle | null> {
  const { exchange, services } = turn;
  const held = holdBody();
  const allowedMs = turn.plan.predictedReadMs * READ_SLACK_RATIO + READ_SLACK_MS;
  const outcome = await send(turn, reader, { readOnly: true, from: null, allowedMs }, held.sink);
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
export async function streamAt(
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
  const outcome = await send(turn, target, { readOnly: false, from, allowedMs }, watched);
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

/** How a request is sent. */
interface Sending {
  readonly readOnly: boolean;
  readonly from: PromptHandle | null;
  /** A silence that is longer is looked at. */
  readonly allowedMs: number;
}

/** Sends the request to one target, and gives up a target that went silent. */
async function send(
  turn: Turn,
  target: TargetEntry,
  how: Sending,
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
  const work = how.readOnly ? AskedWork.Read : AskedWork.Run;
  const request = { attemptId: head.attemptId, work, method, path, headers, body };
  // A stream that must not run twice waits on: what is silent may still be at work on it.
  const mayMove = how.readOnly || exchange.route.resumable;
  const stopped = new AbortController();
  const stop = (): void => {
    stopped.abort(SEND_STOPPED);
  };
  if (exchange.signal.aborted) stop();
  exchange.signal.addEventListener('abort', stop);
  const watch = watchSilence(services, target.id, how.allowedMs, () => {
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

function addressOf(services: ForwardingServices, id: string | null): string | null {
  return id === null ? null : (servingTarget(services.view, id, services.nowMs())?.address ?? null);
}

/** Lets go of a prompt that nobody will fetch; it would lapse by itself, and fill memory until then. */
export function freeHandle(services: ForwardingServices, from: PromptHandle): void {
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
    limitPerS: outcome.limitPerS ?? undefined,
    ageMs: Math.round(services.nowMs() - exchange.receivedAtMs),
  });
}
