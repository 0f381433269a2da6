/**
 * Runs one caller's request: feeds events to the request state machine of the library and performs
 * the resulting effects, until the answer or a refusal is delivered. The run continues when the
 * caller disconnects.
 */
import {
  type Attempt,
  type CancelOutcome,
  ClaimOutcome,
  ClaimReplyKind,
  type RequestContext,
  type RequestEffect,
  RequestEffectKind,
  type RequestEvent,
  RequestEventKind,
  RequestPhase,
  type CallerRequest,
  type LoneRunEnd,
  LoneRunOutcome,
  PoisonWorkKind,
  type RequestMachine,
  createRequestMachine,
  handleRequestEvent,
} from '@cassiamast/coordination';
import type { LoneRunReply } from '../node/poison-driver.js';
import { RpcMethod } from '../protocol/methods.js';
import type { Payload } from '../protocol/stream.js';
import type { CallerAnswer } from './caller-answer.js';
import { createLatencyMeter } from './latency-meter.js';
import { estimateTokens } from './prompt-blocks.js';
import { toRefusal } from './refusals.js';
import type { RunServices } from './run-services.js';
import { createRunStream, isTargetFault } from './run-stream.js';
import { incarnationOf } from './session-driver.js';
import type { Grant } from './service-policy.js';

const CANCEL_TIMEOUT_MS = 1_000;

/** Options of a request run. */
export interface RunOptions {
  readonly id: string;
  readonly request: CallerRequest;
  readonly payload: Payload;
  readonly keyIsFresh: boolean;
  readonly prompt: string;
  readonly maxOutputTokens: number;
  readonly goals: { readonly firstTokenMs: number; readonly interTokenMs: number };
  readonly answer: CallerAnswer;
  readonly services: RunServices;
  /** Called once, when the run has finished. */
  readonly onDone: () => void;
}

/** A request in progress. */
export interface RequestRun {
  readonly machine: RequestMachine;
  readonly start: () => void;
  readonly handle: (event: RequestEvent) => void;
  readonly loneRunReplied: (reply: LoneRunReply) => void;
  /** Resumes reading after the caller's connection has drained. */
  readonly resume: () => void;
}

/** Creates a run that does nothing before `start`. */
export function createRequestRun(options: RunOptions): RequestRun {
  const { services, request, answer } = options;
  const startedAtMs = services.nowMs();
  const machine = createRequestMachine(options.id, request, startedAtMs);
  const timers = new Set<NodeJS.Timeout>();
  const latencyMeter = createLatencyMeter(startedAtMs);
  let grant: Grant | null = null;
  let grantedAtMs = startedAtMs;
  let firstTokenAtMs: number | null = null;
  let isDone = false;

  const stream = createRunStream({
    services,
    request,
    payload: options.payload,
    remainingMs: () => machine.deadlineAtMs - services.nowMs(),
    reader: () => grant?.reader ?? null,
    onEvent: (event) => {
      if (event.kind === RequestEventKind.StreamFailed && isTargetFault(event.failure.reason)) {
        recordAttemptEnd(false, true);
      }
      handle(event);
    },
  });

  function handle(event: RequestEvent): void {
    if (isDone) return;
    const effects = handleRequestEvent(machine, event, context());
    for (const effect of effects) perform(effect);
    if (machine.phase === RequestPhase.Done) finish();
  }

  function context(): RequestContext {
    return services.requestContext(request, options.keyIsFresh);
  }

  function finish(): void {
    if (isDone) return;
    isDone = true;
    for (const timer of timers) clearTimeout(timer);
    stream.close();
    options.onDone();
  }

  function perform(effect: RequestEffect): void {
    switch (effect.kind) {
      case RequestEffectKind.CallHolder:
        void callHolder(effect);
        return;
      case RequestEffectKind.AskAdmission:
        requestAdmission(effect.askId, effect.avoidTargets);
        return;
      case RequestEffectKind.AskLoneRun:
        void requestLoneRun(effect.askId, effect.attemptId);
        return;
      case RequestEffectKind.SettleLoneRun:
        settleLoneRun(effect.attemptId, effect.end);
        return;
      case RequestEffectKind.NoteCrash:
        services.poison.noteCrash(request.bodyHash, effect.attemptId);
        return;
      case RequestEffectKind.OpenSession:
        void openSession(effect.askId, effect.sidecar, effect.verify);
        return;
      case RequestEffectKind.ForgetSession:
        services.sessions.discard(effect.sidecar);
        return;
      case RequestEffectKind.TakeClaim:
        takeClaim(effect);
        return;
      case RequestEffectKind.Dispatch:
      case RequestEffectKind.Attach:
        stream.open(effect);
        return;
      case RequestEffectKind.CloseStream:
        stream.closeIf(effect.connectionId);
        return;
      case RequestEffectKind.CancelAttempt:
        void cancelAttempt(effect.attempt);
        return;
      case RequestEffectKind.TellTokens:
        latencyMeter.tokens(services.nowMs(), effect.tokens.length);
        firstTokenAtMs ??= services.nowMs();
        services.telemetry.count('tokens_relayed_total', effect.tokens.length);
        if (!answer.tokens(effect.tokens, effect.eventId)) stream.pause();
        return;
      case RequestEffectKind.TellAnswer:
        answer.finish(effect.ending, machine.tokens.length, effect.eventId);
        services.recordAnswer(request, latencyMeter.figures(), effect.ending, options.goals);
        recordAttemptEnd(true, false);
        return;
      case RequestEffectKind.TellRefusal: {
        const { failure, runState, retryAfterMs } = effect;
        answer.refuse(toRefusal(failure, runState, retryAfterMs));
        services.recordRefusal(request, runState);
        return;
      }
      case RequestEffectKind.SetTimer:
        setTimer(effect);
        return;
      case RequestEffectKind.Emit:
        services.telemetry.emit(effect.event);
    }
  }

  async function callHolder(
    effect: Extract<RequestEffect, { kind: RequestEffectKind.CallHolder }>,
  ): Promise<void> {
    const { to, roundId } = effect;
    const reply = await services.callHolder(to, effect.call);
    handle(
      reply.match<RequestEvent>(
        (value) => ({ kind: RequestEventKind.HolderReplied, roundId, from: to, reply: value }),
        () => ({ kind: RequestEventKind.HolderFailed, roundId, from: to }),
      ),
    );
  }

  function requestAdmission(askId: number, avoidTargets: readonly string[]): void {
    services.policyOf(request.service).requestPlacement({
      workspace: request.workspace,
      prompt: options.prompt,
      maxOutputTokens: options.maxOutputTokens,
      avoidTargets,
      remainingMs: machine.deadlineAtMs - services.nowMs(),
      isWanted: () => !isDone && machine.askId === askId,
      onGrant: (granted) => {
        grant = granted;
        grantedAtMs = services.nowMs();
        handle({ kind: RequestEventKind.Admitted, askId, place: granted.place });
      },
      onRefusal: (reason, retryAfterMs) => {
        handle({ kind: RequestEventKind.AdmissionRefused, askId, reason, retryAfterMs });
      },
    });
  }

  /**
   * Requests a lone run. The request includes the sidecar's incarnation, which is taken from a
   * verified session because no other source is reliable.
   */
  async function requestLoneRun(askId: number, attemptId: string): Promise<void> {
    const place = services.policyOf(request.service).pickForLoneRun(machine.avoidTargets);
    const session = place === null ? null : await services.sessions.open(place.sidecar, true);
    if (place === null || session === null || session.isErr()) {
      postponeLoneRun(askId);
      return;
    }
    const sidecarIncarnation = incarnationOf(session.value.sessionId);
    services.poison.submitWork(loneRunId(askId), {
      kind: PoisonWorkKind.RequestLoneRun,
      service: request.service,
      bodyHash: request.bodyHash,
      attemptId,
      place,
      sidecarIncarnation,
    });
  }

  function postponeLoneRun(askId: number): void {
    const outcome = LoneRunOutcome.Later;
    const retryAfterMs = context().options.retryAfterMs;
    handle({
      kind: RequestEventKind.LoneRunReplied,
      askId,
      outcome,
      place: null,
      sidecarIncarnation: '',
      crashes: 0,
      retryAfterMs,
    });
  }

  function loneRunId(askId: number): string {
    return `${options.id}|${String(askId)}`;
  }

  function settleLoneRun(attemptId: string, end: LoneRunEnd): void {
    services.poison.submitWork(`${attemptId}|settle`, {
      kind: PoisonWorkKind.Settle,
      service: request.service,
      bodyHash: request.bodyHash,
      attemptId,
      end,
    });
  }

  async function openSession(askId: number, sidecar: string, verify: boolean): Promise<void> {
    const opened = await services.sessions.open(sidecar, verify);
    handle(
      opened.match<RequestEvent>(
        ({ sessionId, sequence }) => ({
          kind: RequestEventKind.SessionOpened,
          askId,
          sessionId,
          sequence,
        }),
        () => ({ kind: RequestEventKind.SessionFailed, askId }),
      ),
    );
  }

  function takeClaim(effect: Extract<RequestEffect, { kind: RequestEffectKind.TakeClaim }>): void {
    const { askId, attempt, replacesId } = effect;
    const { keyText, bodyHash } = request;
    services.claims.take({ keyText, bodyHash, attempt, replacesId }, (reply) => {
      handle({
        kind: RequestEventKind.ClaimReplied,
        askId,
        outcome: CLAIM_OUTCOMES[reply.kind],
        holder: reply.holder,
        retryAfterMs: reply.retryAfterMs,
      });
    });
  }

  async function cancelAttempt(attempt: Attempt): Promise<void> {
    const cancelReply = await services.rpc.call<CancelOutcome>(
      attempt.sidecar,
      RpcMethod.AttemptCancel,
      { attempt },
      { timeoutMs: CANCEL_TIMEOUT_MS },
    );
    // Without a reply, the timer of the state machine decides.
    if (cancelReply.isErr()) return;
    const outcome = cancelReply.value;
    handle({ kind: RequestEventKind.CancelReplied, attemptId: attempt.id, outcome });
  }

  function setTimer(effect: Extract<RequestEffect, { kind: RequestEffectKind.SetTimer }>): void {
    const { timer, timerId } = effect;
    const timerHandle = setTimeout(() => {
      timers.delete(timerHandle);
      handle({ kind: RequestEventKind.TimerFired, timer, timerId });
    }, effect.afterMs);
    timers.add(timerHandle);
  }

  function recordAttemptEnd(whole: boolean, failed: boolean): void {
    if (grant === null) return;
    const { place, predictedFirstTokenMs } = grant;
    grant = null;
    services.policyOf(request.service).recordAttemptEnd({
      target: place.target,
      workspace: request.workspace,
      promptTokens: estimateTokens(options.prompt),
      outputTokens: machine.tokens.length,
      whole,
      failed,
      firstTokenMs: firstTokenAtMs === null ? null : firstTokenAtMs - grantedAtMs,
      predictedFirstTokenMs,
    });
  }

  return {
    machine,
    handle,
    start: () => {
      handle({ kind: RequestEventKind.CallerArrived });
    },
    loneRunReplied: (reply) => {
      const askId = Number(reply.id.slice(reply.id.lastIndexOf('|') + 1));
      const { outcome, place, sidecarIncarnation, crashes, retryAfterMs } = reply;
      handle({
        kind: RequestEventKind.LoneRunReplied,
        askId,
        outcome,
        place,
        sidecarIncarnation,
        crashes,
        retryAfterMs,
      });
    },
    resume: stream.resume,
  };
}

const CLAIM_OUTCOMES: Readonly<Record<ClaimReplyKind, ClaimOutcome>> = {
  [ClaimReplyKind.Granted]: ClaimOutcome.Granted,
  [ClaimReplyKind.Held]: ClaimOutcome.Held,
  [ClaimReplyKind.Unavailable]: ClaimOutcome.Unavailable,
};
