/**
 * The positional encoding of membership messages and its strict decoding. A decoder trusts nothing:
 * anything unexpected is a typed failure, never an exception or a half-read message.
 */
import type { Result } from 'neverthrow';
import { err, ok } from 'neverthrow';
import type { Failure } from '../failures/failure.js';
import { MemberKind, MemberState } from '../model/member.js';
import { malformedMembershipMessage } from './failures.js';
import type { MemberDetails, MemberNews, MembershipMessage } from './messages.js';
import { MembershipMethod } from './messages.js';

/** A JSON-RPC notification's method and parameters. */
export interface WireMessage {
  readonly method: string;
  readonly params: readonly unknown[];
}

/** Positions in this list are the codes on the wire: append only. */
const STATE_CODES = [
  MemberState.Alive,
  MemberState.Suspect,
  MemberState.Leaving,
  MemberState.Dead,
] as const;

/** Positions in this list are the codes on the wire: append only. */
const KIND_CODES = [MemberKind.Entry, MemberKind.Sidecar] as const;

/** Longest text taken from the wire for an id, a failure domain or a target. */
const MAX_TEXT_CHARS = 255;

/** Most news taken from one message; far more than fits in a datagram, enough for a page. */
const MAX_NEWS = 4_096;

/** Most hints taken from one message. */
const MAX_HINTS = 8;

/** Encodes one piece of news as `[id, state, incarnation]` with the details appended if known. */
export function encodeNews(news: MemberNews): unknown[] {
  const head: unknown[] = [news.id, STATE_CODES.indexOf(news.state), news.incarnation];
  if (news.details === null) return head;
  const { kind, failureDomain, target } = news.details;
  return [...head, KIND_CODES.indexOf(kind), failureDomain, target];
}

/** Encodes a message for a JSON-RPC notification. */
export function encodeMembershipMessage(message: MembershipMessage): WireMessage {
  switch (message.method) {
    case MembershipMethod.Ping:
    case MembershipMethod.Ack:
      return {
        method: message.method,
        params: [message.sequence, message.hints, message.news.map(encodeNews)],
      };
    case MembershipMethod.Probe:
      return { method: message.method, params: [message.sequence, message.target] };
    case MembershipMethod.Nack:
      return { method: message.method, params: [message.sequence] };
    case MembershipMethod.Gossip:
      return { method: message.method, params: [message.hints, message.news.map(encodeNews)] };
  }
}

function isCount(value: unknown): value is number {
  return typeof value === 'number' && Number.isSafeInteger(value) && value >= 0;
}

function isText(value: unknown): value is string {
  return typeof value === 'string' && value.length <= MAX_TEXT_CHARS;
}

function isId(value: unknown): value is string {
  return isText(value) && /^.+:\d{1,5}$/.test(value);
}

function decodeDetails(parts: readonly unknown[]): MemberDetails | null {
  const [kindCode, failureDomain, target] = parts;
  const kind = isCount(kindCode) ? KIND_CODES[kindCode] : undefined;
  if (kind === undefined || !isText(failureDomain) || !isText(target)) return null;
  return { kind, failureDomain, target };
}

function decodeOneNews(value: unknown): MemberNews | null {
  if (!Array.isArray(value)) return null;
  const [id, stateCode, incarnation, ...rest] = value as unknown[];
  const state = isCount(stateCode) ? STATE_CODES[stateCode] : undefined;
  if (!isId(id) || state === undefined || !isCount(incarnation)) return null;
  const details = rest.length > 0 ? decodeDetails(rest) : null;
  if (rest.length > 0 && details === null) return null;
  return { id, state, incarnation, details };
}

/** Decodes a list of news, or null when any part of it is malformed. */
export function decodeNews(value: unknown): readonly MemberNews[] | null {
  if (!Array.isArray(value) || value.length > MAX_NEWS) return null;
  const decoded: MemberNews[] = [];
  for (const item of value) {
    const news = decodeOneNews(item);
    if (news === null) return null;
    decoded.push(news);
  }
  return decoded;
}

function decodeHints(value: unknown): readonly number[] | null {
  if (!Array.isArray(value) || value.length > MAX_HINTS) return null;
  return value.every((hint) => typeof hint === 'number' && Number.isFinite(hint))
    ? (value as number[])
    : null;
}

function decodeCarrier(
  method: MembershipMethod.Ping | MembershipMethod.Ack,
  params: readonly unknown[],
): MembershipMessage | null {
  const [sequence, rawHints, rawNews] = params;
  const hints = decodeHints(rawHints);
  const news = decodeNews(rawNews);
  if (!isCount(sequence) || hints === null || news === null) return null;
  return { method, sequence, hints, news };
}

function decodeParams(method: string, params: readonly unknown[]): MembershipMessage | null {
  const [first, second] = params;
  switch (method) {
    case MembershipMethod.Ping:
      return decodeCarrier(MembershipMethod.Ping, params);
    case MembershipMethod.Ack:
      return decodeCarrier(MembershipMethod.Ack, params);
    case MembershipMethod.Probe:
      if (!isCount(first) || !isId(second)) return null;
      return { method: MembershipMethod.Probe, sequence: first, target: second };
    case MembershipMethod.Nack:
      return isCount(first) ? { method: MembershipMethod.Nack, sequence: first } : null;
    case MembershipMethod.Gossip: {
      const hints = decodeHints(first);
      const news = decodeNews(second);
      if (hints === null || news === null) return null;
      return { method: MembershipMethod.Gossip, hints, news };
    }
    default:
      return null;
  }
}

/** Decodes a notification. Errors: `malformed-membership-message`. */
export function decodeMembershipMessage(
  method: string,
  params: unknown,
): Result<MembershipMessage, Failure> {
  const message = Array.isArray(params) ? decodeParams(method, params) : null;
  if (message !== null) return ok(message);
  const reason = 'the parameters are not those of this method';
  return err(malformedMembershipMessage.of({ method: method.slice(0, MAX_TEXT_CHARS), reason }));
}

/** Bytes of a datagram's payload that carries this message as a JSON-RPC notification. */
export function datagramBytes(message: WireMessage): number {
  return Buffer.byteLength(JSON.stringify({ jsonrpc: '2.0', ...message }));
}
