/**
 * Limits the share of a service's requests that leave the failure domain. The share rises in small
 * steps while leaving saves time and falls after a period in which it saves none. Without the limit
 * all gateways of a domain move to the same free domain at once, overload it and move back.
 */
import type { LocalityOptions } from './options.js';

/** What one request would gain by leaving. */
export interface LeavingGain {
  /** Time that leaving saves; negative if it costs time. */
  readonly gainMs: number;
  /** Expected time of the best local target. */
  readonly localMs: number;
  /** Whether the speed of the other domain's target was observed lately. */
  readonly isKnown: boolean;
}

/** State of the controller of one service in one failure domain. */
export interface LeavingShare {
  /** Share of the requests with a gain that may leave, 0 to 1. */
  share: number;
  /** Accumulated share; a request leaves for each 1. */
  credit: number;
  intervalStartedAtMs: number;
  decisions: number;
  gainSumMs: number;
  /** Mean gain of the interval before; 0 or less if leaving saved no time. */
  lastMeanGainMs: number;
  hadGain: boolean;
  /** Start of the current series of intervals with a mean gain. */
  gainSinceMs: number;
  /** Whether the last change was a fall that has not reached zero. */
  isFalling: boolean;
  lastGainAtMs: number;
}

/** Returns a controller that lets nothing leave yet. */
export function createLeavingShare(): LeavingShare {
  return {
    share: 0,
    credit: 0,
    intervalStartedAtMs: -Infinity,
    decisions: 0,
    gainSumMs: 0,
    lastMeanGainMs: 0,
    hadGain: false,
    gainSinceMs: Infinity,
    isFalling: false,
    lastGainAtMs: -Infinity,
  };
}

/**
 * Records what one request would gain by leaving, and returns whether it may leave. While the speed
 * of the other domain is not known, a few requests try it, and the share does not rise.
 */
export function mayLeave(
  leaving: LeavingShare,
  { gainMs, localMs, isKnown }: LeavingGain,
  options: LocalityOptions,
  nowMs: number,
): boolean {
  advance(leaving, options, nowMs);
  leaving.decisions += 1;
  if (isKnown || gainMs <= 0) leaving.gainSumMs += gainMs;
  if (gainMs <= 0) return false;
  leaving.hadGain ||= isKnown;
  // In proportion to the gain, so that the flow settles instead of switching between all and none.
  leaving.credit += isKnown ? Math.min(leaving.share, gainMs / localMs) : options.trialShare;
  if (leaving.credit < 1) return false;
  leaving.credit -= 1;
  return true;
}

/** Ends the current interval if it is over, and adjusts the share by its result. */
function advance(leaving: LeavingShare, options: LocalityOptions, nowMs: number): void {
  const elapsedMs = nowMs - leaving.intervalStartedAtMs;
  if (elapsedMs < options.intervalMs) return;
  if (elapsedMs > options.forgetAfterMs) {
    Object.assign(leaving, createLeavingShare(), { lastGainAtMs: nowMs });
  } else adjust(leaving, options, nowMs);
  leaving.intervalStartedAtMs = nowMs;
  leaving.decisions = 0;
  leaving.gainSumMs = 0;
  leaving.hadGain = false;
}

function adjust(leaving: LeavingShare, options: LocalityOptions, nowMs: number): void {
  if (leaving.hadGain) leaving.lastGainAtMs = nowMs;
  const meanGainMs = leaving.gainSumMs / Math.max(1, leaving.decisions);
  // A gain that shrinks shows that the share takes effect; raising it further would overshoot. One
  // interval with a gain after one without may be noise.
  const isLasting =
    leaving.lastMeanGainMs > 0 && meanGainMs >= options.shrinkingRatio * leaving.lastMeanGainMs;
  leaving.lastMeanGainMs = meanGainMs;
  if (meanGainMs <= 0) {
    leaving.gainSinceMs = Infinity;
    if (nowMs - leaving.lastGainAtMs < options.holdMs) return;
    leaving.share = Math.max(0, leaving.share - options.shareStep);
    leaving.isFalling = leaving.share > 0;
    return;
  }
  leaving.gainSinceMs = Math.min(leaving.gainSinceMs, nowMs);
  // A fall is not reversed by what may be a queue that the other domain has just sent here.
  const isHeld = leaving.isFalling && nowMs - leaving.gainSinceMs < options.holdMs;
  if (!isLasting || isHeld) return;
  leaving.share = Math.min(options.maxShare, leaving.share + options.shareStep);
  leaving.isFalling = false;
}
