/** Converts between addresses and member ids. A member id is its control address, `host:port`. */
import type { Address } from '@cassiamast/coordination';

/** Returns the member id of an address. */
export function formatAddress(address: Address): string {
  return `${address.host}:${String(address.port)}`;
}

/** Returns the address that a member id stands for. */
export function parseAddress(text: string): Address {
  const colon = text.lastIndexOf(':');
  return { host: text.slice(0, colon), port: Number(text.slice(colon + 1)) };
}
