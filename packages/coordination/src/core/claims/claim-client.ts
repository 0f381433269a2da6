/**
 * The client through which an entry requests claims. It calls the aggregator of the key's shard,
 * retries with the current aggregator if no answer arrives, and gives up after a timeout. Repeated
 * requests are harmless, as a claim is granted again to the attempt that already holds it.
 */
import { ClaimReplyKind } from './claim.js';
import type { ClaimReply, ClaimRequest } from './claim.js';

/** Limits of the client. */
export interface ClaimClientOptions {
  readonly resendAfterMs: number;
  readonly giveUpAfterMs: number;
  readonly maxPending: number;
}

/** A request that has not been answered yet. */
interface RequestedClaim {
  readonly request: ClaimRequest;
  readonly requestedAtMs: number;
  sentAtMs: number;
}

/** State of the client: pending requests, by call id. */
export interface ClaimClientState {
  readonly pending: Map<string, RequestedClaim>;
}

/** Kinds of effects that the client requests. */
export enum ClaimClientEffectKind {
  Send = 'send',
  Decided = 'decided',
}

/** An effect to perform. */
export type ClaimClientEffect =
  | {
      readonly kind: ClaimClientEffectKind.Send;
      readonly to: string;
      readonly callId: string;
      readonly request: ClaimRequest;
    }
  | {
      readonly kind: ClaimClientEffectKind.Decided;
      readonly callId: string;
      readonly reply: ClaimReply;
    };

/** Inputs of one call to the client. */
export interface ClaimClientContext {
  readonly nowMs: number;
  readonly options: ClaimClientOptions;
  /** Returns the member that is the aggregator of a key now, or null if there is none. */
  readonly aggregatorOf: (keyText: string) => string | null;
}

/** Creates a client without pending requests. */
export function createClaimClient(): ClaimClientState {
  return { pending: new Map() };
}

/** Requests a claim. `callId` must be unique within this process. */
export function requestClaim(
  state: ClaimClientState,
  callId: string,
  request: ClaimRequest,
  context: ClaimClientContext,
): readonly ClaimClientEffect[] {
  if (state.pending.size >= context.options.maxPending) return [unavailableEffect(callId, context)];
  const { nowMs } = context;
  state.pending.set(callId, { request, requestedAtMs: nowMs, sentAtMs: nowMs });
  return send(callId, request, context);
}

/** Handles an aggregator's reply. Only the first reply to a call counts. */
export function onClaimReply(
  state: ClaimClientState,
  callId: string,
  reply: ClaimReply,
): readonly ClaimClientEffect[] {
  if (!state.pending.delete(callId)) return [];
  return [{ kind: ClaimClientEffectKind.Decided, callId, reply }];
}

/** Resends unanswered requests, and gives up those that are overdue. */
export function tickClaimClient(
  state: ClaimClientState,
  context: ClaimClientContext,
): readonly ClaimClientEffect[] {
  const { nowMs, options } = context;
  const out: ClaimClientEffect[] = [];
  for (const [callId, claim] of state.pending) {
    if (nowMs - claim.requestedAtMs >= options.giveUpAfterMs) {
      state.pending.delete(callId);
      out.push(unavailableEffect(callId, context));
    } else if (nowMs - claim.sentAtMs >= options.resendAfterMs) {
      claim.sentAtMs = nowMs;
      out.push(...send(callId, claim.request, context));
    }
  }
  return out;
}

function send(
  callId: string,
  request: ClaimRequest,
  context: ClaimClientContext,
): readonly ClaimClientEffect[] {
  const to = context.aggregatorOf(request.keyText);
  return to === null ? [] : [{ kind: ClaimClientEffectKind.Send, to, callId, request }];
}

function unavailableEffect(callId: string, context: ClaimClientContext): ClaimClientEffect {
  const reply = {
    kind: ClaimReplyKind.Unavailable,
    holder: null,
    retryAfterMs: context.options.giveUpAfterMs,
  };
  return { kind: ClaimClientEffectKind.Decided, callId, reply };
}
