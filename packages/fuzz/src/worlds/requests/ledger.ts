/**
 * The poison ledger in the simulated processes: performs what its machine asks for.
 */

import {
  handlePoisonEvent,
  PoisonEffectKind,
  PoisonEventKind,
  RequestEventKind,
  LoneRunStatus,
  probeLoneRun,
  recordCrashes,
  clearSuspicion,
  HostEventKind,
  ledgerPrefixOf,
  parseLedgerEntry,
  snapshotOf,
  mergeLedger,
  PoisonWorkKind,
} from '@cassiamast/coordination';
import type { PoisonEvent, PoisonEffect, LedgerSnapshot } from '@cassiamast/coordination';
import { feedDrive } from './entry.js';
import { callKeyValue, readKey, transact } from './key-value.js';
import { isLiveTo } from './membership.js';
import { tell } from './oracle.js';
import { driveOfAsk } from './services.js';
import { hostContext, feedHost } from './sidecar.js';
import { SERVICE } from './simulation.js';
import type { Simulation, SimulatedNode } from './simulation.js';
import { call, later, send } from './transport.js';

/** Tells a process's ledger work something and performs what it asks for. */
export function performPoison(
  simulation: Simulation,
  node: SimulatedNode,
  event: PoisonEvent,
): void {
  const effects = handlePoisonEvent(node.memory.poison, event, {
    nowMs: simulation.scheduler.nowMs,
    random: simulation.random,
    options: simulation.options.poison,
  });
  for (const effect of effects) performPoisonEffect(simulation, node, effect);
}

export function performPoisonEffect(
  simulation: Simulation,
  node: SimulatedNode,
  effect: PoisonEffect,
): void {
  switch (effect.kind) {
    case PoisonEffectKind.Read: {
      const { id, ledgerKey, loneKey } = effect;
      callKeyValue(
        simulation,
        node,
        (keyValue) => ({ ledger: readKey(keyValue, ledgerKey), lone: readKey(keyValue, loneKey) }),
        (found) => {
          performPoison(simulation, node, { kind: PoisonEventKind.Read, id, ...found });
        },
        () => {
          performPoison(simulation, node, { kind: PoisonEventKind.CallFailed, id });
        },
      );
      return;
    }
    case PoisonEffectKind.Transact: {
      const { id, compares, writes } = effect;
      callKeyValue(
        simulation,
        node,
        (keyValue) => transact(keyValue, compares, writes),
        (outcome) => {
          const done = outcome.succeeded ? 'writes' : 'fails to write';
          const texts = writes.map(({ key, value }) => `${key} = ${value ?? 'nothing'}`);
          tell(simulation, `${node.id} ${done} ${texts.join(', ')} for ${id}`);
          performPoison(simulation, node, { kind: PoisonEventKind.Transacted, id, outcome });
        },
        () => {
          performPoison(simulation, node, { kind: PoisonEventKind.CallFailed, id });
        },
      );
      return;
    }
    case PoisonEffectKind.Probe:
      probe(simulation, node, effect);
      return;
    case PoisonEffectKind.Announce:
      announce(simulation, node, effect.bodyHash, effect.crashedAttemptIds);
      return;
    case PoisonEffectKind.LoneRunReplied: {
      const { drive, askId } = driveOfAsk(node, effect.id);
      if (drive === undefined) return;
      const { outcome, place, sidecarIncarnation, crashes, retryAfterMs } = effect;
      feedDrive(simulation, node, drive, {
        kind: RequestEventKind.LoneRunReplied,
        askId,
        outcome,
        place,
        sidecarIncarnation,
        crashes,
        retryAfterMs,
      });
    }
  }
}

export const PROBE_TIMEOUT_MS = 1000;

export function probe(
  simulation: Simulation,
  node: SimulatedNode,
  effect: Extract<PoisonEffect, { kind: PoisonEffectKind.Probe }>,
): void {
  const { id, loneRun } = effect;
  const { sidecar } = loneRun.place;
  let isAnswered = false;
  const answer = (found: LoneRunStatus): void => {
    if (isAnswered) return;
    isAnswered = true;
    performPoison(simulation, node, { kind: PoisonEventKind.Probed, id, probe: found });
  };
  if (!isLiveTo(node, sidecar)) {
    answer(LoneRunStatus.Gone);
    return;
  }
  const { attemptId, sidecarIncarnation } = loneRun;
  call(
    simulation,
    node,
    sidecar,
    (receiver) => {
      const { host } = receiver.memory;
      if (host === null) return LoneRunStatus.Gone;
      return probeLoneRun(
        host,
        { attemptId, sidecarIncarnation },
        hostContext(simulation, receiver),
      );
    },
    answer,
  );
  later(simulation, node, PROBE_TIMEOUT_MS, () => {
    answer(LoneRunStatus.Running);
  });
}

export function announce(
  simulation: Simulation,
  node: SimulatedNode,
  bodyHash: string,
  attemptIds: readonly string[],
): void {
  for (const to of simulation.nodes) {
    send(simulation, node, to, (receiver) => {
      const { suspicions } = receiver.memory;
      if (attemptIds.length > 0) recordCrashes(suspicions, bodyHash, attemptIds, false);
      else clearSuspicion(suspicions, bodyHash);
      tellHost(simulation, receiver, bodyHash, attemptIds.length > 0);
    });
  }
}

export function tellHost(
  simulation: Simulation,
  node: SimulatedNode,
  bodyHash: string,
  isSuspected: boolean,
): void {
  const kind = isSuspected ? HostEventKind.ContentSuspected : HostEventKind.ContentCleared;
  feedHost(simulation, node, { kind, bodyHash });
}

/**
 * Reads the whole ledger, as the watch brings it. A process that has just started asks its peers as
 * well: in an outage they are the only source, and after one they know what is not written yet.
 */
export function syncSuspicions(simulation: Simulation, node: SimulatedNode): void {
  const prefix = ledgerPrefixOf(SERVICE);
  if (!node.memory.suspicions.isRead) askPeers(simulation, node);
  callKeyValue(
    simulation,
    node,
    (keyValue) => [...keyValue.values.values()].filter(({ key }) => key.startsWith(prefix)),
    (entries) => {
      const crashes = entries.map((entry): [string, readonly string[]] => [
        entry.key.slice(prefix.length),
        parseLedgerEntry(entry).crashedAttemptIds,
      ]);
      learnLedger(simulation, node, new Map(crashes));
    },
    () => undefined,
  );
}

export function askPeers(simulation: Simulation, node: SimulatedNode): void {
  const { suspicions } = node.memory;
  for (const peer of simulation.nodes) {
    if (peer === node) continue;
    call(
      simulation,
      node,
      peer.id,
      ({ memory }) => (memory.suspicions.isRead ? snapshotOf(memory.suspicions) : null),
      (snapshot) => {
        if (snapshot === null) return;
        for (const [bodyHash, ids] of snapshot) recordCrashes(suspicions, bodyHash, ids, false);
        suspicions.isRead = true;
      },
    );
  }
}

export function learnLedger(
  simulation: Simulation,
  node: SimulatedNode,
  ledger: LedgerSnapshot,
): void {
  const { cleared, unwritten } = mergeLedger(node.memory.suspicions, ledger);
  for (const bodyHash of cleared) tellHost(simulation, node, bodyHash, false);
  for (const bodyHash of ledger.keys()) tellHost(simulation, node, bodyHash, true);
  for (const [bodyHash, attemptIds] of unwritten) {
    for (const attemptId of attemptIds) reportCrash(simulation, node, bodyHash, attemptId);
  }
}

/** Begins to write a crash into the ledger. */
export function reportCrash(
  simulation: Simulation,
  node: SimulatedNode,
  bodyHash: string,
  attemptId: string,
): void {
  performPoison(simulation, node, {
    kind: PoisonEventKind.Requested,
    id: `crash/${attemptId}`,
    work: { kind: PoisonWorkKind.ReportCrash, service: SERVICE, bodyHash, attemptId },
  });
}
