/** Which networks may use a port: a connection from elsewhere is closed before a byte is read. */
import { BlockList } from 'node:net';

const MAPPED_PREFIX = '::ffff:';

/** Says whether an address may connect. */
export type AllowsAddress = (remoteAddress: string | undefined) => boolean;

/**
 * The family of an address, of which only IPv6 has colons. The runtime's own check compiles a long
 * pattern when it is first asked, which is felt at each start.
 */
function familyOf(address: string): 'ipv4' | 'ipv6' {
  return address.includes(':') ? 'ipv6' : 'ipv4';
}

/** Allows the addresses of the given CIDR networks. */
export function allowNetworks(networks: readonly string[]): AllowsAddress {
  const allowed = new BlockList();
  for (const network of networks) {
    const [address = '', prefix] = network.split('/');
    allowed.addSubnet(address, Number(prefix), familyOf(address));
  }
  return (remoteAddress) => {
    if (remoteAddress === undefined) return false;
    const address = remoteAddress.startsWith(MAPPED_PREFIX)
      ? remoteAddress.slice(MAPPED_PREFIX.length)
      : remoteAddress;
    return allowed.check(address, familyOf(address));
  };
}
