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
  /** Suspends the watch while the caller, not the target, holds the answer up. */
  readonly pause: () => void;
  readonly resume: () => void;
  readonly stop: () => void;
}

/** Sources that a watch evaluates. */
export interface InactivitySources {
  readonly pulse: TargetActivity;
  readonly standstill: Pick<StallWatch, 'catchUp'>;
  readonly nowMs: () => number;
}

/** Callbacks of a watch. */
export interface InactivityEvents {
  /** Called when the target is found unresponsive. */
  readonly onSilent: () => void;
  /** Called when an unresponsive target sends something for the request again. */
  readonly onActive: (silentForMs: number) => void;
}

/**
 * Starts to watch a request. An event loop stall of this process does not count as inactivity of the
 * target; otherwise many targets would be taken for unresponsive at once although the data that they
 * sent meanwhile is waiting to be read.
 */
export function watchInactivity(
  { pulse, standstill, nowMs }: InactivitySources,
  target: string,
  allowedMs: number,
  { onSilent, onActive }: InactivityEvents,
): InactivityWatch {
  let lastBytesAtMs = nowMs();
  let isSilent = false;
  let isPaused = false;
  let timer = setTimeout(check, allowedMs);

  function check(): void {
    const remainingMs = allowedMs - (nowMs() - lastBytesAtMs);
    if (isPaused) timer = setTimeout(check, allowedMs);
    else if (remainingMs > 0) timer = setTimeout(check, remainingMs);
    else if (standstill.catchUp() !== null) timer = setTimeout(check, RECHECK_INTERVAL_MS);
    else if (!pulse.isInactive(target, TARGET_INACTIVITY_MS))
      timer = setTimeout(check, RECHECK_INTERVAL_MS);
    else {
      isSilent = true;
      onSilent();
    }
  }

  function noteBytes(): void {
    const silentForMs = nowMs() - lastBytesAtMs;
    lastBytesAtMs = nowMs();
    if (!isSilent) return;
    isSilent = false;
    timer = setTimeout(check, allowedMs);
    onActive(silentForMs);
  }

  return {
    noteBytes,
    pause: () => {
      isPaused = true;
    },
    resume: () => {
      isPaused = false;
      lastBytesAtMs = nowMs();
    },
    stop: () => {
      clearTimeout(timer);
    },
  };
}
