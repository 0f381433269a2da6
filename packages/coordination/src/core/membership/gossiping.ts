/**
 * Pushing news while there is some, within a budget of bytes, so that the death of a failure domain
 * costs no member more than it may spend.
 */
import type { MembershipContext, MembershipEffect } from './effects.js';
import { MembershipEffectKind } from './effects.js';
import type { MembershipMessage } from './messages.js';
import { MembershipMethod } from './messages.js';
import { newsIsEmpty, takeNews } from './news-queue.js';
import { sendLimit } from './probing.js';
import type { MembershipState } from './state.js';
import { pickPeer } from './view.js';
import { datagramBytes, encodeMembershipMessage } from './wire.js';

/** UDP and IPv4 headers of one datagram. */
export const DATAGRAM_HEADER_BYTES = 28;

/** Peers told at once of a member's own leaving; gossip does the rest. */
const FAREWELL_PEERS = 6;

function gossipTo(
  state: MembershipState,
  to: string,
  context: MembershipContext,
): MembershipEffect {
  const news = takeNews(state.news, state.options.newsBytesPerMessage, sendLimit(state));
  const message: MembershipMessage = {
    method: MembershipMethod.Gossip,
    hints: context.hints(),
    news,
  };
  const bytes = datagramBytes(encodeMembershipMessage(message)) + DATAGRAM_HEADER_BYTES;
  state.gossipBytes -= bytes;
  return { kind: MembershipEffectKind.SendDatagram, to, message };
}

/** Sends news to a few random peers when it is time. */
export function pushNews(state: MembershipState, context: MembershipContext): MembershipEffect[] {
  if (context.nowMs < state.timers.gossipAtMs) return [];
  const { gossipIntervalMs, gossipFanout, gossipBytesPerS } = state.options;
  state.timers.gossipAtMs = context.nowMs + gossipIntervalMs;
  const elapsedS = Math.max(0, context.nowMs - state.gossipRefilledAtMs) / 1_000;
  const refilled = state.gossipBytes + elapsedS * gossipBytesPerS;
  // Two messages may be saved up, so that no second costs much more than the next.
  state.gossipBytes = Math.min(2 * state.options.newsBytesPerMessage, refilled);
  state.gossipRefilledAtMs = context.nowMs;
  const effects: MembershipEffect[] = [];
  for (let sent = 0; sent < gossipFanout; sent += 1) {
    if (newsIsEmpty(state.news) || state.gossipBytes < state.options.newsBytesPerMessage) break;
    const to = pickPeer(state, [], context);
    if (to !== null) effects.push(gossipTo(state, to, context));
  }
  return effects;
}

/** Tells a few peers at once of this member's own leaving. */
export function farewell(state: MembershipState, context: MembershipContext): MembershipEffect[] {
  const effects: MembershipEffect[] = [];
  for (let told = 0; told < FAREWELL_PEERS; told += 1) {
    const to = pickPeer(state, [], context);
    if (to !== null) effects.push(gossipTo(state, to, context));
  }
  return effects;
}
