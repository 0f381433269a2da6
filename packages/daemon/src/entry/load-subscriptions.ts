/**
 * Asks sidecars for load reports: those of the targets that this entry may choose, and of all targets
 * of the services that it plans. The more there are, the longer the interval, so that what arrives
 * stays under a bound at any size of the fleet.
 */
import type { Random, TargetSpec } from '@cassiamast/coordination';
import { formatAddress } from '../node/address.js';
import type { Datagrams } from '../node/datagrams.js';
import { createPeriodic } from '../node/timers.js';
import { RpcMethod } from '../protocol/methods.js';
import type { Child } from '../supervisor/supervisor.js';
import type { Policies } from './policies.js';
import type { TargetDirectory } from './target-directory.js';

const SUBSCRIBE_MS = 5_000;
/** A sealed report with its headers, about. */
const LOAD_REPORT_BYTES = 180;
/** Of the 4 KB a second that control may cost an entry; membership and the rest need under 2. */
const LOAD_BYTES_PER_S = 1_500;
const MIN_REPORT_INTERVAL_MS = 500;
const MS_PER_S = 1_000;

/** What the subscriptions follow. */
export interface LoadSubscriptionsOptions {
  readonly random: Random;
  readonly directory: TargetDirectory;
  readonly policies: Policies;
  /** Services whose roles this entry plans. */
  readonly plannedServices: () => readonly string[];
  readonly send: Datagrams['send'];
}

/** Renews the subscriptions every few seconds, at moments that differ between entries. */
export function createLoadSubscriptions(options: LoadSubscriptionsOptions): Child {
  const { random, send } = options;

  function subscribe(): void {
    const followed = followedTargets(options);
    const reportsBytes = followed.length * LOAD_REPORT_BYTES;
    const intervalMs = Math.max(
      MIN_REPORT_INTERVAL_MS,
      Math.round((reportsBytes / LOAD_BYTES_PER_S) * MS_PER_S),
    );
    for (const target of followed) {
      send(formatAddress(target.sidecar), RpcMethod.LoadSubscribe, [intervalMs]);
    }
  }

  return createPeriodic('subscriptions', () => SUBSCRIBE_MS * (0.5 + random() / 2), subscribe);
}

function followedTargets(options: LoadSubscriptionsOptions): readonly TargetSpec[] {
  const { directory, policies } = options;
  const planned = new Set(options.plannedServices());
  return [...policies.models()].flatMap(([name, policy]) => {
    const wanted = new Set(policy.subset());
    const targets = directory.service(name)?.targets ?? [];
    return targets.filter((target) => planned.has(name) || wanted.has(target.name));
  });
}
