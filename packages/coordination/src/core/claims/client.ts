/**
 * An entry's side of claims: asks the aggregator of the key's shard, asks again when no answer
 * comes, whichever member is the aggregator then, and gives up in time. Asking twice is harmless:
 * a claim knows its own attempt.
 */
import { ClaimReplyKind } from './claim.js';
import type { ClaimReply, ClaimRequest } from './claim.js';

/** Bounds of the client. */
export interface ClaimClientOptions {
  readonly resendAfterMs: number;
  readonly giveUpAfterMs: number;
  readonly maxPending: number;
}

/** A claim under way. */
interface AskedClaim {
  readonly request: ClaimRequest;
  readonly askedAtMs: number;
  sentAtMs: number;
}

/** Claims under way, by the asker's id. */
export interface ClaimClientState {
  readonly pending: Map<string, AskedClaim>;
}

/** What is to be done. */
export enum ClaimClientEffectKind {
  Send = 'send',
  Decided = 'decided',
}

/** One thing to be done. */
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

/** What varies from call to call. */
export interface ClaimClientContext {
  readonly nowMs: number;
  readonly options: ClaimClientOptions;
  readonly aggregatorOf: (keyText: string) => string | null;
}

/** No claims. */
export function createClaimClient(): ClaimClientState {
  return { pending: new Map() };
}

/** Asks for a claim; `callId` is unique in this process. */
export function askClaim(
  state: ClaimClientState,
  callId: string,
  request: ClaimRequest,
  context: ClaimClientContext,
): readonly ClaimClientEffect[] {
  if (state.pending.size >= context.options.maxPending) return [refused(callId, context)];
  const { nowMs } = context;
  state.pending.set(callId, { request, askedAtMs: nowMs, sentAtMs: nowMs });
  return send(callId, request, context);
}

/** Takes an aggregator's answer; only the first one counts. */
export function onClaimReply(
  state: ClaimClientState,
  callId: string,
  reply: ClaimReply,
): readonly ClaimClientEffect[] {
  if (!state.pending.delete(callId)) return [];
  return [{ kind: ClaimClientEffectKind.Decided, callId, reply }];
}

/** Asks again what was not answered, and gives up what is overdue. */
export function tickClaimClient(
  state: ClaimClientState,
  context: ClaimClientContext,
): readonly ClaimClientEffect[] {
  const { nowMs, options } = context;
  const out: ClaimClientEffect[] = [];
  for (const [callId, asked] of state.pending) {
    if (nowMs - asked.askedAtMs >= options.giveUpAfterMs) {
      state.pending.delete(callId);
      out.push(refused(callId, context));
    } else if (nowMs - asked.sentAtMs >= options.resendAfterMs) {
      asked.sentAtMs = nowMs;
      out.push(...send(callId, asked.request, context));
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

function refused(callId: string, context: ClaimClientContext): ClaimClientEffect {
  const reply = {
    kind: ClaimReplyKind.Unavailable,
    holder: null,
    retryAfterMs: context.options.giveUpAfterMs,
  };
  return { kind: ClaimClientEffectKind.Decided, callId, reply };
}
