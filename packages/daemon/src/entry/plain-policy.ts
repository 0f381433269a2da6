/** The policy of a plain service: the less busy of two targets drawn at random. */
import { type Place, type Random, type TargetSpec, randomBelow } from '@cassiamast/coordination';
import { formatAddress } from '../node/address.js';
import type { PlaceQuestion, ServicePolicy } from './service-policy.js';

/** What a caller is told to wait where no target takes work. */
const RETRY_AFTER_MS = 1_000;
/** Calls of one entry under way at one target; above it the service is refused, not queued. */
const MAX_IN_FLIGHT = 256;

/** What the policy needs. */
export interface PlainPolicyOptions {
  readonly service: string;
  readonly random: Random;
  /** Targets that take new work now. */
  readonly openTargets: () => readonly TargetSpec[];
}

/** Makes the policy of one plain service. */
export function createPlainPolicy(options: PlainPolicyOptions): ServicePolicy {
  const inFlight = new Map<string, number>();

  function busyness(target: TargetSpec): number {
    return inFlight.get(target.name) ?? 0;
  }

  function pick(avoidTargets: readonly string[]): Place | null {
    const open = options.openTargets().filter((target) => busyness(target) < MAX_IN_FLIGHT);
    const preferred = open.filter((target) => !avoidTargets.includes(target.name));
    const choices = preferred.length > 0 ? preferred : open;
    const first = choices[randomBelow(options.random, choices.length)];
    const second = choices[randomBelow(options.random, choices.length)];
    if (first === undefined || second === undefined) return null;
    const target = busyness(first) <= busyness(second) ? first : second;
    return { sidecar: formatAddress(target.sidecar), target: target.name };
  }

  function ask(question: PlaceQuestion): void {
    const place = pick(question.avoidTargets);
    if (place === null) {
      question.onRefusal(`no target of ${options.service} takes work`, RETRY_AFTER_MS);
      return;
    }
    inFlight.set(place.target, (inFlight.get(place.target) ?? 0) + 1);
    question.onGrant({ place, reader: null, predictedFirstTokenMs: null });
  }

  return {
    ask,
    pickAlone: pick,
    noteEnd: ({ target }) => {
      inFlight.set(target, Math.max(0, (inFlight.get(target) ?? 0) - 1));
    },
    pump: () => undefined,
    subset: () => [],
  };
}
