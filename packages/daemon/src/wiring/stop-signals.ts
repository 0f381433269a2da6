/**
 * Signals that stop a process. The first one stops it; further ones, of any of the kinds, change
 * nothing: a handler that is installed for one signal only leaves the next one its default action,
 * which ends the process at once with all that is open.
 */
import type { EventEmitter } from 'node:events';

const STOP_SIGNALS = ['SIGTERM', 'SIGINT'] as const;

/** Stops on the first signal, and tells when that is over and whether it went well. */
export function stopOnSignals(
  source: Pick<EventEmitter, 'on'>,
  stop: () => Promise<void>,
  onStopped: (wentWell: boolean) => void,
): void {
  let stopping = false;
  const begin = (): void => {
    if (stopping) return;
    stopping = true;
    stop().then(
      () => {
        onStopped(true);
      },
      () => {
        onStopped(false);
      },
    );
  };
  for (const signal of STOP_SIGNALS) source.on(signal, begin);
}
