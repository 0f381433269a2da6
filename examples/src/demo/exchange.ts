/**
 * One attempt of a caller at one entry: what came back, as far as it came.
 */
import { createParser } from 'eventsource-parser';
import type { Dispatcher } from 'undici';
import { Agent, request } from 'undici';

/** Headers are waited for at most this long; an entry that is paused must not hold a caller. */
const HEADERS_TIMEOUT_MS = 8_000;
/** Silence in the middle of an answer for this long is a broken connection. */
const BODY_TIMEOUT_MS = 4_000;
const CONNECT_TIMEOUT_MS = 1_000;

/** How an attempt ended. */
export enum AttemptEnd {
  /** The whole answer is here. */
  Done = 'done',
  /** A problem document, in place of the answer or in its midst. */
  Refused = 'refused',
  /** The connection broke, or was broken on purpose. */
  Broken = 'broken',
}

/** A refusal as the caller read it. */
export interface ReadProblem {
  readonly type: string;
  readonly status: number;
  readonly runState: string;
  readonly retryAfterMs: number;
}

/** What an attempt came to. */
export interface Attempt {
  readonly end: AttemptEnd;
  /** Whether the entry began to answer with success. */
  readonly accepted: boolean;
  readonly problem: ReadProblem | null;
  /** The body of a whole answer. */
  readonly body: string;
}

/** What a caller hears of a stream. */
export interface StreamListener {
  /** Text of one event and its id; returns whether to read on. */
  readonly onText: (text: string, eventId: string) => boolean;
}

/** One HTTP request of a caller. */
export interface CallerRequest {
  readonly url: string;
  readonly method: 'GET' | 'POST';
  readonly headers: Readonly<Record<string, string>>;
  readonly body: string;
}

const agent = new Agent({
  connections: null,
  connect: { timeout: CONNECT_TIMEOUT_MS },
  headersTimeout: HEADERS_TIMEOUT_MS,
  bodyTimeout: BODY_TIMEOUT_MS,
});

/** Lets go of the callers' connections. */
export function closeConnections(): Promise<void> {
  return agent.destroy();
}

/** Sends a request and reads the whole answer. */
export async function exchangeWhole(sent: CallerRequest): Promise<Attempt> {
  let accepted = false;
  try {
    const answer = await send(sent);
    accepted = answer.statusCode === 200;
    const body = await answer.body.text();
    if (accepted) return { end: AttemptEnd.Done, accepted, problem: null, body };
    return refused(accepted, readProblem(body, answer.statusCode));
  } catch {
    return broken(accepted);
  }
}

/** Sends a request and reads its stream as far as the listener wants. */
export async function exchangeStream(
  sent: CallerRequest,
  listener: StreamListener,
): Promise<Attempt> {
  let accepted = false;
  try {
    const answer = await send(sent);
    accepted = answer.statusCode === 200;
    if (!accepted) return refused(false, readProblem(await answer.body.text(), answer.statusCode));
    return await readStream(answer, listener);
  } catch {
    return broken(accepted);
  }
}

function send(sent: CallerRequest): Promise<Dispatcher.ResponseData> {
  const { url, method, headers, body } = sent;
  return request(url, { method, headers, body: body === '' ? null : body, dispatcher: agent });
}

async function readStream(
  answer: Dispatcher.ResponseData,
  listener: StreamListener,
): Promise<Attempt> {
  let end: Attempt | null = null;
  const parser = createParser({
    onEvent: (event) => {
      if (end !== null) return;
      if (event.data === '[DONE]') {
        end = { end: AttemptEnd.Done, accepted: true, problem: null, body: '' };
        return;
      }
      const data = JSON.parse(event.data) as StreamEvent;
      if (data.runState !== undefined) {
        end = refused(true, readProblem(event.data, data.status ?? 0));
        return;
      }
      const text = data.choices?.[0]?.text ?? '';
      if (text !== '' && !listener.onText(text, event.id ?? '')) end = broken(true);
    },
  });
  const decoder = new TextDecoder();
  for await (const chunk of answer.body) {
    parser.feed(decoder.decode(chunk as Uint8Array, { stream: true }));
    if (end !== null) break;
  }
  return end ?? broken(true);
}

interface StreamEvent {
  readonly choices?: readonly { readonly text?: string }[];
  readonly runState?: string;
  readonly status?: number;
}

function readProblem(body: string, status: number): ReadProblem {
  try {
    const problem = JSON.parse(body) as Partial<ReadProblem>;
    return {
      type: problem.type ?? '',
      status,
      runState: problem.runState ?? 'unknown',
      retryAfterMs: problem.retryAfterMs ?? 0,
    };
  } catch {
    // Not a problem document: nothing is known of the request.
    return { type: 'not-a-problem', status, runState: 'unknown', retryAfterMs: 0 };
  }
}

function refused(accepted: boolean, problem: ReadProblem): Attempt {
  return { end: AttemptEnd.Refused, accepted, problem, body: '' };
}

function broken(accepted: boolean): Attempt {
  return { end: AttemptEnd.Broken, accepted, problem: null, body: '' };
}

/** One attempt in words, for the story of its request. */
export function attemptLine(url: string, attempt: Attempt, tookMs: number): string {
  const { end, problem } = attempt;
  const { host } = new URL(url);
  const what =
    problem === null
      ? end
      : `${end} ${problem.type} ${problem.runState}, retry after ${String(problem.retryAfterMs)} ms`;
  return `${host}: ${what} after ${String(Math.round(tookMs))} ms`;
}
