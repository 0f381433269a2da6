/**
 * Authenticates members by their shared secret: a bearer token on HTTP, a message authentication
 * code on datagrams. Comparisons take constant time, so response times don't show how much of a
 * guess was right.
 */
import { createHash, createHmac, timingSafeEqual } from 'node:crypto';

const BEARER = 'Bearer ';
/** 96 bits: a forgery takes longer than the lifetime of a secret, at 16 characters per datagram. */
const MAC_CHARACTERS = 16;

/** Authenticates the messages between members. */
export interface MemberProof {
  readonly header: string;
  readonly isMember: (authorization: string | undefined) => boolean;
  readonly seal: (text: string) => string;
  /** Returns the text without its code, or null if it was sealed with another secret. */
  readonly open: (sealed: string) => string | null;
}

/** Creates the authentication for a secret. */
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
