/**
 * What the oracle notes of records and reach: where a promise is waived because memory was lost or
 * the fleet was parted.
 */

import { ledgerKeyOf, parseLedgerEntry } from '@cassiamast/coordination';
import { ProcessStatus } from '../../kit/processes.js';
import { isReachable } from './membership.js';
import { SEPARATOR } from './oracle.js';
import { readKey } from './key-value.js';
import type { KeyHistory } from './oracle.js';
import { SERVICE } from './simulation.js';
import type { Simulation, SimulatedNode } from './simulation.js';

/** Beyond the latest message and the repair of records. */
export const JOINED_AFTER_MS = 150_000;

/** Each side of a parted fleet may run a request; copies are joined some time after it is healed. */
export function mayDiffer(simulation: Simulation, history: KeyHistory): boolean {
  const isFresh = simulation.scheduler.nowMs - history.lastPartedAtMs < JOINED_AFTER_MS;
  return history.recordLost || isFresh;
}

/**
 * Notes which requests have lost their record: no copy that names their last run is left, or some
 * entry cannot reach any. Only then may a rerun, or a run that was forgotten, bring another text.
 */
export function checkRecords(simulation: Simulation): void {
  notePartitions(simulation);
  noteForgottenCrashes(simulation);
  const entries = simulation.nodes.filter((node) => node.isEntry && isRunning(node));
  for (const [name, history] of simulation.oracle.keys) {
    const lastRun = history.startedAttempts.at(-1);
    if (lastRun === undefined) continue;
    const [keyText = ''] = name.split(SEPARATOR);
    const keepers = simulation.nodes.filter((node) =>
      keepsRecord(node, keyText, lastRun, history.answer),
    );
    const isReached = entries.every((entry) =>
      keepers.some((keeper) => isReachable(simulation, entry.id, keeper.id)),
    );
    if (keepers.length > 0 && isReached) continue;
    history.recordLost = true;
    history.lastPartedAtMs = simulation.scheduler.nowMs;
  }
}

/** Crashes in an outage are forgotten when every process that knew of them has died in it too. */
export function noteForgottenCrashes(simulation: Simulation): void {
  const { oracle, keyValue, nodes } = simulation;
  for (const [bodyHash, notes] of oracle.crashesByContent) {
    if (keyValue.troubledAtMs < notes.lastAtMs) continue;
    const known = new Set<string>();
    for (const node of nodes.filter(isRunning)) {
      const content = node.memory.suspicions.byHash.get(bodyHash);
      for (const id of content?.crashedAttemptIds ?? []) known.add(id);
    }
    const stored = readKey(keyValue, ledgerKeyOf(SERVICE, bodyHash));
    for (const id of parseLedgerEntry(stored).crashedAttemptIds) known.add(id);
    notes.count = Math.min(notes.count, known.size);
  }
}

export function notePartitions(simulation: Simulation): void {
  noteHidden(simulation);
  const running = simulation.nodes.filter(isRunning);
  const [first] = running;
  if (first === undefined) return;
  if (running.every((node) => isReachable(simulation, first.id, node.id))) return;
  simulation.oracle.lastPartedAtMs = simulation.scheduler.nowMs;
  for (const history of simulation.oracle.keys.values()) {
    history.lastPartedAtMs = simulation.scheduler.nowMs;
  }
}

export function noteHidden(simulation: Simulation): void {
  const living = simulation.nodes.filter((node) => node.slot.status !== ProcessStatus.Dead);
  const [first] = living;
  const isHidden = living.some(
    (node) => first !== undefined && !isReachable(simulation, first.id, node.id),
  );
  if (isHidden) simulation.oracle.lastHiddenAtMs = simulation.scheduler.nowMs;
}

export function keepsRecord(
  node: SimulatedNode,
  keyText: string,
  lastRun: string,
  text: string | null,
): boolean {
  const record = node.memory.holder.records.get(keyText)?.record;
  if (record === undefined || !isRunning(node)) return false;
  if (text !== null) return record.answer?.tokens.join('') === text;
  return record.attempts.some((attempt) => attempt.id === lastRun);
}

export function isRunning(node: SimulatedNode): boolean {
  return node.slot.status === ProcessStatus.Running;
}
