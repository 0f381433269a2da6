/**
 * One delivery: the library's request machine with the effects it asks for performed. It lives from
 * the caller's arrival until the answer or a refusal is told; when the caller goes, it goes on.
 */
import {
  type Attempt,
  type CancelOutcome,
  ClaimOutcome,
  ClaimReplyKind,
  type DriveContext,
  type DriveEffect,
  DriveEffectKind,
  type DriveEvent,
  DriveEventKind,
  DrivePhase,
  type DriveRequest,
  type LoneRunEnd,
  LoneRunOutcome,
  PoisonWorkKind,
  type RequestDrive,
  createDrive,
  handleDriveEvent,
} from '@cassiamast/coordination';
import type { LoneRunReply } from '../node/poison-driver.js';
import { RpcMethod } from '../protocol/methods.js';
import type { Payload } from '../protocol/stream.js';
import type { CallerAnswer } from './caller-answer.js';
import { createLatencyWatch } from './latency-watch.js';
import { estimateTokens } from './prompt-blocks.js';
import { toRefusal } from './refusals.js';
import type { RunServices } from './run-services.js';
import { createRunStream, isTargetsFault } from './run-stream.js';
import { incarnationOf } from './session-driver.js';
import type { Grant } from './service-policy.js';

const CANCEL_TIMEOUT_MS = 1_000;

/** What one delivery is started with. */
export interface RunOptions {
  readonly id: string;
  readonly request: DriveRequest;
  readonly payload: Payload;
  readonly keyIsFresh: boolean;
  readonly prompt: string;
  readonly maxOutputTokens: number;
  readonly goals: { readonly firstTokenMs: number; readonly interTokenMs: number };
  readonly answer: CallerAnswer;
  readonly services: RunServices;
  /** Called once, when nothing more will happen. */
  readonly onDone: () => void;
}

/** A delivery under way. */
export interface RequestRun {
  readonly drive: RequestDrive;
  readonly start: () => void;
  readonly handle: (event: DriveEvent) => void;
  readonly loneRunReplied: (reply: LoneRunReply) => void;
  /** The caller reads on. */
  readonly drained: () => void;
}

/** Makes a delivery; nothing happens before `start`. */
export function createRequestRun(options: RunOptions): RequestRun {
  const { services, request, answer } = options;
  const startedAtMs = services.nowMs();
  const drive = createDrive(options.id, request, startedAtMs);
  const timers = new Set<NodeJS.Timeout>();
  const watch = createLatencyWatch(startedAtMs);
  let grant: Grant | null = null;
  let grantedAtMs = startedAtMs;
  let firstTokenAtMs: number | null = null;
  let isDone = false;

  const stream = createRunStream({
    services,
    request,
    payload: options.payload,
    remainingMs: () => drive.deadlineAtMs - services.nowMs(),
    reader: () => grant?.reader ?? null,
    onEvent: (event) => {
      if (event.kind === DriveEventKind.StreamFailed && isTargetsFault(event.failure.reason)) {
        noteAttemptEnd(false, true);
      }
      handle(event);
    },
  });

  function handle(event: DriveEvent): void {
    if (isDone) return;
    const effects = handleDriveEvent(drive, event, context());
    for (const effect of effects) perform(effect);
    if (drive.phase === DrivePhase.Done) finish();
  }

  function context(): DriveContext {
    return services.driveContext(request, options.keyIsFresh);
  }

  function finish(): void {
    if (isDone) return;
    isDone = true;
    for (const timer of timers) clearTimeout(timer);
    stream.close();
    options.onDone();
  }

  function perform(effect: DriveEffect): void {
    switch (effect.kind) {
      case DriveEffectKind.CallHolder:
        void callHolder(effect);
        return;
      case DriveEffectKind.AskAdmission:
        askAdmission(effect.askId, effect.avoidTargets);
        return;
      case DriveEffectKind.AskLoneRun:
        void askLoneRun(effect.askId, effect.attemptId);
        return;
      case DriveEffectKind.SettleLoneRun:
        settleLoneRun(effect.attemptId, effect.end);
        return;
      case DriveEffectKind.NoteCrash:
        services.poison.noteCrash(request.bodyHash, effect.attemptId);
        return;
      case DriveEffectKind.OpenSession:
        void openSession(effect.askId, effect.sidecar, effect.verify);
        return;
      case DriveEffectKind.ForgetSession:
        services.sessions.forget(effect.sidecar);
        return;
      case DriveEffectKind.TakeClaim:
        takeClaim(effect);
        return;
      case DriveEffectKind.Dispatch:
      case DriveEffectKind.Attach:
        stream.open(effect);
        return;
      case DriveEffectKind.CloseStream:
        stream.closeIf(effect.connectionId);
        return;
      case DriveEffectKind.CancelAttempt:
        void cancelAttempt(effect.attempt);
        return;
      case DriveEffectKind.TellTokens:
        watch.tokens(services.nowMs(), effect.tokens.length);
        firstTokenAtMs ??= services.nowMs();
        services.telemetry.count('tokens_relayed_total', effect.tokens.length);
        if (!answer.tokens(effect.tokens, effect.eventId)) stream.holdBack();
        return;
      case DriveEffectKind.TellAnswer:
        answer.finish(effect.ending, drive.tokens.length, effect.eventId);
        services.noteAnswered(request, watch.figures(), effect.ending, options.goals);
        noteAttemptEnd(true, false);
        return;
      case DriveEffectKind.TellRefusal: {
        const { failure, runState, retryAfterMs } = effect;
        answer.refuse(toRefusal(failure, runState, retryAfterMs));
        services.noteRefused(request, runState);
        return;
      }
      case DriveEffectKind.SetTimer:
        setTimer(effect);
        return;
      case DriveEffectKind.Emit:
        services.telemetry.emit(effect.event);
    }
  }

  async function callHolder(
    effect: Extract<DriveEffect, { kind: DriveEffectKind.CallHolder }>,
  ): Promise<void> {
    const { to, roundId } = effect;
    const reply = await services.callHolder(to, effect.call);
    handle(
      reply.match<DriveEvent>(
        (value) => ({ kind: DriveEventKind.HolderReplied, roundId, from: to, reply: value }),
        () => ({ kind: DriveEventKind.HolderFailed, roundId, from: to }),
      ),
    );
  }

  function askAdmission(askId: number, avoidTargets: readonly string[]): void {
    services.policyOf(request.service).ask({
      workspace: request.workspace,
      prompt: options.prompt,
      maxOutputTokens: options.maxOutputTokens,
      avoidTargets,
      remainingMs: drive.deadlineAtMs - services.nowMs(),
      isWanted: () => !isDone && drive.askId === askId,
      onGrant: (granted) => {
        grant = granted;
        grantedAtMs = services.nowMs();
        handle({ kind: DriveEventKind.Admitted, askId, place: granted.place });
      },
      onRefusal: (reason, retryAfterMs) => {
        handle({ kind: DriveEventKind.AdmissionRefused, askId, reason, retryAfterMs });
      },
    });
  }

  /** A lone run names the sidecar's incarnation, which only its session tells for certain. */
  async function askLoneRun(askId: number, attemptId: string): Promise<void> {
    const place = services.policyOf(request.service).pickAlone(drive.avoidTargets);
    const session = place === null ? null : await services.sessions.open(place.sidecar, true);
    if (place === null || session === null || session.isErr()) {
      loneRunLater(askId);
      return;
    }
    const sidecarIncarnation = incarnationOf(session.value.sessionId);
    services.poison.ask(loneRunId(askId), {
      kind: PoisonWorkKind.AskLoneRun,
      service: request.service,
      bodyHash: request.bodyHash,
      attemptId,
      place,
      sidecarIncarnation,
    });
  }

  function loneRunLater(askId: number): void {
    const outcome = LoneRunOutcome.Later;
    const retryAfterMs = context().options.retryAfterMs;
    handle({
      kind: DriveEventKind.LoneRunReplied,
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
    services.poison.ask(`${attemptId}|settle`, {
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
      opened.match<DriveEvent>(
        ({ sessionId, sequence }) => ({
          kind: DriveEventKind.SessionOpened,
          askId,
          sessionId,
          sequence,
        }),
        () => ({ kind: DriveEventKind.SessionFailed, askId }),
      ),
    );
  }

  function takeClaim(effect: Extract<DriveEffect, { kind: DriveEffectKind.TakeClaim }>): void {
    const { askId, attempt, replacesId } = effect;
    const { keyText, bodyHash } = request;
    services.claims.take({ keyText, bodyHash, attempt, replacesId }, (reply) => {
      handle({
        kind: DriveEventKind.ClaimReplied,
        askId,
        outcome: CLAIM_OUTCOMES[reply.kind],
        holder: reply.holder,
        retryAfterMs: reply.retryAfterMs,
      });
    });
  }

  async function cancelAttempt(attempt: Attempt): Promise<void> {
    const answered = await services.rpc.call<CancelOutcome>(
      attempt.sidecar,
      RpcMethod.AttemptCancel,
      { attempt },
      { timeoutMs: CANCEL_TIMEOUT_MS },
    );
    // Without an answer the machine's own timer decides.
    if (answered.isErr()) return;
    const outcome = answered.value;
    handle({ kind: DriveEventKind.CancelReplied, attemptId: attempt.id, outcome });
  }

  function setTimer(effect: Extract<DriveEffect, { kind: DriveEffectKind.SetTimer }>): void {
    const { timer, timerId } = effect;
    const handleOfTimer = setTimeout(() => {
      timers.delete(handleOfTimer);
      handle({ kind: DriveEventKind.TimerFired, timer, timerId });
    }, effect.afterMs);
    timers.add(handleOfTimer);
  }

  function noteAttemptEnd(whole: boolean, failed: boolean): void {
    if (grant === null) return;
    const { place, predictedFirstTokenMs } = grant;
    grant = null;
    services.policyOf(request.service).noteEnd({
      target: place.target,
      workspace: request.workspace,
      promptTokens: estimateTokens(options.prompt),
      outputTokens: drive.tokens.length,
      whole,
      failed,
      firstTokenMs: firstTokenAtMs === null ? null : firstTokenAtMs - grantedAtMs,
      predictedFirstTokenMs,
    });
  }

  return {
    drive,
    handle,
    start: () => {
      handle({ kind: DriveEventKind.CallerArrived });
    },
    loneRunReplied: (reply) => {
      const askId = Number(reply.id.slice(reply.id.lastIndexOf('|') + 1));
      const { outcome, place, sidecarIncarnation, crashes, retryAfterMs } = reply;
      handle({
        kind: DriveEventKind.LoneRunReplied,
        askId,
        outcome,
        place,
        sidecarIncarnation,
        crashes,
        retryAfterMs,
      });
    },
    drained: stream.readOn,
  };
}

const CLAIM_OUTCOMES: Readonly<Record<ClaimReplyKind, ClaimOutcome>> = {
  [ClaimReplyKind.Granted]: ClaimOutcome.Granted,
  [ClaimReplyKind.Held]: ClaimOutcome.Held,
  [ClaimReplyKind.Unavailable]: ClaimOutcome.Unavailable,
};
