/**
 * Drives the live view of the fleet: polls all processes at an interval and computes the rates
 * between consecutive polls.
 */
import type { Failure, ProcessStatus } from '@cassiamast/coordination';
import { ok, type Result } from 'neverthrow';
import { fleetView, ratesBetween, type FleetView, type ServiceRates } from './fleet-view.js';
import { gather, type Entries } from './gather.js';
import { ReadMethod, type CallMember } from './member-client.js';

/** One refresh of the view. */
export interface Refresh {
  readonly atWallMs: number;
  readonly view: FleetView;
  /** Rates since the previous refresh; empty in the first. */
  readonly rates: readonly ServiceRates[];
}

/** Options of {@link watchFleet}. */
export interface WatchOptions {
  readonly callMember: CallMember;
  readonly entries: Entries;
  readonly intervalMs: number;
  /** Number of refreshes; infinite when the operator gives none. */
  readonly count: number;
  readonly nowMs: () => number;
  readonly wallMs: () => number;
  readonly sleep: (delayMs: number) => Promise<unknown>;
  readonly onRefresh: (refresh: Refresh) => void;
}

/** Watches until the count is reached. Fails only when no entry responds to the first poll. */
export async function watchFleet(options: WatchOptions): Promise<Result<Refresh, Failure>> {
  const first = await pollFleet(options);
  if (first.isErr()) return first.map(({ refresh }) => refresh);
  let latest = first.value;
  options.onRefresh(latest.refresh);
  for (let refreshCount = 1; refreshCount < options.count; refreshCount += 1) {
    await options.sleep(options.intervalMs);
    const next = await pollFleet(options, latest);
    // A temporary outage of the entries must not end the live view; the next poll tries again.
    if (next.isErr()) continue;
    latest = next.value;
    options.onRefresh(latest.refresh);
  }
  return ok(latest.refresh);
}

interface FleetPoll {
  readonly refresh: Refresh;
  readonly polledAtMs: number;
}

async function pollFleet(
  { callMember, entries, nowMs, wallMs }: WatchOptions,
  previous?: FleetPoll,
): Promise<Result<FleetPoll, Failure>> {
  const gathered = await gather<ProcessStatus>(
    callMember,
    entries,
    ReadMethod.Status,
    { withMembers: false },
    () => undefined,
  );
  return gathered.map(({ answers, members, unreachable }) => {
    const view = fleetView(answers, members, unreachable);
    const polledAtMs = nowMs();
    const elapsedMs = previous === undefined ? 0 : polledAtMs - previous.polledAtMs;
    const rates =
      previous === undefined ? [] : ratesBetween(previous.refresh.view, view, elapsedMs);
    return { refresh: { atWallMs: wallMs(), view, rates }, polledAtMs };
  });
}
