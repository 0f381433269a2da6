/**
 * Tells the fixed counts of a window to all gateways that were announced lately and records who has acknowledged them,
 * so that the report need not wait until all of them have read the counts from the store.
 */
import {
  type FleetView,
  UsageAcknowledgement,
  type UsageCounts,
  type UsageReadings,
  isAcknowledged,
  isSilent,
} from '@cassiamast/coordination';
import type { RpcClient } from '../node/rpc-client.js';
import { RpcMethod } from '../protocol/methods.js';
import type { RecentGateways } from './recent-gateways.js';

const CALL_TIMEOUT_MS = 700;
/** A gateway that has not acknowledged is told again after this time. */
const TELL_INTERVAL_MS = 250;

/** The answers for one window. */
interface Told {
  readonly acknowledged: Set<string>;
  readonly toldAtMs: Map<string, number>;
  contradictedBy: string | null;
}

/** Dependencies of the acknowledgements. */
export interface UsageAcknowledgementsOptions {
  readonly view: Pick<FleetView, 'gateways'>;
  readonly recent: Pick<RecentGateways, 'others'>;
  readonly rpc: Pick<RpcClient, 'call'>;
  readonly readings: UsageReadings;
  readonly nowMs: () => number;
  readonly count: (name: string) => void;
}

/** The acknowledgements that a reporter has got while it holds its lease. */
export interface UsageAcknowledgements {
  /** Tells the counts to those that have not acknowledged them, unless they were told just now. */
  readonly tell: (window: number, counts: UsageCounts, fence: number) => void;
  readonly isAcknowledged: (window: number) => boolean;
  /** Returns how many gateways know the counts of a window. */
  readonly acknowledgedCount: (window: number) => number;
  /** Returns a gateway that knows other counts of a window; null if none is known. */
  readonly contradictedBy: (window: number) => string | null;
  readonly forget: (window: number) => void;
  /** Forgets all windows; answers that are under way have no effect. */
  readonly forgetAll: () => void;
}

/** Creates the acknowledgements. */
export function createUsageAcknowledgements(
  options: UsageAcknowledgementsOptions,
): UsageAcknowledgements {
  const { view, recent, rpc, readings, nowMs, count } = options;
  const toldByWindow = new Map<number, Told>();

  const isOutOfReach = (id: string): boolean => isSilent(readings, id);

  function toldOf(window: number): Told {
    const told = toldByWindow.get(window) ?? {
      acknowledged: new Set(),
      toldAtMs: new Map(),
      contradictedBy: null,
    };
    toldByWindow.set(window, told);
    return told;
  }

  async function tellOne(id: string, told: Told, params: unknown): Promise<void> {
    told.toldAtMs.set(id, nowMs());
    const answer = await rpc.call<UsageAcknowledgement>(id, RpcMethod.UsageFixed, params, {
      timeoutMs: CALL_TIMEOUT_MS,
    });
    const acknowledgement = answer.unwrapOr(null);
    if (acknowledgement === UsageAcknowledgement.Contradicted) told.contradictedBy = id;
    if (acknowledgement === UsageAcknowledgement.Known) told.acknowledged.add(id);
    // A gateway of an earlier version does not know the call; the report waits as without calls.
    const isKnown = acknowledgement === UsageAcknowledgement.Known;
    count(isKnown ? 'usage_acknowledgements_total' : 'usage_acknowledgements_missing_total');
  }

  return {
    tell: (window, counts, fence) => {
      const told = toldOf(window);
      const latestMs = nowMs() - TELL_INTERVAL_MS;
      for (const id of recent.others()) {
        if (!view.gateways.has(id) && isOutOfReach(id)) continue;
        if (told.acknowledged.has(id) || (told.toldAtMs.get(id) ?? -Infinity) > latestMs) continue;
        void tellOne(id, told, [window, counts, fence]);
      }
    },
    isAcknowledged: (window) =>
      isAcknowledged(recent.others(), toldOf(window).acknowledged, isOutOfReach),
    acknowledgedCount: (window) => toldByWindow.get(window)?.acknowledged.size ?? 0,
    contradictedBy: (window) => toldByWindow.get(window)?.contradictedBy ?? null,
    forget: (window) => {
      toldByWindow.delete(window);
    },
    forgetAll: () => {
      toldByWindow.clear();
    },
  };
}
