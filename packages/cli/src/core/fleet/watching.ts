/**
 * The live view: asks the fleet again and again and works out the rates between two rounds.
 */
import type { Failure, ProcessStatus } from '@cassiamast/coordination';
import { ok, type Result } from 'neverthrow';
import { fleetView, ratesBetween, type FleetView, type ServiceRates } from './fleet-view.js';
import { gather, type Entries } from './gather.js';
import { ReadMethod, type AskMember } from './member-client.js';

/** One refresh of the view. */
export interface Refresh {
  readonly atWallMs: number;
  readonly view: FleetView;
  /** Since the refresh before; none in the first. */
  readonly rates: readonly ServiceRates[];
}

/** What watching needs. */
export interface WatchOptions {
  readonly ask: AskMember;
  readonly entries: Entries;
  readonly intervalMs: number;
  /** Refreshes to make; infinite where the operator named no number. */
  readonly count: number;
  readonly nowMs: () => number;
  readonly wallMs: () => number;
  readonly sleep: (delayMs: number) => Promise<unknown>;
  readonly onRefresh: (refresh: Refresh) => void;
}

/** Watches until the count is reached. Errors only when the first round finds no entry. */
export async function watchFleet(options: WatchOptions): Promise<Result<Refresh, Failure>> {
  const first = await takeRound(options);
  if (first.isErr()) return first.map(({ refresh }) => refresh);
  let latest = first.value;
  options.onRefresh(latest.refresh);
  for (let made = 1; made < options.count; made += 1) {
    await options.sleep(options.intervalMs);
    const next = await takeRound(options, latest);
    // An entry that is away for a moment must not end a live view: the next round tries again.
    if (next.isErr()) continue;
    latest = next.value;
    options.onRefresh(latest.refresh);
  }
  return ok(latest.refresh);
}

interface Round {
  readonly refresh: Refresh;
  readonly takenAtMs: number;
}

async function takeRound(
  { ask, entries, nowMs, wallMs }: WatchOptions,
  previous?: Round,
): Promise<Result<Round, Failure>> {
  const gathered = await gather<ProcessStatus>(
    ask,
    entries,
    ReadMethod.Status,
    { withMembers: false },
    () => undefined,
  );
  return gathered.map(({ answers, members, unreachable }) => {
    const view = fleetView(answers, members, unreachable);
    const takenAtMs = nowMs();
    const elapsedMs = previous === undefined ? 0 : takenAtMs - previous.takenAtMs;
    const rates =
      previous === undefined ? [] : ratesBetween(previous.refresh.view, view, elapsedMs);
    return { refresh: { atWallMs: wallMs(), view, rates }, takenAtMs };
  });
}
