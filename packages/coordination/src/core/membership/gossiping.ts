/**
 * Sends queued updates to random peers within a byte budget. The budget bounds the cost per member
 * when a whole failure domain fails.
 */
import type { MembershipContext, MembershipEffect } from './effects.js';
import { MembershipEffectKind } from './effects.js';
import type { MembershipMessage } from './messages.js';
import { MembershipMethod } from './messages.js';
import { isUpdateQueueEmpty, takeUpdates } from './update-queue.js';
import { sendLimit } from './probing.js';
import type { MembershipState } from './state.js';
import { pickPeer } from './view.js';
import { datagramBytes, encodeMembershipMessage } from './wire.js';

/** Size of the UDP and IPv4 headers of a datagram. */
export const DATAGRAM_HEADER_BYTES = 28;

/** Number of peers that are notified at once when this member leaves; gossip reaches the others. */
const LEAVE_GOSSIP_PEERS = 6;

function gossipTo(
  state: MembershipState,
  to: string,
  context: MembershipContext,
): MembershipEffect {
  const news = takeUpdates(
    state.updateQueue,
    state.options.updateBytesPerMessage,
    sendLimit(state),
  );
  const message: MembershipMessage = {
    method: MembershipMethod.Gossip,
    hints: context.hints(),
    news,
  };
  const bytes = datagramBytes(encodeMembershipMessage(message)) + DATAGRAM_HEADER_BYTES;
  state.gossipBudgetBytes -= bytes;
  return { kind: MembershipEffectKind.SendDatagram, to, message };
}

/** Sends updates to a few random peers when the gossip interval has passed. */
export function pushUpdates(
  state: MembershipState,
  context: MembershipContext,
): MembershipEffect[] {
  if (context.nowMs < state.timers.gossipAtMs) return [];
  const { gossipIntervalMs, gossipFanout, gossipBytesPerS } = state.options;
  state.timers.gossipAtMs = context.nowMs + gossipIntervalMs;
  const elapsedS = Math.max(0, context.nowMs - state.gossipRefilledAtMs) / 1_000;
  const refilledBytes = state.gossipBudgetBytes + elapsedS * gossipBytesPerS;
  // The budget saves up at most two messages, which keeps the byte rate even.
  state.gossipBudgetBytes = Math.min(2 * state.options.updateBytesPerMessage, refilledBytes);
  state.gossipRefilledAtMs = context.nowMs;
  const effects: MembershipEffect[] = [];
  for (let sent = 0; sent < gossipFanout; sent += 1) {
    if (
      isUpdateQueueEmpty(state.updateQueue) ||
      state.gossipBudgetBytes < state.options.updateBytesPerMessage
    )
      break;
    const to = pickPeer(state, [], context);
    if (to !== null) effects.push(gossipTo(state, to, context));
  }
  return effects;
}

/** Notifies a few peers at once that this member leaves. */
export function gossipLeave(
  state: MembershipState,
  context: MembershipContext,
): MembershipEffect[] {
  const effects: MembershipEffect[] = [];
  for (let count = 0; count < LEAVE_GOSSIP_PEERS; count += 1) {
    const to = pickPeer(state, [], context);
    if (to !== null) effects.push(gossipTo(state, to, context));
  }
  return effects;
}
