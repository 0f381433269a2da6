/** The policy of a plain service: picks the less loaded of two random targets. */
import { type Place, type Random, type TargetSpec, randomBelow } from '@cassiamast/coordination';
import { formatAddress } from '../node/address.js';
import type { PlacementRequest, ServicePolicy } from './service-policy.js';

/** Delay after which callers should retry when no target accepts work. */
const RETRY_AFTER_MS = 1_000;
/** Maximum of in-flight calls from one entry to one target; further calls are not queued. */
const MAX_IN_FLIGHT = 256;

/** Options of the plain policy. */
export interface PlainPolicyOptions {
  readonly service: string;
  readonly random: Random;
  /** Returns the targets that currently accept new work. */
  readonly openTargets: () => readonly TargetSpec[];
}

/** Creates the policy of one plain service. */
export function createPlainPolicy(options: PlainPolicyOptions): ServicePolicy {
  const inFlight = new Map<string, number>();

  function inFlightAt(target: TargetSpec): number {
    return inFlight.get(target.name) ?? 0;
  }

  function pick(avoidTargets: readonly string[]): Place | null {
    const open = options.openTargets().filter((target) => inFlightAt(target) < MAX_IN_FLIGHT);
    const preferred = open.filter((target) => !avoidTargets.includes(target.name));
    const choices = preferred.length > 0 ? preferred : open;
    const first = choices[randomBelow(options.random, choices.length)];
    const second = choices[randomBelow(options.random, choices.length)];
    if (first === undefined || second === undefined) return null;
    const target = inFlightAt(first) <= inFlightAt(second) ? first : second;
    return { sidecar: formatAddress(target.sidecar), target: target.name };
  }

  function requestPlacement(placement: PlacementRequest): void {
    const place = pick(placement.avoidTargets);
    if (place === null) {
      placement.onRefusal(`no target of ${options.service} takes work`, RETRY_AFTER_MS);
      return;
    }
    inFlight.set(place.target, (inFlight.get(place.target) ?? 0) + 1);
    placement.onGrant({ place, reader: null, predictedFirstTokenMs: null });
  }

  return {
    requestPlacement,
    pickForLoneRun: pick,
    recordAttemptEnd: ({ target }) => {
      inFlight.set(target, Math.max(0, (inFlight.get(target) ?? 0) - 1));
    },
    pump: () => undefined,
    subset: () => [],
  };
}
