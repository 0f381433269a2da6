/**
 * Detects a target that has become unresponsive while it has a request. Without it, requests would
 * wait for a failed engine until their callers disconnect, two to five seconds later, and more
 * requests would be sent to it. Inactivity of one request is not enough, since a busy engine lets
 * requests wait; the target counts as unresponsive only if it sends nothing for any other request
 * either.
 */
import type { StallWatch } from '../node/stall-watch.js';
import type { TargetActivity } from './target-activity.js';

/** Interval between checks of an inactive request. */
const RECHECK_INTERVAL_MS = 100;
/**
 * Inactivity of an unresponsive target, over all requests. Streams emit an event every 10 to 30 ms.
 */
const TARGET_INACTIVITY_MS = 600;

/** Watches one request at one target for inactivity. */
export interface InactivityWatch {
  /** Records that bytes were received for the request. */
  readonly noteBytes: () => void;
  readonly stop: () => void;
}

/** Sources that a watch evaluates. */
export interface InactivitySources {
  readonly pulse: TargetActivity;
  readonly standstill: Pick<StallWatch, 'catchUp'>;
  readonly nowMs: () => number;
}

/**
 * Starts to watch a request. Calls `onUnresponsive` once when the target is found unresponsive. An
 * event loop stall of this process does not count as inactivity of the target; otherwise many
 * streams and prefills would be given up at once although the data that targets sent meanwhile is
 * waiting to be read.
 */
export function watchInactivity(
  { pulse, standstill, nowMs }: InactivitySources,
  target: string,
  allowedMs: number,
  onUnresponsive: () => void,
): InactivityWatch {
  let lastBytesAtMs = nowMs();
  let timer = setTimeout(check, allowedMs);

  function check(): void {
    const remainingMs = allowedMs - (nowMs() - lastBytesAtMs);
    if (remainingMs > 0) timer = setTimeout(check, remainingMs);
    else if (standstill.catchUp() !== null) timer = setTimeout(check, RECHECK_INTERVAL_MS);
    else if (!pulse.isInactive(target, TARGET_INACTIVITY_MS))
      timer = setTimeout(check, RECHECK_INTERVAL_MS);
    else onUnresponsive();
  }

  return {
    noteBytes: () => {
      lastBytesAtMs = nowMs();
    },
    stop: () => {
      clearTimeout(timer);
    },
  };
}
