/**
 * The simulated key-value service: compare-and-swap, leases and watches, with outages, slow spells
 * and answers that are lost after the write took effect.
 */
import { countFault } from '../../kit/faults.js';
import { linkIsUp } from '../../kit/network.js';
import { runIn } from '../../kit/processes.js';
import { schedule } from '../../kit/scheduler.js';
import { noteKeyGone, noteKeyTaken } from './oracle.js';
import type { Simulation, SimulatedNode } from './simulation.js';
import { SERVICE_ID } from './simulation.js';

/** One key. */
export interface SimulatedKey {
  readonly value: string;
  readonly createRevision: number;
  readonly modRevision: number;
  readonly leaseId: string | null;
}

/** The service. */
export interface SimulatedService {
  readonly keys: Map<string, SimulatedKey>;
  /** When each lease lapses. */
  readonly leases: Map<string, number>;
  /** Watches of the configuration's head: who, and which of its lives. */
  readonly watches: { readonly node: SimulatedNode; readonly incarnation: number }[];
  revision: number;
  isDown: boolean;
  lostAnswerRatio: number;
  slowRatio: number;
}

const CALL_TIMEOUT_MS = 1_000;
const LATENCY_MS = 2;
const SLOW_MS = 6_000;

/** The key that the planner of the one service holds. */
export const LEASE_KEY = 'cassiamast/planner/service';

/** An empty service. */
export function createService(): SimulatedService {
  return {
    keys: new Map(),
    leases: new Map(),
    watches: [],
    revision: 0,
    isDown: false,
    lostAnswerRatio: 0,
    slowRatio: 0,
  };
}

/** Removes what has lapsed; called before each look at the service. */
export function lapse(simulation: Simulation): void {
  const { service, scheduler } = simulation;
  for (const [leaseId, expiresAtMs] of service.leases) {
    if (scheduler.nowMs < expiresAtMs) continue;
    countFault(simulation.network.counts, 'lease-lapsed');
    endLease(simulation, leaseId, expiresAtMs);
  }
}

/** Ends a lease and removes its keys. */
export function endLease(simulation: Simulation, leaseId: string, atMs: number): void {
  const { service } = simulation;
  service.leases.delete(leaseId);
  for (const [key, { leaseId: bound }] of service.keys) {
    if (bound !== leaseId) continue;
    service.revision += 1;
    service.keys.delete(key);
    if (key === LEASE_KEY) noteKeyGone(simulation.oracle, atMs);
  }
}

/** A write of one key. */
export interface SimulatedWrite {
  readonly key: string;
  /** Null removes the key. */
  readonly value: string | null;
  readonly leaseId?: string;
}

/** Writes if all comparisons hold; gives the revision of the write, or null. */
export function transact(
  simulation: Simulation,
  compares: readonly { readonly key: string; readonly modRevision: number }[],
  writes: readonly SimulatedWrite[],
): number | null {
  const { service } = simulation;
  const holds = compares.every(
    ({ key, modRevision }) => (service.keys.get(key)?.modRevision ?? 0) === modRevision,
  );
  const leased = writes.every(
    ({ leaseId }) => leaseId === undefined || service.leases.has(leaseId),
  );
  if (!holds || !leased) return null;
  service.revision += 1;
  for (const { key, value, leaseId = null } of writes) {
    if (value === null) {
      service.keys.delete(key);
      continue;
    }
    const createRevision = service.keys.get(key)?.createRevision ?? service.revision;
    service.keys.set(key, { value, createRevision, modRevision: service.revision, leaseId });
    if (key === LEASE_KEY) noteKeyTaken(simulation, createRevision);
  }
  return service.revision;
}

/** Calls the service from a process; exactly one of the two answers comes. */
export function callService<Result>(
  simulation: Simulation,
  node: SimulatedNode,
  operation: () => Result,
  onResult: (result: Result) => void,
  onFailure: () => void,
): void {
  const { service, random, scheduler, network } = simulation;
  const { incarnation } = node.slot;
  const operate = (): Result => {
    lapse(simulation);
    return operation();
  };
  /** To the life of the process that called, and to no later one. */
  const answer = (afterMs: number, act: () => void): void => {
    schedule(scheduler, afterMs, () => {
      runIn(node.slot, incarnation, act);
    });
  };
  const failLater = (): void => {
    answer(CALL_TIMEOUT_MS, onFailure);
  };
  if (service.isDown || !linkIsUp(network, node.id, SERVICE_ID)) {
    countFault(network.counts, 'key-value-call-failed');
    failLater();
    return;
  }
  if (random() < service.slowRatio) {
    countFault(network.counts, 'key-value-slow');
    schedule(scheduler, SLOW_MS, operate);
    failLater();
    return;
  }
  schedule(scheduler, LATENCY_MS, () => {
    const result = operate();
    if (random() < service.lostAnswerRatio) {
      countFault(network.counts, 'key-value-answer-lost');
      failLater();
      return;
    }
    answer(LATENCY_MS, () => {
      onResult(result);
    });
  });
}
