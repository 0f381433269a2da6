/**
 * Records which gateways have answered the questions of the one that reports. The counts of a window
 * are whole once all announced gateways have answered a question that was asked late enough.
 */

/** The answers of each gateway, by id. Times are those at which the questions were asked. */
export interface UsageReadings {
  readonly answeredAtMs: Map<string, number>;
  readonly failedAtMs: Map<string, number>;
}

/** Creates the record of a gateway that has asked nothing. */
export function createUsageReadings(): UsageReadings {
  return { answeredAtMs: new Map(), failedAtMs: new Map() };
}

/** Records how a question ended. Questions may end in another order than they were asked in. */
export function recordReading(
  { answeredAtMs, failedAtMs }: UsageReadings,
  gateway: string,
  askedAtMs: number,
  isAnswered: boolean,
): void {
  const times = isAnswered ? answeredAtMs : failedAtMs;
  times.set(gateway, Math.max(askedAtMs, times.get(gateway) ?? askedAtMs));
}

/** Returns those gateways that have answered no question asked at a time or later. */
export function unreadGateways(
  { answeredAtMs }: UsageReadings,
  gateways: readonly string[],
  sinceMs: number,
): readonly string[] {
  return gateways.filter((gateway) => (answeredAtMs.get(gateway) ?? -Infinity) < sinceMs);
}

/** Returns whether a gateway left its last question unanswered. */
export function isSilent({ answeredAtMs, failedAtMs }: UsageReadings, gateway: string): boolean {
  const failedMs = failedAtMs.get(gateway) ?? -Infinity;
  return failedMs > (answeredAtMs.get(gateway) ?? -Infinity);
}

/** Forgets all gateways except some. */
export function retainReadings(readings: UsageReadings, gateways: ReadonlySet<string>): void {
  for (const times of Object.values(readings) as Map<string, number>[]) {
    for (const gateway of times.keys()) if (!gateways.has(gateway)) times.delete(gateway);
  }
}

/** Forgets all answers. */
export function forgetReadings(readings: UsageReadings): void {
  retainReadings(readings, new Set());
}
