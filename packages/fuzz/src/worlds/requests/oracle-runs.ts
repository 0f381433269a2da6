/**
 * What the oracle checks of runs: once, recorded, alone, and never two at a time.
 */

import type { Attempt } from '@cassiamast/coordination';
import { holds } from '../../kit/violation.js';
import type { EngineStart } from './engine.js';
import { noteHidden, JOINED_AFTER_MS, keepsRecord } from './oracle-records.js';
import { historyOf, tell, attemptText, isRepeatableKey, isPoisonousBody } from './oracle.js';
import type { Simulation, SimulatedNode } from './simulation.js';

export interface ContentCrashes {
  count: number;
  /** Crashes that may still come: one more than the copies that ran when the first came. */
  allowed: number;
  lastAtMs: number;
}

/** Crashes in total after which a content is run no more. */
export const CONVICTING_CRASHES = 2;

/** An engine begins to work on an attempt. */
export function onEngineStarted(
  simulation: Simulation,
  start: EngineStart,
  target: string,
  beside: readonly Attempt[],
): void {
  const { oracle } = simulation;
  const { attempt, keyText, bodyHash } = start;
  const history = historyOf(oracle, keyText, bodyHash);
  tell(simulation, `${target} starts ${keyText} ${bodyHash} ${attemptText(attempt)}`);
  holds(
    !history.barred.has(attempt.id),
    'not-run-is-true',
    () => `${attempt.id} starts on ${target} after its caller was told that it has not run`,
  );
  history.startedAttempts.push(attempt.id);
  history.lastStartedAtMs = simulation.scheduler.nowMs;
  holds(
    isRepeatableKey(keyText) || history.startedAttempts.length === 1,
    'unrepeatable-runs-once',
    () => `${keyText} runs as ${history.startedAttempts.join(', ')}`,
  );
  const isMixed = beside.length > 0 && (attempt.alone || beside.some((other) => other.alone));
  holds(!isMixed, 'suspects-run-alone', () => `${attempt.id} on ${target} with others`);
  noteLoneRun(simulation, attempt, target);
  checkRecordedBeforeRun(simulation, attempt, keyText);
  checkNoDoubleWork(simulation, attempt, keyText, bodyHash);
  oracle.runs.set(attempt.id, {
    attempt,
    keyText,
    bodyHash,
    text: [...start.continueFrom],
    isWhole: false,
  });
}

/** No other lone run may go on, but those whose process was out of contact since they began. */
export function noteLoneRun(simulation: Simulation, attempt: Attempt, target: string): void {
  if (!attempt.alone) return;
  noteHidden(simulation);
  if (hiddenRuns(simulation) > 0) return;
  const running = simulation.nodes.flatMap((node) => {
    const streams = [...(node.engine?.streams.values() ?? [])];
    const lone = streams.filter((stream) => !stream.ended && stream.attempt.alone);
    return lone.filter((stream) => stream.startedAtMs > node.lastTroubledAtMs);
  });
  const others = running.filter((stream) => stream.attempt.id !== attempt.id);
  holds(
    others.length === 0,
    'one-suspect-at-a-time',
    () => `${attempt.id} on ${target} beside ${others.map((other) => other.attempt.id).join(', ')}`,
  );
}

/** Whether nothing has troubled the fleet for a while, so that the strictest checks apply. */
export function isCalm(simulation: Simulation): boolean {
  const { oracle, network, scheduler } = simulation;
  noteHidden(simulation);
  const calmSinceMs = Math.max(oracle.lastHiddenAtMs, oracle.lastKillAtMs, network.troubledAtMs);
  return scheduler.nowMs - calmSinceMs >= JOINED_AFTER_MS;
}

/** Two copies, or one where an entry knows of no other process. */
export function copiesWanted(simulation: Simulation, entryId: string): number {
  const view = simulation.byId.get(entryId)?.memory.view.values() ?? [];
  return Math.min(2, [...view].filter((entry) => entry.isLive).length);
}

export function checkRecordedBeforeRun(
  simulation: Simulation,
  attempt: Attempt,
  keyText: string,
): void {
  if (!isCalm(simulation)) return;
  const copies = simulation.nodes.filter((node) => keepsRecord(node, keyText, attempt.id, null));
  holds(
    copies.length >= copiesWanted(simulation, attempt.entry),
    'recorded-before-it-runs',
    () => `${attempt.id} runs with ${String(copies.length)} records`,
  );
}

export function checkNoDoubleWork(
  simulation: Simulation,
  attempt: Attempt,
  keyText: string,
  bodyHash: string,
): void {
  const { oracle, scheduler, network } = simulation;
  const troubledAtMs = Math.max(oracle.lastHiddenAtMs, network.troubledAtMs);
  const history = historyOf(oracle, keyText, bodyHash);
  noteHidden(simulation);
  if (scheduler.nowMs - troubledAtMs < JOINED_AFTER_MS || history.recordLost) return;
  const others = simulation.nodes.filter((node) => runsOther(node, attempt, keyText));
  holds(others.length === 0, 'no-double-work', () => `${attempt.id} runs beside another attempt`);
}

export function runsOther(node: SimulatedNode, attempt: Attempt, keyText: string): boolean {
  const streams = [...(node.engine?.streams.values() ?? [])];
  return streams.some((stream) => {
    const isOther = stream.keyText === keyText && stream.attempt.id !== attempt.id;
    return isOther && !stream.ended && stream.startedAtMs > node.lastTroubledAtMs;
  });
}

/** An engine made a token. */
export function onEngineTokens(simulation: Simulation, attemptId: string, token: string): void {
  simulation.oracle.runs.get(attemptId)?.text.push(token);
}

/** An engine came to the end of a text. */
export function onEngineWhole(simulation: Simulation, attemptId: string): void {
  const run = simulation.oracle.runs.get(attemptId);
  if (run !== undefined) run.isWhole = true;
}

/** An engine crashed; what its sidecar hosted counts: contents that are poisonous count, with copies that ran elsewhere then. */
export function onEngineCrashed(
  simulation: Simulation,
  target: string,
  running: readonly { readonly bodyHash: string }[],
  seen: readonly { readonly bodyHash: string }[],
): void {
  const contents = running.map((run) => run.bodyHash).join(', ');
  tell(simulation, `${target} crashes with ${contents}; its sidecar sees ${String(seen.length)}`);
  noteHidden(simulation);
  const culprits = new Set(seen.map((run) => run.bodyHash).filter(isPoisonousBody));
  for (const bodyHash of culprits) {
    const copies = copiesRunning(simulation, bodyHash);
    const known = simulation.oracle.crashesByContent.get(bodyHash);
    const notes = known ?? { count: 0, allowed: CONVICTING_CRASHES - 1 + copies, lastAtMs: 0 };
    if (notes.count === 0) notes.allowed = CONVICTING_CRASHES - 1 + copies;
    notes.count += 1;
    notes.lastAtMs = simulation.scheduler.nowMs;
    simulation.oracle.crashesByContent.set(bodyHash, notes);
    holds(
      notes.count <= notes.allowed + hiddenRuns(simulation),
      'culprit-is-convicted',
      () => `${bodyHash} crashes ${target}: ${String(notes.count)} of ${String(notes.allowed)}`,
    );
  }
}

/** A lone run that is out of reach counts as lost; one more may crash a target meanwhile. */
export function hiddenRuns(simulation: Simulation): number {
  const { oracle, scheduler } = simulation;
  return scheduler.nowMs - oracle.lastHiddenAtMs < JOINED_AFTER_MS ? 1 : 0;
}

export function copiesRunning(simulation: Simulation, bodyHash: string): number {
  const engines = simulation.nodes.flatMap((node) => node.engine ?? []);
  const streams = engines.flatMap((engine) => [...engine.streams.values()]);
  return streams.filter((stream) => !stream.ended && stream.bodyHash === bodyHash).length;
}
