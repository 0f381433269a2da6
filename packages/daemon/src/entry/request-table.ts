/**
 * The table of an entry's active requests, one for each caller exchange. The table is bounded;
 * while it is full, new requests are rejected before anything runs.
 */
import { randomUUID } from 'node:crypto';
import type { ServerResponse } from 'node:http';
import {
  type Configuration,
  type RequestEvent,
  RequestEventKind,
  type GoalsSpec,
  requestKeyText,
} from '@cassiamast/coordination';
import type { LoneRunReply } from '../node/poison-driver.js';
import { PayloadKind } from '../protocol/stream.js';
import { type CallerAnswer, plainAnswer, streamedAnswer, wholeAnswer } from './caller-answer.js';
import { AnswerFormat, type ModelRequest } from './caller-request.js';
import { ENTRY_BUSY } from './failures.js';
import type { PlainCall } from './plain-call.js';
import { sendProblem } from './problem.js';
import { refuseWithoutLookup } from './refusals.js';
import { type RequestRun, type RunOptions, createRequestRun } from './request-run.js';
import type { RunServices } from './run-services.js';

/** Each takes at most about 20 KB, so 8,192 open answers stay under 160 MB. */
export const MAX_ACTIVE_REQUESTS = 8_192;

const BUSY_RETRY_AFTER_MS = 1_000;
const MS_PER_S = 1_000;
const NO_GOALS: GoalsSpec = { firstTokenMs: Infinity, interTokenMs: Infinity };

/** Options of the request table. */
export interface RequestsOptions {
  readonly entryIncarnation: string;
  readonly services: RunServices;
  readonly configuration: () => Configuration | null;
  readonly wallMs: () => number;
}

/** The active requests of one entry. */
export interface Requests {
  readonly model: (request: ModelRequest, response: ServerResponse) => void;
  readonly plain: (call: PlainCall, response: ServerResponse) => void;
  readonly loneRunReplied: (reply: LoneRunReply) => void;
  readonly membersChanged: () => void;
  readonly count: () => number;
}

type NewRun = Omit<RunOptions, 'id' | 'services' | 'onDone'>;

/** Creates an empty request table. */
export function createRequests(options: RequestsOptions): Requests {
  const { services } = options;
  const runs = new Map<string, RequestRun>();
  let lastRunNumber = 0;

  function begin(
    response: ServerResponse,
    keyFromCaller: boolean,
    createOptions: (run: () => RequestRun | null) => NewRun,
  ): void {
    if (runs.size >= MAX_ACTIVE_REQUESTS) {
      const failure = ENTRY_BUSY.of({ limit: MAX_ACTIVE_REQUESTS });
      sendProblem(response, refuseWithoutLookup(failure, 503, BUSY_RETRY_AFTER_MS, keyFromCaller));
      return;
    }
    lastRunNumber += 1;
    const id = `${options.entryIncarnation}#${String(lastRunNumber)}`;
    const runOptions = createOptions(() => runs.get(id) ?? null);
    const run = createRequestRun({ ...runOptions, id, services, onDone: () => runs.delete(id) });
    runs.set(id, run);
    response.on('close', () => {
      run.handle({ kind: RequestEventKind.CallerGone });
    });
    run.start();
  }

  function broadcast(event: RequestEvent): void {
    for (const run of [...runs.values()]) run.handle(event);
  }

  function serviceGoals(name: string): GoalsSpec {
    const { services: specs } = options.configuration() ?? { services: [] };
    return specs.find((service) => service.name === name)?.goals ?? NO_GOALS;
  }

  return {
    model: (request, response) => {
      begin(response, request.keyFromCaller, (run) => {
        const answer = modelAnswer(options, request, response, () => run()?.resume());
        return toModelRun(request, answer, serviceGoals(request.service));
      });
    },
    plain: (call, response) => {
      begin(response, call.keyFromCaller, () => toPlainRun(call, response));
    },
    loneRunReplied: (reply) => {
      runs.get(reply.id.slice(0, reply.id.lastIndexOf('|')))?.loneRunReplied(reply);
    },
    membersChanged: () => {
      broadcast({ kind: RequestEventKind.MembersChanged });
    },
    count: () => runs.size,
  };
}

function modelAnswer(
  options: RequestsOptions,
  request: ModelRequest,
  response: ServerResponse,
  onDrain: () => void,
): CallerAnswer {
  const prefix = request.format === AnswerFormat.Chat ? 'chatcmpl' : 'cmpl';
  const answerOptions = {
    response,
    headers: { 'idempotency-key': request.key.idempotencyKey },
    head: {
      id: `${prefix}-${randomUUID()}`,
      format: request.format,
      modelText: request.modelText,
      createdS: Math.floor(options.wallMs() / MS_PER_S),
    },
    includeUsage: request.includeUsage,
    onDrain,
  };
  return request.stream ? streamedAnswer(answerOptions) : wholeAnswer(answerOptions);
}

function toModelRun(request: ModelRequest, answer: CallerAnswer, goals: GoalsSpec): NewRun {
  const { model, adapter, prompt, maxTokens, temperature, seed, priority } = request;
  return {
    answer,
    goals,
    prompt,
    maxOutputTokens: maxTokens,
    keyIsFresh: !request.keyFromCaller,
    payload: {
      kind: PayloadKind.Model,
      model,
      adapter,
      prompt,
      maxTokens,
      temperature,
      seed,
      priority,
      reader: null,
    },
    request: {
      keyText: requestKeyText(request.key),
      workspace: request.key.workspace,
      service: request.service,
      bodyHash: request.contentHash,
      repeatable: true,
      payload: null,
      deadlineMs: request.timeoutMs,
      // An answer in a single body is always complete, so there is no position to resume from.
      resume: request.stream ? request.resumeFrom : null,
    },
  };
}

function toPlainRun(call: PlainCall, response: ServerResponse): NewRun {
  const { method, path, headers, bodyBase64, timeoutMs } = call;
  return {
    answer: plainAnswer({ response, headers: { 'idempotency-key': call.key.idempotencyKey } }),
    goals: NO_GOALS,
    prompt: '',
    maxOutputTokens: 0,
    keyIsFresh: !call.keyFromCaller,
    payload: { kind: PayloadKind.Plain, method, path, headers, bodyBase64, timeoutMs },
    request: {
      keyText: requestKeyText(call.key),
      workspace: call.key.workspace,
      service: call.service,
      bodyHash: call.contentHash,
      repeatable: call.repeatable,
      payload: null,
      deadlineMs: timeoutMs,
      resume: null,
    },
  };
}
