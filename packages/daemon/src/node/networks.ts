/** Which networks may use a port: a connection from elsewhere is closed before a byte is read. */
import { BlockList, isIPv6 } from 'node:net';

const MAPPED_PREFIX = '::ffff:';

/** Says whether an address may connect. */
export type AllowsAddress = (remoteAddress: string | undefined) => boolean;

/** Allows the addresses of the given CIDR networks. */
export function allowNetworks(networks: readonly string[]): AllowsAddress {
  const allowed = new BlockList();
  for (const network of networks) {
    const [address = '', prefix] = network.split('/');
    allowed.addSubnet(address, Number(prefix), isIPv6(address) ? 'ipv6' : 'ipv4');
  }
  return (remoteAddress) => {
    if (remoteAddress === undefined) return false;
    const address = remoteAddress.startsWith(MAPPED_PREFIX)
      ? remoteAddress.slice(MAPPED_PREFIX.length)
      : remoteAddress;
    return allowed.check(address, isIPv6(address) ? 'ipv6' : 'ipv4');
  };
}
