/**
 * One sending of a request to one target. An answer is taken only if it is this request's own: a
 * target may send a late answer to an earlier request, bytes that are no answer, or break off. What
 * it vouches not to have run, what never left this process and what may have run are told apart.
 */
import type { AskedWork, TargetEntry } from '@cassiamast/coordination';
import type { AnswerHead, CallerWire, HttpStream, HttpTransport } from '@cassiamast/ports';
import type { StandstillWatch } from '../node/standstill.js';
import type { TargetPulse } from './target-pulse.js';

/** How a sending ended. */
export enum AskOutcomeKind {
  /** The answer came whole. */
  Complete = 'complete',
  /** No byte reached the target. */
  NotSent = 'not-sent',
  /** The target vouches that it did not run the request. */
  NotRun = 'not-run',
  /** It broke off, or what came is not the answer to this request; it may have run. */
  Broken = 'broken',
  /** The signal ended it; it may have run if it was sent. */
  Stopped = 'stopped',
  /** It was given up since nothing comes from the target any more; it may have run. */
  Silent = 'silent',
}

/** The end of a sending. */
export interface AskOutcome {
  readonly kind: AskOutcomeKind;
  /** Whether any byte of the request left this process. */
  readonly sent: boolean;
  /** What happened, for the log. */
  readonly detail: string;
  /** Whether the connection broke while the target may have run the request, as in a crash. */
  readonly brokeOff: boolean;
  /** The rate limit that the answer named, in requests a second; null where it named none. */
  readonly limitPerS: number | null;
}

/** What is sent. */
export interface TargetRequest {
  readonly attemptId: string | null;
  /** What the target is asked for. */
  readonly work: AskedWork;
  readonly method: string;
  readonly path: string;
  /** Names and values in turn. */
  readonly headers: readonly string[];
  readonly body: Buffer;
}

/** Takes the answer in. */
export interface AnswerSink {
  readonly onHead: (head: AnswerHead, rawHeaders: readonly string[]) => void;
  /** Gives a reason where the bytes are no proper answer, null otherwise. */
  readonly onBytes: (bytes: Buffer, flow: FlowControl) => string | null;
}

/** Holds the target back while the caller is slow. */
export type FlowControl = Pick<HttpStream, 'pause' | 'resume'>;

/** What a target was asked for, and when by `elapsedMs`. */
export interface AskedOf {
  readonly work: AskedWork;
  readonly sentAtMs: number;
}

/** What the sending needs. */
export interface AskServices {
  readonly transport: HttpTransport;
  readonly wire: CallerWire;
  readonly pulse: TargetPulse;
  /** Told of each answer that begins and is the request's own. */
  readonly onAnswerHead: (target: TargetEntry, head: AnswerHead, asked: AskedOf) => void;
  /** Time that has passed for everybody else, suspended or not. */
  readonly elapsedMs: () => number;
  readonly standstill: Pick<StandstillWatch, 'catchUp'>;
}

/** Sends a request to a target and hands the answer to the sink. */
export async function askTarget(
  services: AskServices,
  target: TargetEntry,
  request: TargetRequest,
  sink: AnswerSink,
  signal: AbortSignal,
): Promise<AskOutcome> {
  // Guards against work for callers who left while this process stood still: it shows as requests
  // that reach targets after a standstill and whose callers are gone.
  const caughtUp = services.standstill.catchUp();
  if (caughtUp !== null) await caughtUp;
  return send(services, target, request, sink, signal);
}

function send(
  services: AskServices,
  target: TargetEntry,
  request: TargetRequest,
  sink: AnswerSink,
  signal: AbortSignal,
): Promise<AskOutcome> {
  // A request that is written and then broken off still reaches its target.
  if (signal.aborted) {
    return Promise.resolve({
      kind: AskOutcomeKind.Stopped,
      sent: false,
      detail: 'not begun',
      brokeOff: false,
      limitPerS: null,
    });
  }
  const sentAtMs = services.elapsedMs();
  return new Promise((resolve) => {
    let head: AnswerHead | null = null;
    let sent = false;
    let limitPerS: number | null = null;
    const finish = (kind: AskOutcomeKind, detail: string, brokeOff = false): void => {
      signal.removeEventListener('abort', onAbort);
      running.stop();
      resolve({ kind, sent, detail, brokeOff, limitPerS });
    };
    const onAbort = (): void => {
      finish(AskOutcomeKind.Stopped, 'stopped');
    };
    const running = services.transport.stream(
      {
        origin: `http://${target.address}`,
        method: request.method as 'GET',
        path: request.path,
        headers: request.headers,
        body: request.body.length === 0 ? null : request.body,
      },
      {
        onSent: () => {
          sent = true;
        },
        onStart: (status, headers, rawHeaders) => {
          services.pulse.heard(target.id);
          const received = services.wire.readAnswer(status, headers);
          limitPerS = received.limitPerS;
          const fault = headFault(received, request);
          if (fault !== null) {
            finish(AskOutcomeKind.Broken, fault);
            return;
          }
          services.onAnswerHead(target, received, { work: request.work, sentAtMs });
          head = received;
          if (!received.notRun) sink.onHead(received, rawHeaders);
        },
        onData: (bytes) => {
          services.pulse.heard(target.id);
          if (head === null || head.notRun) return;
          const fault = sink.onBytes(bytes, running);
          if (fault !== null) finish(AskOutcomeKind.Broken, fault);
        },
        onEnd: () => {
          const notRun = head?.notRun === true;
          const detail = `status ${String(head?.status ?? 0)}`;
          finish(notRun ? AskOutcomeKind.NotRun : AskOutcomeKind.Complete, detail);
        },
        onTrouble: (trouble) => {
          // A refusal that broke off is still a refusal: its head vouched for it.
          if (head?.notRun === true) finish(AskOutcomeKind.NotRun, `status ${String(head.status)}`);
          else if (trouble.mayHaveRun) finish(AskOutcomeKind.Broken, trouble.detail, true);
          else finish(AskOutcomeKind.NotSent, trouble.detail);
        },
      },
    );
    signal.addEventListener('abort', onAbort);
  });
}

/**
 * Guards against an answer that belongs to another request: it shows as a caller who gets somebody
 * else's answer after a target sent one too many. The echoed attempt id tells them apart.
 */
function headFault(head: AnswerHead, request: TargetRequest): string | null {
  const isForeign = head.attemptId !== null && head.attemptId !== request.attemptId;
  if (isForeign) return 'the answer is to another request';
  if (head.encoded) return 'the body is encoded';
  return null;
}
