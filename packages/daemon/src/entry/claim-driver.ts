/**
 * The entry's client for claims: requests a claim from the aggregator of the key and retries when
 * no reply arrives.
 */
import {
  type ClaimClientContext,
  type ClaimClientEffect,
  ClaimClientEffectKind,
  type ClaimReply,
  type ClaimRequest,
  DEFAULT_CLAIM_CLIENT_OPTIONS,
  requestClaim,
  createClaimClient,
  onClaimReply,
  tickClaimClient,
} from '@cassiamast/coordination';
import type { SubmitClaim } from '../node/claim-aggregator-driver.js';
import type { RpcClient } from '../node/rpc-client.js';
import { createPeriodic } from '../node/timers.js';
import { RpcMethod } from '../protocol/methods.js';
import type { Child } from '../supervisor/supervisor.js';

const TICK_MS = 100;

/** Options of the claim driver. */
export interface ClaimDriverOptions {
  readonly selfId: string;
  readonly nowMs: () => number;
  readonly rpc: RpcClient;
  readonly aggregatorOf: (keyText: string) => string | null;
  /** Takes a claim at the local aggregator, for keys that this member aggregates itself. */
  readonly takeLocally: SubmitClaim;
}

/** Takes claims for the requests of one entry. */
export interface ClaimDriver {
  readonly child: Child;
  readonly take: (request: ClaimRequest, onReply: (reply: ClaimReply) => void) => void;
}

/** Creates the claim driver. */
export function createClaimDriver(options: ClaimDriverOptions): ClaimDriver {
  const state = createClaimClient();
  const replyHandlers = new Map<string, (reply: ClaimReply) => void>();
  let lastCallNumber = 0;

  const context = (): ClaimClientContext => ({
    nowMs: options.nowMs(),
    options: DEFAULT_CLAIM_CLIENT_OPTIONS,
    aggregatorOf: options.aggregatorOf,
  });

  function perform(effects: readonly ClaimClientEffect[]): void {
    for (const effect of effects) {
      if (effect.kind === ClaimClientEffectKind.Send) void send(effect);
      else {
        replyHandlers.get(effect.callId)?.(effect.reply);
        replyHandlers.delete(effect.callId);
      }
    }
  }

  async function send(
    effect: Extract<ClaimClientEffect, { kind: ClaimClientEffectKind.Send }>,
  ): Promise<void> {
    const { callId, request, to } = effect;
    if (to === options.selfId) {
      perform(onClaimReply(state, callId, await options.takeLocally(request)));
      return;
    }
    const timeoutMs = DEFAULT_CLAIM_CLIENT_OPTIONS.giveUpAfterMs;
    const reply = await options.rpc.call<ClaimReply>(to, RpcMethod.ClaimTake, request, {
      timeoutMs,
    });
    if (reply.isOk()) perform(onClaimReply(state, callId, reply.value));
  }

  return {
    take: (request, onReply) => {
      lastCallNumber += 1;
      const callId = String(lastCallNumber);
      replyHandlers.set(callId, onReply);
      perform(requestClaim(state, callId, request, context()));
    },
    child: createPeriodic(
      'claims',
      () => TICK_MS,
      () => {
        perform(tickClaimClient(state, context()));
      },
    ),
  };
}
