/**
 * How the engines of a service are split between reading prompts and making tokens. The load
 * pattern: long prompts and short answers, so that reading binds and an engine that makes tokens
 * reads at half speed beside it. As few engines make tokens as the streams need; the rest read. A
 * change takes an engine away for seconds, so one is made only where the split is wrong for long.
 * Engines that name a rate limit stand beside the split: where those that make tokens are in need,
 * others have to take what they leave.
 */
import { EnginePhase } from '../forwarding/fleet.js';

/** An engine as the split sees it. */
export interface PhaseEngine {
  readonly id: string;
  readonly failureDomain: string;
  readonly phase: EnginePhase;
  /** Whether it can be given an order and work. */
  readonly usable: boolean;
  /** Whether an order to it is on its way or being carried out. */
  readonly changing: boolean;
  /** Requests for which it reads or makes tokens. */
  readonly requests: number;
  /** Whether it names a rate limit that is used up. */
  readonly limited: boolean;
}

/** The limits of a split. */
export interface PhaseSplitOptions {
  /**
   * Requests at engines for each one that makes tokens: an engine runs 64 at once, and those that
   * wait to be read count as well.
   */
  readonly streamsPerEngine: number;
  /** Engines that make tokens at the least, so that the loss of one stops nothing. */
  readonly minDecode: number;
  /**
   * Part of the engines that make tokens at the least, before any load is known: with fewer, first
   * events come 200 ms late on average when a burst begins.
   */
  readonly minDecodeShare: number;
  /** Engines that go on reading at the least, whatever is wanted. */
  readonly minPrefill: number;
  /** Services with fewer engines keep the split that they have. */
  readonly minEngines: number;
  /** Engines that may be changing at once while callers are served. */
  readonly maxChanging: number;
}

/** Defaults. */
export const PHASE_SPLIT_OPTIONS: PhaseSplitOptions = {
  streamsPerEngine: 64,
  minDecode: 2,
  minDecodeShare: 0.2,
  minPrefill: 1,
  minEngines: 4,
  maxChanging: 1,
};

/** An order that improves the split. */
export interface PhaseOrder {
  readonly engineId: string;
  readonly phase: EnginePhase;
}

/** Engines that should make tokens for so many streams at once. */
export function decodeEnginesWanted(
  engines: number,
  streams: number,
  options: PhaseSplitOptions,
): number {
  const forStreams = Math.ceil(streams / options.streamsPerEngine);
  const forShare = Math.ceil(engines * options.minDecodeShare);
  return Math.min(engines - 1, Math.max(options.minDecode, forShare, forStreams));
}

/** The next orders, none where the split is right or cannot be bettered now. */
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
  const most = isIdle ? split.length : Math.max(options.maxChanging, shortByLimits(split, wanted));
  const room = most - changing;
  if (room <= 0 || surplus === 0) return [];
  if (surplus > 0) return ordersTo(EnginePhase.Prefill, decode, Math.min(room, surplus));
  const spare = Math.max(0, prefill.length - options.minPrefill);
  return ordersTo(EnginePhase.Decode, prefill, Math.min(room, -surplus, spare));
}

/** Engines that make tokens which are missing since others name rate limits. */
export function shortByLimits(engines: readonly PhaseEngine[], wanted: number): number {
  const decode = engines.filter(({ phase }) => phase === EnginePhase.Decode);
  const limited = decode.filter((engine) => engine.limited).length;
  return Math.min(limited, Math.max(0, wanted - (decode.length - limited)));
}

/** Takes engines of the fullest failure domains first, so that the rest stay spread. */
function ordersTo(
  phase: EnginePhase,
  from: readonly PhaseEngine[],
  count: number,
): readonly PhaseOrder[] {
  const left = [...from];
  const orders: PhaseOrder[] = [];
  while (orders.length < count && left.length > 0) {
    const perDomain = new Map<string, number>();
    for (const { failureDomain } of left) {
      perDomain.set(failureDomain, (perDomain.get(failureDomain) ?? 0) + 1);
    }
    left.sort(
      (a, b) =>
        (perDomain.get(b.failureDomain) ?? 0) - (perDomain.get(a.failureDomain) ?? 0) ||
        a.requests - b.requests ||
        (a.id < b.id ? -1 : 1),
    );
    const chosen = left.shift();
    if (chosen !== undefined) orders.push({ engineId: chosen.id, phase });
  }
  return orders;
}
