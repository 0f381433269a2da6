/**
 * The members' shared secret: a bearer token on HTTP, a keyed digest on datagrams. Compared in
 * constant time, so that response times do not tell how much of a guess was right.
 */
import { createHash, createHmac, timingSafeEqual } from 'node:crypto';

const BEARER = 'Bearer ';
/** 96 bits: forging one takes longer than a secret's life, and it costs 16 characters a datagram. */
const MAC_CHARACTERS = 16;

/** Signs and checks what members send each other. */
export interface MemberProof {
  readonly header: string;
  readonly isMember: (authorization: string | undefined) => boolean;
  readonly seal: (text: string) => string;
  /** The sealed text, or null when it was not sealed with the same secret. */
  readonly open: (sealed: string) => string | null;
}

/** Makes the proof of one secret. */
export function createMemberProof(secret: string): MemberProof {
  const expected = digest(BEARER + secret);
  const mac = (text: string): string =>
    createHmac('sha256', secret).update(text).digest('base64url').slice(0, MAC_CHARACTERS);
  return {
    header: BEARER + secret,
    isMember: (authorization) =>
      authorization !== undefined && timingSafeEqual(digest(authorization), expected),
    seal: (text) => mac(text) + text,
    open: (sealed) => {
      const text = sealed.slice(MAC_CHARACTERS);
      const valid = timingSafeEqual(digest(sealed.slice(0, MAC_CHARACTERS)), digest(mac(text)));
      return valid ? text : null;
    },
  };
}

function digest(text: string): Buffer {
  return createHash('sha256').update(text).digest();
}
