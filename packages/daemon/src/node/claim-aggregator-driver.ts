/**
 * Runs the claim aggregator of this member: executes the effects of its state machine against the
 * key-value service. Every member can batch the claims of others into one transaction.
 */
import {
  type AggregatorEffect,
  AggregatorEffectKind,
  type AggregatorEvent,
  AggregatorEventKind,
  type ClaimReply,
  type ClaimRequest,
  DEFAULT_AGGREGATOR_OPTIONS,
  type Random,
  createAggregator,
  handleAggregatorEvent,
} from '@cassiamast/coordination';
import type { KeyValuePort } from '@cassiamast/ports';
import type { Telemetry } from './telemetry.js';

/** Dependencies of the driver. */
export interface ClaimAggregatorOptions {
  readonly nowMs: () => number;
  readonly random: Random;
  readonly keyValue: KeyValuePort;
  readonly telemetry: Telemetry;
}

/** Submits a claim. The promise resolves with the reply once its transaction has an outcome. */
export type SubmitClaim = (request: ClaimRequest) => Promise<ClaimReply>;

/** Creates the claim aggregator of this member. */
export function createClaimAggregator(options: ClaimAggregatorOptions): SubmitClaim {
  const { keyValue, telemetry } = options;
  const state = createAggregator();
  const pendingReplies = new Map<string, (reply: ClaimReply) => void>();
  let lastCallNumber = 0;

  function handle(event: AggregatorEvent): void {
    const context = {
      nowMs: options.nowMs(),
      random: options.random,
      options: DEFAULT_AGGREGATOR_OPTIONS,
    };
    for (const effect of handleAggregatorEvent(state, event, context)) perform(effect);
  }

  function perform(effect: AggregatorEffect): void {
    switch (effect.kind) {
      case AggregatorEffectKind.GrantLease:
        void grantLease(effect.ttlMs);
        return;
      case AggregatorEffectKind.Transact:
        void transact(effect);
        return;
      case AggregatorEffectKind.Reply:
        pendingReplies.get(effect.callId)?.(effect.reply);
        pendingReplies.delete(effect.callId);
        return;
      case AggregatorEffectKind.SetTimer: {
        const { timerId } = effect;
        setTimeout(() => {
          handle({ kind: AggregatorEventKind.TimerFired, timerId });
        }, effect.afterMs);
      }
    }
  }

  async function grantLease(ttlMs: number): Promise<void> {
    telemetry.count('key_value_writes_total');
    const lease = await keyValue.grantLease(ttlMs);
    handle(
      lease.match<AggregatorEvent>(
        ({ leaseId }) => ({ kind: AggregatorEventKind.LeaseGranted, leaseId }),
        () => ({ kind: AggregatorEventKind.LeaseFailed }),
      ),
    );
  }

  async function transact(
    effect: Extract<AggregatorEffect, { kind: AggregatorEffectKind.Transact }>,
  ): Promise<void> {
    telemetry.count('key_value_writes_total');
    const result = await keyValue.transact(effect.compares, effect.writes);
    handle(
      result.match<AggregatorEvent>(
        (outcome) => ({ kind: AggregatorEventKind.Transacted, outcome }),
        () => ({ kind: AggregatorEventKind.TransactionFailed }),
      ),
    );
  }

  return (request) =>
    new Promise((resolve) => {
      lastCallNumber += 1;
      const callId = String(lastCallNumber);
      pendingReplies.set(callId, resolve);
      telemetry.count('claims_asked_total');
      handle({ kind: AggregatorEventKind.Requested, callId, request });
    });
}
