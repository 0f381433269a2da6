/** Addresses as texts: a member's id is its control address, `host:port`. */
import type { Address } from '@cassiamast/coordination';

/** The member id of an address. */
export function formatAddress(address: Address): string {
  return `${address.host}:${String(address.port)}`;
}

/** The address that a member id names. */
export function parseAddress(text: string): Address {
  const colon = text.lastIndexOf(':');
  return { host: text.slice(0, colon), port: Number(text.slice(colon + 1)) };
}
