/**
 * Runs one model request: picks a target, relays the attempt, and answers the caller.
 */
import { randomUUID } from 'node:crypto';
import type { ServerResponse } from 'node:http';
import {
  type Configuration,
  type Failure,
  type Hash64,
  type Random,
  RunState,
  type ServiceSpec,
  type TargetSpec,
  randomBelow,
  requestKeyText,
} from '@cassiamast/coordination';
import { formatAddress } from '../node/address.js';
import type { MemberStream, RpcClient } from '../node/rpc-client.js';
import type { StreamOpenParams } from '../protocol/stream.js';
import { type CallerAnswer, createCallerAnswer } from './caller-answer.js';
import { AnswerFormat, type ModelRequest } from './caller-request.js';
import { ATTEMPTS_FAILED, NO_TARGET } from './failures.js';
import { refuseNotRun } from './model-request.js';
import { relayOpen } from './relay.js';

const RETRY_AFTER_MS = 1_000;
const MS_PER_S = 1_000;

/** What running a request needs. */
export interface ModelRunnerOptions {
  readonly rpc: RpcClient;
  readonly configuration: () => Configuration | null;
  readonly random: Random;
  readonly hash64: Hash64;
  readonly wallMs: () => number;
}

/** Runs a request and answers on the response. */
export type RunModelRequest = (request: ModelRequest, response: ServerResponse) => void;

/** Makes the runner of an entry. */
export function createModelRunner(options: ModelRunnerOptions): RunModelRequest {
  const running = new Map<string, number>();

  function pick(service: ServiceSpec): TargetSpec | null {
    const targets = service.targets.filter((target) => !target.withdrawn);
    if (targets.length === 0) return null;
    const first = targets[randomBelow(options.random, targets.length)];
    const second = targets[randomBelow(options.random, targets.length)];
    if (first === undefined || second === undefined) return null;
    return (running.get(first.name) ?? 0) <= (running.get(second.name) ?? 0) ? first : second;
  }

  function count(target: TargetSpec, by: number): void {
    running.set(target.name, (running.get(target.name) ?? 0) + by);
  }

  return (request, response) => {
    const service = options
      .configuration()
      ?.services.find((candidate) => candidate.name === request.service);
    const target = service === undefined ? null : pick(service);
    let stream: MemberStream | null = null;
    const answer = createCallerAnswer({
      request,
      response,
      head: {
        id: `${request.format === AnswerFormat.Chat ? 'chatcmpl' : 'cmpl'}-${randomUUID()}`,
        format: request.format,
        modelText: request.modelText,
        createdS: Math.floor(options.wallMs() / MS_PER_S),
      },
      headers: { 'idempotency-key': request.key.idempotencyKey },
      hash64: options.hash64,
      onDrain: () => stream?.resume(),
    });
    if (target === null) {
      answer.refuse(refuseNotRun(NO_TARGET.of({ service: request.service }), 503, RETRY_AFTER_MS));
      return;
    }
    count(target, 1);
    stream = relayOpen(options.rpc, formatAddress(target.sidecar), openParams(request), {
      onTokens: (batch) => {
        if (!answer.tokens(batch.tokens)) stream?.pause();
      },
      onResult: (result) => {
        count(target, -1);
        answer.finish(result.reason, result);
      },
      onFailure: (failure) => {
        count(target, -1);
        refuseFailed(answer, failure);
      },
    });
  };
}

function openParams(request: ModelRequest): StreamOpenParams {
  return {
    attemptId: randomUUID(),
    request: requestKeyText(request.key),
    service: request.service,
    workspace: request.key.workspace,
    contentHash: request.contentHash,
    model: request.model,
    adapter: request.adapter,
    prompt: request.prompt,
    maxTokens: request.maxTokens,
    temperature: request.temperature,
    seed: request.seed,
    priority: request.priority,
    timeoutMs: request.timeoutMs,
    continueFrom: [],
    kvHandle: null,
    prefillOnly: false,
    holders: [],
  };
}

function refuseFailed(answer: CallerAnswer, failure: Failure): void {
  const { mayHaveRun = true } = (failure.data ?? {}) as { readonly mayHaveRun?: boolean };
  answer.refuse({
    failure: ATTEMPTS_FAILED.of({ attempts: 1, last: failure.message }),
    status: 503,
    runState: mayHaveRun ? RunState.Unknown : RunState.NotRun,
    retryAfterMs: RETRY_AFTER_MS,
  });
}
