/**
 * Routes that start, resume, list and cancel the engine's answers.
 */
import type { ServerResponse } from 'node:http';
import type { Route } from '../http/http-server.js';
import { sendJson } from '../http/http-server.js';
import { enqueue, removeWork } from './batch.js';
import type { EngineContext } from './engine.js';
import { sendError, Status } from './errors.js';
import { isChangingRole } from './orders.js';
import { tokenize } from './prompt.js';
import { readEngineRequest } from './requests.js';
import { attachReader, hasEnded, openStream } from './streams.js';

const OVERLOAD_RETRY_MS = 500;

/** Route of `POST /v1/completions`: starts an answer and streams it. */
export function completions(context: EngineContext): Route {
  return ({ body, response }) => {
    const { options, counts } = context;
    const incarnation = context.incarnation();
    const newStreamId = (): string => `${incarnation.epoch}-${String(counts.requests)}`;
    const request = readEngineRequest(body, newStreamId);
    if (request === null) {
      sendError(response, Status.Invalid, {
        code: 'invalid_request',
        message: 'no prompt or model',
      });
      return;
    }
    if (isChangingRole(incarnation.orderState)) {
      const message = 'changing role';
      const retry_after_ms = options.roleChangeMs;
      sendError(response, Status.Unavailable, { code: 'not_serving', message, retry_after_ms });
      return;
    }
    const model = incarnation.orderState.models.find(
      (candidate) => candidate.name === request.model,
    );
    if (model === undefined || !holdsAdapter(model.adapters, request.adapter)) {
      sendError(response, Status.NotFound, { code: 'model_unknown', message: request.model });
      return;
    }
    if (incarnation.streams.has(request.streamId)) {
      const message = request.streamId;
      sendError(response, Status.Conflict, { code: 'stream_exists', message });
      return;
    }
    if (incarnation.batch.waiting.length >= options.maxWaiting) {
      const message = 'too many requests waiting';
      const retry_after_ms = OVERLOAD_RETRY_MS;
      sendError(response, Status.TooMany, { code: 'overloaded', message, retry_after_ms });
      return;
    }
    const prompt = tokenize(request.prompt, request.model, request.adapter);
    if (prompt.tokens + request.maxTokens > options.kvCapacityTokens) {
      const message = 'prompt and answer are larger than the cache memory';
      sendError(response, Status.Invalid, { code: 'invalid_request', message });
      return;
    }
    counts.requests += 1;
    const imported =
      request.kvHandle === null ? undefined : incarnation.kvHandles.get(request.kvHandle);
    const importedTokens = isSamePrompt(imported?.blocks, prompt.blocks) ? prompt.tokens : 0;
    enqueue(incarnation.batch, request, prompt, importedTokens, options.answerVariant);
    const first = request.continueFrom.length;
    const stream = openStream(incarnation.streams, request.streamId, request.model, first);
    attachReader(stream, response, first);
    context.wake();
  };
}

function holdsAdapter(adapters: readonly string[], adapter: string | null): boolean {
  return adapter === null || adapters.includes(adapter);
}

function isSamePrompt(imported: readonly string[] | undefined, own: readonly string[]): boolean {
  if (imported === undefined) return false;
  return imported.length === own.length && imported.at(-1) === own.at(-1);
}

/** Route of `GET /v1/streams/:id`: resumes a stream from a token position. */
export function resume(context: EngineContext, streamId: string): Route {
  return ({ url, response }) => {
    const stream = context.incarnation().streams.get(streamId);
    if (stream === undefined) sendStreamUnknown(response, streamId);
    else attachReader(stream, response, Number(url.searchParams.get('from') ?? 0));
  };
}

/** Route of `GET /v1/streams`: lists the running streams. */
export function listStreams(context: EngineContext): Route {
  return ({ response }) => {
    const streams = [...context.incarnation().streams.values()];
    const running = streams.filter((stream) => !hasEnded(stream)).map((stream) => stream.id);
    sendJson(response, Status.Ok, { running });
  };
}

/** Route of `DELETE /v1/streams/:id`: cancels a stream. */
export function cancel(context: EngineContext, streamId: string): Route {
  return ({ response }) => {
    const incarnation = context.incarnation();
    const stream = incarnation.streams.get(streamId);
    if (stream === undefined) {
      sendStreamUnknown(response, streamId);
      return;
    }
    removeWork(incarnation.batch, streamId);
    incarnation.streams.delete(streamId);
    for (const reader of stream.readers) reader.response.destroy();
    sendJson(response, Status.Ok, { cancelled: true });
  };
}

function sendStreamUnknown(response: ServerResponse, streamId: string): void {
  const message = 'no such stream';
  sendError(response, Status.NotFound, { code: 'stream_unknown', message, stream_id: streamId });
}
