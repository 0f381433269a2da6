/**
 * Subscribes to load reports from sidecars: those of the targets in this entry's subset, and of all
 * targets of the services that it plans. The report interval grows with the number of targets,
 * which bounds the incoming traffic at any fleet size.
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
/** Approximate size of a sealed report including packet headers. */
const LOAD_REPORT_BYTES = 180;
/**
 * Share of the 4 KB/s that control traffic may use at an entry; membership and other traffic need
 * less than 2 KB/s.
 */
const LOAD_BYTES_PER_S = 1_500;
const MIN_REPORT_INTERVAL_MS = 500;
const MS_PER_S = 1_000;

/** Options of the load subscriptions. */
export interface LoadSubscriptionsOptions {
  readonly random: Random;
  readonly directory: TargetDirectory;
  readonly policies: Policies;
  /** Services whose roles this entry plans. */
  readonly plannedServices: () => readonly string[];
  readonly send: Datagrams['send'];
}

/** Renews the subscriptions every few seconds, with jitter between entries. */
export function createLoadSubscriptions(options: LoadSubscriptionsOptions): Child {
  const { random, send } = options;

  function subscribe(): void {
    const followed = subscribedTargets(options);
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

function subscribedTargets(options: LoadSubscriptionsOptions): readonly TargetSpec[] {
  const { directory, policies } = options;
  const planned = new Set(options.plannedServices());
  return [...policies.models()].flatMap(([name, policy]) => {
    const subsetNames = new Set(policy.subset());
    const targets = directory.service(name)?.targets ?? [];
    return targets.filter((target) => planned.has(name) || subsetNames.has(target.name));
  });
}
