/**
 * Collects the counts of all gateways for the one that reports them, and compares their clocks. A
 * gateway that has left the fleet is asked for a while yet, as it may still end requests.
 */
import {
  type FleetView,
  type UsageCollection,
  type UsageCounts,
  type UsageGuards,
  type UsageReadings,
  certainDifferenceMs,
  createUsageCollection,
  createUsageReadings,
  forgetUsageBefore,
  median,
  recordReading,
  recordUsage,
  rememberFixedUsage,
  retainReadings,
  totalUsage,
  trueTimeMs,
} from '@cassiamast/coordination';
import type { RpcClient } from '../node/rpc-client.js';
import { RpcMethod } from '../protocol/methods.js';
import type { RecentGateways } from './recent-gateways.js';
import type { UsageEvidenceCollector } from './usage-evidence.js';
import type { UsageAnswer, UsageQuestion } from './usage-knowledge.js';
import type { UsageMeter, UsageReading } from './usage-meter.js';

const CALL_TIMEOUT_MS = 700;

/** How far another gateway is ahead of what this one takes for the true time, in ms. */
interface Differences {
  readonly clockMs: number;
  /** That of what the other one takes for the true time. */
  readonly estimateMs: number;
}

/** The counts of the fleet as one gateway has collected them. */
export interface UsageCollector {
  /**
   * Asks all gateways once for a window and all later ones, under a fencing token; resolves with the
   * announced ones that did not answer. Must not be called again before that.
   */
  readonly collect: (sinceWindow: number, fence: number) => Promise<readonly string[]>;
  /** Asks some gateways for their counts alone. */
  readonly askAgain: (
    gateways: readonly string[],
    sinceWindow: number,
    fence: number,
  ) => Promise<void>;
  readonly readings: UsageReadings;
  readonly total: (window: number) => UsageCounts;
  /** Handles the last counts of a process that ends. */
  readonly onTold: (reading: UsageReading) => void;
  readonly forgetBefore: (window: number) => void;
}

/** Dependencies of the collector. */
export interface UsageCollectorOptions {
  readonly selfId: string;
  readonly view: FleetView;
  readonly rpc: Pick<RpcClient, 'call'>;
  readonly recent: RecentGateways;
  readonly meter: UsageMeter;
  readonly evidence: Pick<UsageEvidenceCollector, 'noteTestimony'>;
  readonly nowMs: () => number;
  readonly guards: Pick<UsageGuards, 'learnsFixedCounts'>;
}

/** Creates a collector. */
export function createUsageCollector(options: UsageCollectorOptions): UsageCollector {
  const { selfId, view, rpc, recent, meter, evidence, nowMs } = options;
  const collection: UsageCollection = createUsageCollection();
  /** What each gateway is told next time, by id. */
  const correctionsMs = new Map<string, number>();

  const readings = createUsageReadings();

  function take({ source, usage, fixed = [] }: Partial<UsageAnswer> & UsageReading): void {
    recordUsage(collection, source, usage);
    if (!options.guards.learnsFixedCounts) return;
    for (const { window, counts } of fixed) rememberFixedUsage(view.fixedUsage, window, counts);
  }

  /** Resolves with how far a gateway's times are ahead of the own estimate; null without answer. */
  async function ask(
    id: string,
    sinceWindow: number,
    question: UsageQuestion,
  ): Promise<Differences | null> {
    const askedAtMs = nowMs();
    const sentAtMs = trueTimeMs(meter.time, askedAtMs);
    const params = [selfId, sinceWindow, question];
    const answer = await rpc.call<UsageAnswer | null>(id, RpcMethod.UsageRead, params, {
      timeoutMs: CALL_TIMEOUT_MS,
    });
    const reading = answer.unwrapOr(null);
    recordReading(readings, id, askedAtMs, reading !== null);
    if (reading === null) return null;
    take(reading);
    if (reading.testimony !== undefined) {
      evidence.noteTestimony(id, reading.testimony, { askedAtMs, answeredAtMs: nowMs() });
    }
    const call = { sentAtMs, answeredAtMs: trueTimeMs(meter.time, nowMs()) };
    const { wallMs, trueMs } = reading;
    return {
      clockMs: certainDifferenceMs({ ...call, shownMs: wallMs }),
      estimateMs: certainDifferenceMs({ ...call, shownMs: trueMs }),
    };
  }

  function questionOf(fence: number, correctionMs: number): UsageQuestion {
    return { correctionMs, fence, fixedWindows: [...view.fixedUsage.keys()] };
  }

  return {
    readings,
    collect: async (sinceWindow, fence) => {
      const own = meter.read(sinceWindow);
      const others = recent.others();
      retainReadings(readings, new Set(others));
      const asked = await Promise.all(
        others.map(async (id) => {
          const question = questionOf(fence, correctionsMs.get(id) ?? 0);
          return { id, ahead: await ask(id, sinceWindow, question) };
        }),
      );
      const clocksMs = asked.flatMap(({ ahead }) => ahead?.clockMs ?? []);
      const ownCorrectionMs = median([own.wallMs - own.trueMs, ...clocksMs]);
      meter.time.offsetMs += ownCorrectionMs;
      meter.noteTimeCompared();
      correctionsMs.clear();
      for (const { id, ahead } of asked) {
        if (ahead !== null) correctionsMs.set(id, ownCorrectionMs - ahead.estimateMs);
      }
      return asked
        .filter(({ id, ahead }) => ahead === null && view.gateways.has(id))
        .map(({ id }) => id);
    },
    askAgain: async (gateways, sinceWindow, fence) => {
      await Promise.all(gateways.map((id) => ask(id, sinceWindow, questionOf(fence, 0))));
    },
    total: (window) => {
      take(meter.read(window));
      return totalUsage(collection, window);
    },
    onTold: take,
    forgetBefore: (window) => {
      forgetUsageBefore(collection, window);
    },
  };
}
