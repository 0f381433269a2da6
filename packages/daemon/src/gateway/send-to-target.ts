/**
 * Sends a request to one target, once, and accepts only the answer to this very request: a target
 * may send a late answer to an earlier request or malformed bytes, or break the connection. The
 * outcome distinguishes requests that were never sent, requests that the target declares not to
 * have run, and requests that may have run.
 */
import { RequestedWork, type TargetEntry } from '@cassiamast/coordination';
import {
  type AnswerHead,
  type CallerWire,
  type HttpStream,
  type HttpTransport,
  NOTHING_ANNOUNCED,
  type TargetAnnouncement,
} from '@cassiamast/ports';
import type { StallWatch } from '../node/stall-watch.js';
import { type ShortBody, watchShortBody } from './short-body.js';
import type { RetryReservation } from './retry-budgets.js';
import type { TargetActivity } from './target-activity.js';

/** The lowest HTTP status that is not a success. */
export const FIRST_FAILURE_STATUS = 300;

/** How an attempt to send a request ended. */
export enum SendOutcomeKind {
  /** The complete answer was received. */
  Complete = 'complete',
  /** No byte of the request reached the target. */
  NotSent = 'not-sent',
  /** Nothing was sent because the target must not receive requests any more. */
  Withheld = 'withheld',
  /** Nothing was sent because the retry budget has no room any more. */
  OverBudget = 'over-budget',
  /** The target declared that it did not run the request. */
  NotRun = 'not-run',
  /** The connection broke, or the answer is invalid or another request's; it may have run. */
  Broken = 'broken',
  /** The signal aborted the attempt; the request may have run if it was sent. */
  Stopped = 'stopped',
  /** The attempt was abandoned because the target is unresponsive; the request may have run. */
  Silent = 'silent',
  /** The attempt was stopped as the request goes on at another target. */
  Replaced = 'replaced',
}

/** The outcome of one attempt. */
export interface SendOutcome {
  readonly kind: SendOutcomeKind;
  /** Whether any byte of the request left this process. */
  readonly sent: boolean;
  /** Description of the outcome for the log. */
  readonly detail: string;
  /**
   * Whether the connection broke while the target may have been running the request, as in a crash.
   */
  readonly brokeOff: boolean;
  /**
   * Whether the target ran the request to its end: it sent a complete success. A failure may come
   * from in front of the run, and a body that ends with its connection may be cut off.
   */
  readonly ranWhole: boolean;
  /** Whether a success ended with its connection, so that its framing does not tell its end. */
  readonly endedWithConnection: boolean;
  /** What the answer says about the target. */
  readonly announced: TargetAnnouncement;
}

/** The request that is sent to a target. */
export interface TargetRequest {
  readonly attemptId: string | null;
  /** The work that the target is asked to do. */
  readonly work: RequestedWork;
  /** Called right before the first byte is sent. */
  readonly onSent?: () => void;
  /**
   * Called right before the first byte is sent, since a send that waits for a connection may be
   * overtaken by one that began later. Returns the retry budget that this send draws on; null for
   * the first send of a request.
   */
  readonly retries: () => Pick<RetryReservation, 'open'> | null;
  readonly method: string;
  readonly path: string;
  /** Alternating header names and values. */
  readonly headers: readonly string[];
  readonly body: Buffer;
}

/** Receives the answer. */
export interface AnswerSink {
  readonly onHead: (head: AnswerHead, rawHeaders: readonly string[]) => void;
  /** Returns a reason if the bytes are not a valid answer, null otherwise. */
  readonly onBytes: (bytes: Buffer, flow: FlowControl) => string | null;
}

/** Applies backpressure to the target while the caller reads slowly. */
export type FlowControl = Pick<HttpStream, 'pause' | 'resume'>;

/** The work that a target was asked to do, and the send time on the `elapsedMs` clock. */
export interface SentRequest {
  readonly work: RequestedWork;
  readonly sentAtMs: number;
}

/** The services that {@link sendToTarget} depends on. */
export interface SendServices {
  readonly transport: HttpTransport;
  readonly wire: CallerWire;
  readonly pulse: Pick<TargetActivity, 'recordBytes'>;
  /** Called with the head of each answer that belongs to its request. */
  readonly onAnswerHead: (target: TargetEntry, head: AnswerHead, request: SentRequest) => void;
  /** Monotonic time that also advances while this process is suspended. */
  readonly elapsedMs: () => number;
  readonly standstill: Pick<StallWatch, 'catchUp'>;
  readonly count: (name: string) => void;
  /** Returns why a target must not receive a request now, or null if it may. */
  readonly withholdReason: (target: TargetEntry) => string | null;
}

/** Sends a request to a target and passes the answer to the sink. */
export async function sendToTarget(
  services: SendServices,
  target: TargetEntry,
  request: TargetRequest,
  sink: AnswerSink,
  signal: AbortSignal,
): Promise<SendOutcome> {
  // After an event loop stall, pending events are processed first. Otherwise, targets receive
  // requests whose callers disconnected during the stall.
  const caughtUp = services.standstill.catchUp();
  if (caughtUp !== null) await caughtUp;
  return send(services, target, request, sink, signal);
}

function send(
  services: SendServices,
  target: TargetEntry,
  request: TargetRequest,
  sink: AnswerSink,
  signal: AbortSignal,
): Promise<SendOutcome> {
  // A request that is written and then aborted still reaches its target.
  if (signal.aborted) return Promise.resolve(notBegun(SendOutcomeKind.Stopped, 'not begun'));
  const withheld = services.withholdReason(target);
  if (withheld !== null) return Promise.resolve(notBegun(SendOutcomeKind.Withheld, withheld));
  const sentAtMs = services.elapsedMs();
  return new Promise((resolve) => {
    let head: AnswerHead | null = null;
    let sent = false;
    let announced = NOTHING_ANNOUNCED;
    let stream: HttpStream | null = null;
    let shortBody: ShortBody | null = null;
    let closeRetry: (() => void) | null = null;
    const noteArrived = (): void => {
      closeRetry?.();
      closeRetry = null;
    };
    const finish = (kind: SendOutcomeKind, detail: string, brokeOff = false): void => {
      signal.removeEventListener('abort', onAbort);
      shortBody?.stop();
      stream?.stop();
      noteArrived();
      const hasSucceeded = kind === SendOutcomeKind.Complete && head !== null && isSuccess(head);
      const ranWhole = hasSucceeded && head?.hasKnownEnd === true;
      const endedWithConnection = hasSucceeded && !ranWhole;
      resolve({ kind, sent, detail, brokeOff, ranWhole, endedWithConnection, announced });
    };
    const onAbort = (): void => {
      finish(SendOutcomeKind.Stopped, 'stopped');
    };
    /** Ends an answer that is none, though its head may have declared that nothing ran. */
    const finishInvalid = (fault: string): void => {
      finish(head?.notRun === true ? SendOutcomeKind.NotRun : SendOutcomeKind.Broken, fault);
    };
    stream = services.transport.stream(
      {
        origin: `http://${target.address}`,
        method: request.method as 'GET',
        path: request.path,
        headers: request.headers,
        body: request.body.length === 0 ? null : request.body,
      },
      {
        onSent: () => {
          // The request may have waited for a connection.
          const reason = services.withholdReason(target);
          if (reason !== null) {
            finish(SendOutcomeKind.Withheld, reason);
            return;
          }
          const retries = request.retries();
          if (retries !== null) {
            closeRetry = retries.open();
            if (closeRetry === null) {
              finish(SendOutcomeKind.OverBudget, 'the retry budget has no room any more');
              return;
            }
          }
          sent = true;
          request.onSent?.();
          services.count('sends_total');
        },
        onStart: (status, headers, rawHeaders) => {
          noteArrived();
          services.pulse.recordBytes(target.id);
          const received = services.wire.readAnswer(status, headers);
          const { limitPerS, isLeaving, backOffMs } = received;
          announced = { limitPerS, isLeaving, backOffMs };
          const fault = findHeadFault(received, request);
          if (fault !== null) {
            finish(SendOutcomeKind.Broken, fault);
            return;
          }
          services.onAnswerHead(target, received, { work: request.work, sentAtMs });
          head = received;
          const isShort = !isSuccess(received) || request.work === RequestedWork.Read;
          if (isShort) shortBody = watchShortBody(finishInvalid);
          if (!received.notRun) sink.onHead(received, rawHeaders);
        },
        onData: (bytes) => {
          services.pulse.recordBytes(target.id);
          if (head === null || stream === null) return;
          const fault =
            shortBody?.addBytes(bytes.length) ?? (head.notRun ? null : sink.onBytes(bytes, stream));
          if (fault !== null) finishInvalid(fault);
        },
        onEnd: () => {
          const notRun = head?.notRun === true;
          const detail = `status ${String(head?.status ?? 0)}`;
          finish(notRun ? SendOutcomeKind.NotRun : SendOutcomeKind.Complete, detail);
        },
        onFailure: (trouble) => {
          // A rejection counts even if its body is cut off: its head declares that nothing ran.
          if (head?.notRun === true)
            finish(SendOutcomeKind.NotRun, `status ${String(head.status)}`);
          else if (trouble.mayHaveRun) finish(SendOutcomeKind.Broken, trouble.detail, true);
          else finish(SendOutcomeKind.NotSent, trouble.detail);
        },
      },
    );
    signal.addEventListener('abort', onAbort);
  });
}

function notBegun(kind: SendOutcomeKind, detail: string): SendOutcome {
  const announced = NOTHING_ANNOUNCED;
  const ended = { brokeOff: false, ranWhole: false, endedWithConnection: false };
  return { kind, sent: false, detail, ...ended, announced };
}

function isSuccess({ status }: AnswerHead): boolean {
  return status < FIRST_FAILURE_STATUS;
}

/**
 * Returns why an answer can't be used, or null if it can. The echoed attempt id must be the
 * request's: after a surplus answer of a target, callers would get answers to other requests.
 */
function findHeadFault(head: AnswerHead, request: TargetRequest): string | null {
  const isForeign = head.attemptId !== null && head.attemptId !== request.attemptId;
  if (isForeign) return 'the answer is to another request';
  const isAnonymous = head.attemptId === null && request.attemptId !== null;
  const isRunAnswer = request.work === RequestedWork.Run && isSuccess(head);
  if (isAnonymous && isRunAnswer) return 'the answer names no request';
  if (head.encoded) return 'the body is encoded';
  return null;
}
