/**
 * Runs the attempt machine of a sidecar. It passes work to the backend, writes streams to the
 * entries that read them, reports the end of attempts to the holders of their records and reports
 * crashes to the ledger.
 */
import { randomUUID } from 'node:crypto';
import type { ServerResponse } from 'node:http';
import {
  type AttachMessage,
  type CancelMessage,
  type CancelOutcome,
  type CrashSuspect,
  DEFAULT_HOST_OPTIONS,
  type DispatchMessage,
  type HostContext,
  type HostEffect,
  HostEffectKind,
  type HostEvent,
  HostEventKind,
  type HostState,
  type LoneRunStatus,
  type OpenSessionMessage,
  type ProbeMessage,
  cancelHosted,
  createHost,
  handleHostEvent,
  loneRunKeyOf,
  openAttempts,
  openSession,
  parseLoneRun,
  probeLoneRun,
  runningAttempts,
} from '@cassiamast/coordination';
import type { KeyValuePort } from '@cassiamast/ports';
import {
  type JSONRPCID,
  createJSONRPCNotification,
  createJSONRPCSuccessResponse,
} from 'json-rpc-2.0';
import type { RpcHandler, StreamHandler } from '../node/control-server.js';
import { type EventStreamWriter, startEventStream } from '../node/event-stream.js';
import type { CallHolder } from '../node/holder-driver.js';
import type { Telemetry } from '../node/telemetry.js';
import { createPeriodic } from '../node/timers.js';
import { RpcMethod } from '../protocol/methods.js';
import { type StreamOutcome, StreamOutcomeKind } from '../protocol/stream.js';
import type { Child } from '../supervisor/supervisor.js';
import type { Backend } from './backend.js';

const TICK_MS = 100;

/** Dependencies of the host driver. */
export interface HostDriverOptions {
  readonly selfId: string;
  readonly target: string;
  readonly nowMs: () => number;
  readonly telemetry: Telemetry;
  readonly holdersOf: (keyText: string) => readonly string[];
  readonly callHolder: CallHolder;
  readonly keyValue: KeyValuePort;
  /** The backend of the target, or null while there is none. */
  readonly backend: () => Backend | null;
  /** Current load of the target, sent when a stream opens; empty before the first reading. */
  readonly loadNow: () => readonly unknown[];
  readonly reportCrash: (service: string, suspects: readonly CrashSuspect[]) => void;
}

/** Attempts of a sidecar with their RPC and stream handlers. */
export interface HostDriver {
  readonly child: Child;
  readonly state: HostState;
  readonly handlers: Readonly<Record<string, RpcHandler>>;
  readonly streams: Readonly<Record<string, StreamHandler>>;
  readonly handle: (event: HostEvent) => void;
  /** Number of attempts that the engine is running. */
  readonly runningCount: () => number;
  /** Number of attempts that must end before the process may stop. */
  readonly openCount: () => number;
}

/** Connection of an entry that reads a stream. */
interface Connection {
  readonly callId: JSONRPCID;
  readonly stream: EventStreamWriter;
}

/** Creates the host driver of a sidecar. */
export function createHostDriver(options: HostDriverOptions): HostDriver {
  const { telemetry } = options;
  const state = createHost(options.selfId, options.target, randomUUID());
  const connections = new Map<string, Connection>();
  /** Streams to resume once there is a backend; bounded by the attempts of the machine. */
  const pendingResumes: { readonly attemptId: string; readonly fromIndex: number }[] = [];

  const context = (): HostContext => ({
    nowMs: options.nowMs(),
    options: DEFAULT_HOST_OPTIONS,
    holdersOfKey: options.holdersOf,
  });

  function handle(event: HostEvent): void {
    performAll(handleHostEvent(state, event, context()));
  }

  function performAll(effects: readonly HostEffect[]): void {
    for (const effect of effects) perform(effect);
  }

  function perform(effect: HostEffect): void {
    switch (effect.kind) {
      case HostEffectKind.StartEngine:
        telemetry.count('attempts_started_total');
        options.backend()?.start(effect.attempt, effect.payload, effect.continueFrom);
        return;
      case HostEffectKind.ResumeEngine:
        telemetry.count('attempts_resumed_total');
        pendingResumes.push({ attemptId: effect.attemptId, fromIndex: effect.fromIndex });
        resumePending();
        return;
      case HostEffectKind.CancelEngine:
        options.backend()?.cancel(effect.attemptId);
        return;
      case HostEffectKind.OpenStream:
        notify(effect.attachId, RpcMethod.StreamOpened, options.loadNow());
        return;
      case HostEffectKind.SendTokens:
        telemetry.count('tokens_sent_total', effect.tokens.length);
        notify(effect.attachId, RpcMethod.StreamTokens, {
          index: effect.index,
          tokens: effect.tokens,
        });
        return;
      case HostEffectKind.EndStream:
        finish(effect.attachId, { kind: StreamOutcomeKind.Ended, end: effect.end });
        return;
      case HostEffectKind.FailStream:
        telemetry.count('attempts_failed_total');
        finish(effect.attachId, { kind: StreamOutcomeKind.Failed, failure: effect.failure });
        return;
      case HostEffectKind.CallHolder:
        void callHolder(effect);
        return;
      case HostEffectKind.ReportCrash:
        options.reportCrash(effect.service, effect.suspects);
        return;
      case HostEffectKind.CheckLoneRun:
        void checkLoneRun(effect.attemptId, effect.service);
        return;
      case HostEffectKind.Emit:
        telemetry.emit(effect.event);
    }
  }

  /**
   * Resumes the streams that entries requested before this process had its configuration and thus
   * its engine. Without the queue such a stream would hang until the caller's deadline.
   */
  function resumePending(): void {
    const backend = options.backend();
    if (backend === null) return;
    for (const { attemptId, fromIndex } of pendingResumes.splice(0)) {
      backend.resume(attemptId, fromIndex);
    }
  }

  async function checkLoneRun(attemptId: string, service: string): Promise<void> {
    telemetry.count('key_value_reads_total');
    const stored = await options.keyValue.get(loneRunKeyOf(service));
    // During an outage of the store the attempt machine repeats the check by itself.
    if (stored.isErr()) return;
    const stands = parseLoneRun(stored.value)?.attemptId === attemptId;
    handle({ kind: HostEventKind.LoneRunChecked, attemptId, isCurrentLoneRun: stands });
  }

  async function callHolder(
    effect: Extract<HostEffect, { kind: HostEffectKind.CallHolder }>,
  ): Promise<void> {
    const { attemptId, to } = effect;
    const answer = await options.callHolder(to, effect.call);
    handle(
      answer.match<HostEvent>(
        (reply) => ({ kind: HostEventKind.HolderReplied, attemptId, from: to, reply }),
        () => ({ kind: HostEventKind.HolderFailed, attemptId, from: to }),
      ),
    );
  }

  function notify(attachId: string, method: RpcMethod, params: unknown): void {
    const connection = connections.get(attachId);
    if (connection === undefined) return;
    const data = JSON.stringify(createJSONRPCNotification(method, params));
    const canAcceptMore = connection.stream.write({ data });
    if (!canAcceptMore) handle({ kind: HostEventKind.ReaderPaused, attachId });
  }

  function finish(attachId: string, outcome: StreamOutcome): void {
    const connection = connections.get(attachId);
    if (connection === undefined) return;
    connections.delete(attachId);
    const message = createJSONRPCSuccessResponse(connection.callId, outcome);
    connection.stream.write({ data: JSON.stringify(message) });
    connection.stream.end();
  }

  /** Registers the connection of an entry, which from then on receives the machine's messages. */
  function connect(callId: JSONRPCID, response: ServerResponse): string {
    const attachId = randomUUID();
    const stream = startEventStream(response, {}, () => {
      handle({ kind: HostEventKind.ReaderResumed, attachId });
    });
    connections.set(attachId, { callId, stream });
    response.on('close', () => {
      if (connections.delete(attachId)) handle({ kind: HostEventKind.Detached, attachId });
    });
    return attachId;
  }

  function cancel(message: CancelMessage): CancelOutcome {
    const { outcome, effects } = cancelHosted(state, message, context());
    performAll(effects);
    return outcome;
  }

  const probe = (message: ProbeMessage): LoneRunStatus => probeLoneRun(state, message, context());

  return {
    state,
    handle,
    runningCount: () => runningAttempts(state).length,
    openCount: () => openAttempts(state).length,
    handlers: {
      [RpcMethod.SessionOpen]: (params) =>
        openSession(
          state.sessions,
          (params as OpenSessionMessage).entryIncarnation,
          DEFAULT_HOST_OPTIONS.sessions,
        ),
      [RpcMethod.AttemptCancel]: (params) => cancel(params as CancelMessage),
      [RpcMethod.LoneRunProbe]: (params) => probe(params as ProbeMessage),
    },
    streams: {
      [RpcMethod.StreamOpen]: (call, response) => {
        const message = call.params as DispatchMessage;
        const attachId = connect(call.id ?? null, response);
        handle({ kind: HostEventKind.Dispatched, attachId, message });
      },
      [RpcMethod.StreamAttach]: (call, response) => {
        const message = call.params as AttachMessage;
        const attachId = connect(call.id ?? null, response);
        handle({ kind: HostEventKind.Attached, attachId, message });
      },
    },
    child: createPeriodic(
      'attempts',
      () => TICK_MS,
      () => {
        resumePending();
        handle({ kind: HostEventKind.Tick });
        telemetry.gauge('attempts_held', state.attempts.size);
        telemetry.gauge('attempts_held_bytes', state.totalBytes);
      },
    ),
  };
}
