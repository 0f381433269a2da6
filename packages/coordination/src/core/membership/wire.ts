/**
 * Positional encoding and strict decoding of membership messages. Unexpected input always decodes
 * to a typed failure, never to an exception or a partially decoded message.
 */
import type { Result } from 'neverthrow';
import { err, ok } from 'neverthrow';
import type { Failure } from '../failures/failure.js';
import { MemberKind, MemberState } from '../model/member.js';
import { malformedMembershipMessage } from './failures.js';
import type { MemberDetails, MemberUpdate, MembershipMessage } from './messages.js';
import { MembershipMethod } from './messages.js';

/** Method and parameters of a JSON-RPC notification. */
export interface WireMessage {
  readonly method: string;
  readonly params: readonly unknown[];
}

/** The index of each entry is its code on the wire, so entries may only be appended. */
const STATE_CODES = [
  MemberState.Alive,
  MemberState.Suspect,
  MemberState.Leaving,
  MemberState.Dead,
] as const;

/** The index of each entry is its code on the wire, so entries may only be appended. */
const KIND_CODES = [MemberKind.Entry, MemberKind.Sidecar] as const;

/** Maximum length accepted for an id, a failure domain or a target. */
const MAX_TEXT_CHARS = 255;

/** Maximum updates per message: more than a datagram can hold, and enough for a sync page. */
const MAX_UPDATES = 4_096;

/** Maximum hints per message. */
const MAX_HINTS = 8;

/** Encodes an update as `[id, state, incarnation]`, followed by the details if they are known. */
export function encodeUpdate(update: MemberUpdate): unknown[] {
  const head: unknown[] = [update.id, STATE_CODES.indexOf(update.state), update.incarnation];
  if (update.details === null) return head;
  const { kind, failureDomain, target } = update.details;
  return [...head, KIND_CODES.indexOf(kind), failureDomain, target];
}

/** Encodes a message as a JSON-RPC notification. */
export function encodeMembershipMessage(message: MembershipMessage): WireMessage {
  switch (message.method) {
    case MembershipMethod.Ping:
    case MembershipMethod.Ack:
      return {
        method: message.method,
        params: [message.sequence, message.hints, message.news.map(encodeUpdate)],
      };
    case MembershipMethod.Probe:
      return { method: message.method, params: [message.sequence, message.target] };
    case MembershipMethod.Nack:
      return { method: message.method, params: [message.sequence] };
    case MembershipMethod.Gossip:
      return { method: message.method, params: [message.hints, message.news.map(encodeUpdate)] };
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

function decodeUpdate(value: unknown): MemberUpdate | null {
  if (!Array.isArray(value)) return null;
  const [id, stateCode, incarnation, ...detailParts] = value as unknown[];
  const state = isCount(stateCode) ? STATE_CODES[stateCode] : undefined;
  if (!isId(id) || state === undefined || !isCount(incarnation)) return null;
  const details = detailParts.length > 0 ? decodeDetails(detailParts) : null;
  if (detailParts.length > 0 && details === null) return null;
  return { id, state, incarnation, details };
}

/** Decodes a list of updates. Returns null when any of them is malformed. */
export function decodeUpdates(value: unknown): readonly MemberUpdate[] | null {
  if (!Array.isArray(value) || value.length > MAX_UPDATES) return null;
  const decoded: MemberUpdate[] = [];
  for (const item of value) {
    const update = decodeUpdate(item);
    if (update === null) return null;
    decoded.push(update);
  }
  return decoded;
}

function decodeHints(value: unknown): readonly number[] | null {
  if (!Array.isArray(value) || value.length > MAX_HINTS) return null;
  return value.every((hint) => typeof hint === 'number' && Number.isFinite(hint))
    ? (value as number[])
    : null;
}

function decodePingOrAck(
  method: MembershipMethod.Ping | MembershipMethod.Ack,
  params: readonly unknown[],
): MembershipMessage | null {
  const [sequence, rawHints, rawUpdates] = params;
  const hints = decodeHints(rawHints);
  const news = decodeUpdates(rawUpdates);
  if (!isCount(sequence) || hints === null || news === null) return null;
  return { method, sequence, hints, news };
}

function decodeParams(method: string, params: readonly unknown[]): MembershipMessage | null {
  const [first, second] = params;
  switch (method) {
    case MembershipMethod.Ping:
      return decodePingOrAck(MembershipMethod.Ping, params);
    case MembershipMethod.Ack:
      return decodePingOrAck(MembershipMethod.Ack, params);
    case MembershipMethod.Probe:
      if (!isCount(first) || !isId(second)) return null;
      return { method: MembershipMethod.Probe, sequence: first, target: second };
    case MembershipMethod.Nack:
      return isCount(first) ? { method: MembershipMethod.Nack, sequence: first } : null;
    case MembershipMethod.Gossip: {
      const hints = decodeHints(first);
      const news = decodeUpdates(second);
      if (hints === null || news === null) return null;
      return { method: MembershipMethod.Gossip, hints, news };
    }
    default:
      return null;
  }
}

/** Decodes a JSON-RPC notification. Errors: `malformed-membership-message`. */
export function decodeMembershipMessage(
  method: string,
  params: unknown,
): Result<MembershipMessage, Failure> {
  const message = Array.isArray(params) ? decodeParams(method, params) : null;
  if (message !== null) return ok(message);
  const reason = 'the parameters are not those of this method';
  return err(malformedMembershipMessage.of({ method: method.slice(0, MAX_TEXT_CHARS), reason }));
}

/** Returns the payload bytes of a datagram that carries this message. */
export function datagramBytes(message: WireMessage): number {
  return Buffer.byteLength(JSON.stringify({ jsonrpc: '2.0', ...message }));
}
