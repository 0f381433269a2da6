/**
 * Runs the record table of this member and calls those of the other holders. Calls to this member
 * itself bypass the network.
 */
import {
  DEFAULT_HOLDER_OPTIONS,
  DEFAULT_REPAIR_OPTIONS,
  HOLDER_CALL_TIMEOUT_MS,
  type Failure,
  type HolderCall,
  HolderCallKind,
  type HolderOptions,
  type HolderReply,
  type HolderState,
  type PlacedMember,
  type PlacedMembers,
  createHolder,
  createRepair,
  handleHolderCallWithRepair,
  onRepairReply,
  scheduleRepair,
  sweepHolder,
  updatePlacedMembers,
  tickRepair,
} from '@cassiamast/coordination';
import { ResultAsync, okAsync } from 'neverthrow';
import type { Child } from '../supervisor/supervisor.js';
import type { RpcHandler } from './control-server.js';
import type { RpcClient } from './rpc-client.js';
import type { Telemetry } from './telemetry.js';
import { createPeriodic } from './timers.js';

const TICK_MS = 100;

/** Dependencies of the driver. */
export interface HolderDriverOptions {
  readonly selfId: string;
  readonly nowMs: () => number;
  readonly rpc: RpcClient;
  readonly telemetry: Telemetry;
  readonly holdersOf: (keyText: string) => readonly string[];
  /** The members that keys are placed on. */
  readonly placed: () => readonly PlacedMember[];
  readonly answerRetentionMs: () => number;
}

/** Calls a holder, which can be this member. */
export type CallHolder = (to: string, call: HolderCall) => ResultAsync<HolderReply, Failure>;

/** The record table of this member. */
export interface HolderDriver {
  readonly child: Child;
  readonly state: HolderState;
  readonly handlers: Readonly<Record<HolderCallKind, RpcHandler>>;
  readonly callHolder: CallHolder;
  /** Must be called after each change of placement; restores copies at their new holders. */
  readonly placementChanged: () => void;
}

/** Creates the driver. */
export function createHolderDriver(options: HolderDriverOptions): HolderDriver {
  const state = createHolder(options.nowMs());
  const repair = createRepair();
  const placed: PlacedMembers = new Map();

  function holderOptions(): HolderOptions {
    return { ...DEFAULT_HOLDER_OPTIONS, answerRetentionMs: options.answerRetentionMs() };
  }

  function answer(call: HolderCall): HolderReply {
    const { selfId, holdersOf: holdersOfKey } = options;
    const place = { holder: state, repair, selfId, holdersOfKey };
    return handleHolderCallWithRepair(place, call, holderOptions(), options.nowMs());
  }

  const callHolder: CallHolder = (to, call) => {
    if (to === options.selfId) return okAsync(answer(call));
    const { telemetry, nowMs } = options;
    const askedAtMs = nowMs();
    telemetry.count('holder_calls_total');
    return options.rpc
      .call<HolderReply>(to, call.kind, call, { timeoutMs: HOLDER_CALL_TIMEOUT_MS })
      .map((reply) => {
        telemetry.record('holder_call_ms', nowMs() - askedAtMs);
        return reply;
      })
      .mapErr((failure) => {
        telemetry.count('holder_calls_failed_total');
        return failure;
      });
  };

  async function sendRepair(to: string, call: HolderCall): Promise<void> {
    if (call.kind !== HolderCallKind.Restore) return;
    const { keyText } = call.record;
    const reply = await callHolder(to, call);
    reply.map((value) => {
      onRepairReply(repair, state, options.selfId, options.holdersOf, {
        from: to,
        keyText,
        reply: value,
        options: DEFAULT_REPAIR_OPTIONS,
        nowMs: options.nowMs(),
        restore: (record) => {
          answer({ kind: HolderCallKind.Restore, record });
        },
      });
    });
  }

  function tick(): void {
    const nowMs = options.nowMs();
    sweepHolder(state, holderOptions(), nowMs);
    const sends = tickRepair(
      repair,
      state,
      options.selfId,
      options.holdersOf,
      DEFAULT_REPAIR_OPTIONS,
      nowMs,
    );
    for (const { to, call } of sends) void sendRepair(to, call);
    options.telemetry.count('records_repaired_total', sends.length);
    options.telemetry.gauge('records_held', state.records.size);
    options.telemetry.gauge('records_held_bytes', state.totalBytes);
  }

  const handler: RpcHandler = (params) => answer(params as HolderCall);
  return {
    state,
    callHolder,
    handlers: {
      [HolderCallKind.Create]: handler,
      [HolderCallKind.Note]: handler,
      [HolderCallKind.Finish]: handler,
      [HolderCallKind.Restore]: handler,
      [HolderCallKind.Release]: handler,
      [HolderCallKind.Read]: handler,
    },
    placementChanged: () => {
      const renewed = updatePlacedMembers(placed, options.placed());
      if (renewed !== null) scheduleRepair(repair, state, options.nowMs(), renewed);
    },
    child: createPeriodic('records', () => TICK_MS, tick),
  };
}
