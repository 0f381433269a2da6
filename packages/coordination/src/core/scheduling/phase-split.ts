/**
 * Splits the engines of a service between prefill and decode. With long prompts and short answers,
 * prefill is the bottleneck, and an engine that also decodes prefills at half speed. Therefore as
 * few engines decode as the streams need, and the rest prefill. A phase change takes an engine out
 * of service for seconds, so an order is given only if the split stays wrong for a long time.
 * Rate-limited engines are left out: if decode engines are rate limited, other engines must take
 * over their share.
 */
import { EnginePhase } from '../forwarding/fleet.js';

/** State of an engine that the split depends on. */
export interface PhaseEngine {
  readonly id: string;
  readonly failureDomain: string;
  readonly phase: EnginePhase;
  /** Whether the engine accepts orders and work. */
  readonly usable: boolean;
  /** Whether a phase change has been ordered or is in progress. */
  readonly changing: boolean;
  /** Requests that the engine prefills or decodes. */
  readonly requests: number;
  /** Whether the engine has reached its rate limit. */
  readonly limited: boolean;
}

/** Options of the split. */
export interface PhaseSplitOptions {
  /**
   * Requests at engines per decode engine. An engine runs 64 requests at once, and requests that
   * wait for prefill are included in the count.
   */
  readonly streamsPerEngine: number;
  /** Minimum number of decode engines, so that losing one does not stop the service. */
  readonly minDecodeEngines: number;
  /**
   * Minimum fraction of engines that decode before any load is known. With fewer, first events are
   * 200 ms late on average at the start of a burst.
   */
  readonly minDecodeShare: number;
  /** Minimum number of prefill engines that are left whatever the load. */
  readonly minPrefillEngines: number;
  /** Services with fewer engines keep their current split. */
  readonly minEngines: number;
  /** Maximum number of engines that change phase at once while callers are served. */
  readonly maxChanging: number;
}

/** Default options. */
export const PHASE_SPLIT_OPTIONS: PhaseSplitOptions = {
  streamsPerEngine: 64,
  minDecodeEngines: 2,
  minDecodeShare: 0.2,
  minPrefillEngines: 1,
  minEngines: 4,
  maxChanging: 1,
};

/** An order to change the phase of an engine. */
export interface PhaseOrder {
  readonly engineId: string;
  readonly phase: EnginePhase;
}

/** Returns the number of engines that should decode for the given number of concurrent streams. */
export function decodeEnginesWanted(
  engines: number,
  streams: number,
  options: PhaseSplitOptions,
): number {
  const forStreams = Math.ceil(streams / options.streamsPerEngine);
  const forShare = Math.ceil(engines * options.minDecodeShare);
  return Math.min(engines - 1, Math.max(options.minDecodeEngines, forShare, forStreams));
}

/** Returns the next phase orders; empty if the split is right or cannot be improved now. */
export function choosePhaseOrders(
  engines: readonly PhaseEngine[],
  streams: number,
  isIdle: boolean,
  options: PhaseSplitOptions,
): readonly PhaseOrder[] {
  const split = engines.filter((engine) => engine.phase !== EnginePhase.Both);
  if (split.length < options.minEngines) return [];
  const changing = split.filter((engine) => engine.changing).length;
  const steady = split.filter((engine) => engine.usable && !engine.changing && !engine.limited);
  const decode = steady.filter((engine) => engine.phase === EnginePhase.Decode);
  const prefill = steady.filter((engine) => engine.phase === EnginePhase.Prefill);
  const wanted = decodeEnginesWanted(split.length, streams, options);
  const surplus = decode.length - wanted;
  const maxChanging = isIdle
    ? split.length
    : Math.max(options.maxChanging, limitedDecodeShortage(split, wanted));
  const available = maxChanging - changing;
  if (available <= 0 || surplus === 0) return [];
  if (surplus > 0) return planOrders(EnginePhase.Prefill, decode, Math.min(available, surplus));
  const spare = Math.max(0, prefill.length - options.minPrefillEngines);
  return planOrders(EnginePhase.Decode, prefill, Math.min(available, -surplus, spare));
}

/** Returns how many decode engines are missing because others are rate limited. */
export function limitedDecodeShortage(engines: readonly PhaseEngine[], wanted: number): number {
  const decode = engines.filter(({ phase }) => phase === EnginePhase.Decode);
  const limited = decode.filter((engine) => engine.limited).length;
  return Math.min(limited, Math.max(0, wanted - (decode.length - limited)));
}

/**
 * Picks engines from the most populated failure domains first, so that the remaining ones stay
 * spread out.
 */
function planOrders(
  phase: EnginePhase,
  engines: readonly PhaseEngine[],
  count: number,
): readonly PhaseOrder[] {
  const candidates = [...engines];
  const orders: PhaseOrder[] = [];
  while (orders.length < count && candidates.length > 0) {
    const perDomain = new Map<string, number>();
    for (const { failureDomain } of candidates) {
      perDomain.set(failureDomain, (perDomain.get(failureDomain) ?? 0) + 1);
    }
    candidates.sort(
      (a, b) =>
        (perDomain.get(b.failureDomain) ?? 0) - (perDomain.get(a.failureDomain) ?? 0) ||
        a.requests - b.requests ||
        (a.id < b.id ? -1 : 1),
    );
    const chosen = candidates.shift();
    if (chosen !== undefined) orders.push({ engineId: chosen.id, phase });
  }
  return orders;
}
