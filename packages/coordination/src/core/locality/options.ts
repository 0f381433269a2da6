/** Tuning parameters of locality decisions. */
export interface LocalityOptions {
  /** Additional round-trip time to a target in another failure domain. */
  readonly roundTripMs: number;
  /** Cost of leaving the failure domain, expressed as the time that leaving must save. */
  readonly leavePriceMs: number;
  /** Interval at which the share that leaves may change. */
  readonly intervalMs: number;
  /**
   * Change of the share per interval. Small, since the effect of a change shows in response times
   * only after one or two seconds; a share that moves faster overshoots and oscillates.
   */
  readonly shareStep: number;
  /**
   * Upper bound of the share. The requests that stay keep the figures of the local targets current;
   * without them, requests leave until the old figures expire.
   */
  readonly maxShare: number;
  /** Share that tries another domain whose speed is not known, while it is expected to be faster. */
  readonly trialShare: number;
  /** Part of the local expected time that leaving must save as well, as the estimates are uncertain. */
  readonly minGainRatio: number;
  /** Ratio to the mean gain of the interval before, below which the share does not rise. */
  readonly shrinkingRatio: number;
  /** Time without any gain after which the share falls. Spans the delay of the estimates. */
  readonly holdMs: number;
  /** Time without decisions after which the controller starts again from its neutral state. */
  readonly forgetAfterMs: number;
}

/** One-way latency between failure domains that is assumed if none is configured. */
export const DEFAULT_HOP_MS = 1;
const ROUND_TRIP_HOPS = 2;
/** Round trips that leaving must save by default, in addition to the one that it takes. */
const PRICE_ROUND_TRIPS = 2;

/** Returns the default price of leaving for a one-way latency between failure domains. */
export function defaultLeavePriceMs(hopMs: number = DEFAULT_HOP_MS): number {
  return PRICE_ROUND_TRIPS * ROUND_TRIP_HOPS * hopMs;
}

/** Returns options for a one-way latency between failure domains; a null price is the default. */
export function localityOptions(
  hopMs: number = DEFAULT_HOP_MS,
  leavePriceMs: number | null = null,
): LocalityOptions {
  return {
    roundTripMs: ROUND_TRIP_HOPS * hopMs,
    leavePriceMs: leavePriceMs ?? defaultLeavePriceMs(hopMs),
    intervalMs: 500,
    shareStep: 0.05,
    maxShare: 0.6,
    trialShare: 0.2,
    minGainRatio: 0.1,
    shrinkingRatio: 0.95,
    holdMs: 2000,
    forgetAfterMs: 10_000,
  };
}
