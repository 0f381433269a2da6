/**
 * The simulated key-value service: compare-and-swap with outages, slow spells and answers that are
 * lost after the write took effect.
 */
import type {
  RevisionCompare,
  StoredValue,
  StoredWrite,
  TransactionOutcome,
} from '@cassiamast/coordination';
import { countFault } from '../../kit/faults.js';
import { schedule } from '../../kit/scheduler.js';
import type { Simulation, SimulatedNode } from './simulation.js';
import { later } from './transport.js';

/** The service. */
export interface SimulatedKeyValue {
  readonly values: Map<string, StoredValue>;
  revision: number;
  isDown: boolean;
  /** Share of calls that take effect and whose answer is lost. */
  lostAnswerRatio: number;
  /** Last time at which a call failed or was slow. */
  troubledAtMs: number;
  /** Share of calls that take effect only after the caller has given up. */
  slowRatio: number;
}

/** Time until a caller gives a call up. */
const CALL_TIMEOUT_MS = 1000;
const LATENCY_MS = 2;
const SLOW_MS = 5000;

/** An empty service. */
export function createKeyValue(): SimulatedKeyValue {
  return {
    values: new Map(),
    revision: 0,
    isDown: false,
    lostAnswerRatio: 0,
    slowRatio: 0,
    troubledAtMs: -1,
  };
}

/** Reads a key. */
export function readKey(keyValue: SimulatedKeyValue, key: string): StoredValue | null {
  return keyValue.values.get(key) ?? null;
}

/** Runs a transaction. */
export function transact(
  keyValue: SimulatedKeyValue,
  compares: readonly RevisionCompare[],
  writes: readonly StoredWrite[],
): TransactionOutcome {
  const succeeded = compares.every(
    ({ key, modRevision }) => (keyValue.values.get(key)?.modRevision ?? 0) === modRevision,
  );
  if (!succeeded) {
    const current = compares.flatMap(({ key }) => keyValue.values.get(key) ?? []);
    return { succeeded, current };
  }
  keyValue.revision += 1;
  for (const { key, value } of writes) {
    if (value === null) keyValue.values.delete(key);
    else keyValue.values.set(key, { key, value, modRevision: keyValue.revision });
  }
  return { succeeded, current: [] };
}

/** Calls the service from a process; exactly one of the two answers comes. */
export function callKeyValue<Result>(
  simulation: Simulation,
  node: SimulatedNode,
  operation: (keyValue: SimulatedKeyValue) => Result,
  onResult: (result: Result) => void,
  onFailure: () => void,
): void {
  const { keyValue, random, scheduler, network } = simulation;
  if (keyValue.isDown) {
    keyValue.troubledAtMs = scheduler.nowMs;
    countFault(network.counts, 'key-value-call-failed');
    later(simulation, node, CALL_TIMEOUT_MS, onFailure);
    return;
  }
  if (random() < keyValue.slowRatio) {
    keyValue.troubledAtMs = scheduler.nowMs;
    countFault(network.counts, 'key-value-slow');
    schedule(scheduler, SLOW_MS, () => {
      operation(keyValue);
    });
    later(simulation, node, CALL_TIMEOUT_MS, onFailure);
    return;
  }
  schedule(scheduler, LATENCY_MS, () => {
    const result = operation(keyValue);
    if (random() < keyValue.lostAnswerRatio) {
      countFault(network.counts, 'key-value-answer-lost');
      later(simulation, node, CALL_TIMEOUT_MS, onFailure);
      return;
    }
    later(simulation, node, LATENCY_MS, () => {
      onResult(result);
    });
  });
}
