/**
 * Checks whether a VM is live by opening a TCP connection. The kernel accepts it however busy the
 * process is. A VM that is powered off, frozen or disconnected accepts none, and a VM whose process
 * has died resets it.
 */
import { connect } from 'node:net';

/** Returns whether a connection to `host:port` is accepted within `withinMs`. */
export type IsReachable = (address: string, withinMs: number) => Promise<boolean>;

/** Opens a connection and closes it again. */
export const isReachable: IsReachable = (address, withinMs) =>
  new Promise((resolve) => {
    const separator = address.lastIndexOf(':');
    const host = address.slice(0, separator);
    const socket = connect({ host, port: Number(address.slice(separator + 1)) });
    const settle = (reached: boolean): void => {
      clearTimeout(timer);
      socket.destroy();
      resolve(reached);
    };
    // Pending I/O events run first: after an event loop stall, timers fire before them.
    const timer = setTimeout(() => {
      setImmediate(() => {
        settle(false);
      });
    }, withinMs);
    socket.once('connect', () => {
      settle(true);
    });
    socket.once('error', () => {
      settle(false);
    });
  });
