/**
 * Notices a target that went silent while it has a request. Guards against engines that go dark: it
 * shows as requests that wait for them until their callers leave, two to five seconds later, while
 * others are sent there as well. The request's own silence is not enough, since a busy engine lets a
 * request wait; that nothing else comes from it either tells the two apart.
 */
import type { StandstillWatch } from '../node/standstill.js';
import type { TargetPulse } from './target-pulse.js';

/** How often a silent request is looked at again. */
const CHECK_MS = 100;
/** Nothing of any request came from the target for so long. Streams make an event every 10 to 30 ms. */
const TARGET_SILENT_MS = 600;

/** Watches one request at one target. */
export interface SilenceWatch {
  /** Something came for the request. */
  readonly noteBytes: () => void;
  readonly stop: () => void;
}

/** What a watch looks at. */
export interface SilenceSigns {
  readonly pulse: TargetPulse;
  readonly standstill: Pick<StandstillWatch, 'catchUp'>;
  readonly nowMs: () => number;
}

/**
 * Starts to watch; `onSilent` is told once, when the target is taken for dark. Guards also against a
 * standstill of this process that is taken for the target's silence: it shows as streams and readings
 * that are given up all at once, though what the targets sent meanwhile is there to be read.
 */
export function watchSilence(
  { pulse, standstill, nowMs }: SilenceSigns,
  target: string,
  allowedMs: number,
  onSilent: () => void,
): SilenceWatch {
  let heardAtMs = nowMs();
  let timer = setTimeout(check, allowedMs);

  function check(): void {
    const leftMs = allowedMs - (nowMs() - heardAtMs);
    if (leftMs > 0) timer = setTimeout(check, leftMs);
    else if (standstill.catchUp() !== null) timer = setTimeout(check, CHECK_MS);
    else if (!pulse.isSilent(target, TARGET_SILENT_MS)) timer = setTimeout(check, CHECK_MS);
    else onSilent();
  }

  return {
    noteBytes: () => {
      heardAtMs = nowMs();
    },
    stop: () => {
      clearTimeout(timer);
    },
  };
}
