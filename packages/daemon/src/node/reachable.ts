/**
 * Whether a VM is there at all. Its kernel takes a connection however busy the process behind it is;
 * one without power, frozen or cut off takes none, and one whose process died resets it.
 */
import { connect } from 'node:net';

/** Says whether a connection to `host:port` is taken within a time. */
export type IsReachable = (address: string, withinMs: number) => Promise<boolean>;

/** Opens a connection and closes it again. */
export const isReachable: IsReachable = (address, withinMs) =>
  new Promise((resolve) => {
    const separator = address.lastIndexOf(':');
    const host = address.slice(0, separator);
    const socket = connect({ host, port: Number(address.slice(separator + 1)) });
    const finish = (reached: boolean): void => {
      clearTimeout(timer);
      socket.destroy();
      resolve(reached);
    };
    // After what has come in meanwhile: timers of a process that had no processor go first.
    const timer = setTimeout(() => {
      setImmediate(() => {
        finish(false);
      });
    }, withinMs);
    socket.once('connect', () => {
      finish(true);
    });
    socket.once('error', () => {
      finish(false);
    });
  });
