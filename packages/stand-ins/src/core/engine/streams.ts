/**
 * Buffers the answers that are being generated or ended recently. Generation does not depend on
 * the readers. Each reader has its own position in one shared buffer, so a slow reader needs no copy.
 */
import type { ServerResponse } from 'node:http';
import type { FinishReason } from '@cassiamast/ports';

/** Result of a stream that completed. */
export interface StreamEnd {
  readonly reason: FinishReason;
  readonly promptTokens: number;
  readonly cachedTokens: number;
  readonly kvHandle: string | null;
}

/** Failure of a stream: the `error` object of the protocol. */
export interface StreamError {
  readonly code: string;
  readonly message: string;
}

interface Reader {
  readonly response: ServerResponse;
  nextIndex: number;
  blocked: boolean;
}

/** The buffered answer to one request. */
export interface Stream {
  readonly id: string;
  readonly model: string;
  /** Position of `tokens[0]` in the whole answer. */
  readonly firstIndex: number;
  readonly tokens: string[];
  readonly readers: Set<Reader>;
  end: StreamEnd | null;
  error: StreamError | null;
  endedAtMs: number;
}

/** All streams of an engine, by id. */
export type Streams = Map<string, Stream>;

/** Creates a stream without readers. */
export function openStream(
  streams: Streams,
  id: string,
  model: string,
  firstIndex: number,
): Stream {
  const stream: Stream = {
    id,
    model,
    firstIndex,
    tokens: [],
    readers: new Set(),
    end: null,
    error: null,
    endedAtMs: 0,
  };
  streams.set(id, stream);
  return stream;
}

/** Adds a reader that receives the buffered tokens from a position on and all later tokens. */
export function attachReader(stream: Stream, response: ServerResponse, fromIndex: number): void {
  const reader: Reader = { response, nextIndex: fromIndex, blocked: false };
  stream.readers.add(reader);
  response.writeHead(200, { 'content-type': 'text/event-stream', 'cache-control': 'no-store' });
  response.flushHeaders();
  response.on('drain', () => {
    reader.blocked = false;
    pump(stream, reader, 1);
  });
  response.on('close', () => stream.readers.delete(reader));
  pump(stream, reader, 1);
}

/** Adds a token. Writes to a reader once a whole group of tokens is pending for it. */
export function addToken(stream: Stream, token: string, groupSize: number): void {
  stream.tokens.push(token);
  for (const reader of stream.readers) pump(stream, reader, groupSize);
}

/** Ends a stream and sends the remaining tokens and the result to its readers. */
export function endStream(
  stream: Stream,
  outcome: { readonly end: StreamEnd } | { readonly error: StreamError },
  nowMs: number,
): void {
  if ('end' in outcome) stream.end = outcome.end;
  else stream.error = outcome.error;
  stream.endedAtMs = nowMs;
  for (const reader of stream.readers) pump(stream, reader, 1);
}

/** Returns whether the stream has completed or failed. */
export function hasEnded(stream: Stream): boolean {
  return stream.end !== null || stream.error !== null;
}

/** Removes ended streams beyond the age limit or the count limit. */
export function removeEnded(
  streams: Streams,
  nowMs: number,
  limits: { readonly keepEndedMs: number; readonly maxEnded: number },
): void {
  let excess = streams.size - limits.maxEnded;
  for (const stream of streams.values()) {
    if (!hasEnded(stream)) continue;
    const isExpired = nowMs - stream.endedAtMs > limits.keepEndedMs;
    if (!isExpired && excess <= 0) continue;
    streams.delete(stream.id);
    excess -= 1;
  }
}

function pump(stream: Stream, reader: Reader, groupSize: number): void {
  const { response } = reader;
  if (reader.blocked || response.destroyed || response.writableEnded) return;
  const from = Math.max(0, reader.nextIndex - stream.firstIndex);
  const pendingTokens = stream.tokens.length - from;
  if (pendingTokens > 0 && (pendingTokens >= groupSize || hasEnded(stream))) {
    const tokens = stream.tokens.slice(from);
    reader.nextIndex = stream.firstIndex + stream.tokens.length;
    reader.blocked = !response.write(tokensEvent(stream, stream.firstIndex + from, tokens));
  }
  if (reader.blocked || !hasEnded(stream)) return;
  response.end(lastEvents(stream));
}

function tokensEvent(stream: Stream, index: number, tokens: readonly string[]): string {
  return event({
    id: stream.id,
    object: 'text_completion',
    model: stream.model,
    choices: [{ index: 0, text: tokens.join(''), finish_reason: null }],
    token_index: index,
    tokens,
  });
}

function lastEvents(stream: Stream): string {
  if (stream.error !== null) return event({ error: stream.error });
  const outputTokens = stream.firstIndex + stream.tokens.length;
  const end = event({
    id: stream.id,
    object: 'text_completion',
    model: stream.model,
    choices: [{ index: 0, text: '', finish_reason: stream.end?.reason }],
    usage: {
      prompt_tokens: stream.end?.promptTokens,
      cached_tokens: stream.end?.cachedTokens,
      completion_tokens: outputTokens,
      total_tokens: (stream.end?.promptTokens ?? 0) + outputTokens,
    },
    kv_handle: stream.end?.kvHandle ?? null,
  });
  return `${end}data: [DONE]\n\n`;
}

function event(body: unknown): string {
  return `data: ${JSON.stringify(body)}\n\n`;
}
