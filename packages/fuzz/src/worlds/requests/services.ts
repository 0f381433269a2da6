/**
 * Claims and the poison ledger in the simulated processes: performs what their machines ask for.
 */
import {
  AggregatorEffectKind,
  AggregatorEventKind,
  ClaimClientEffectKind,
  ClaimOutcome,
  ClaimReplyKind,
  DriveEventKind,
  HostEventKind,
  LoneProbe,
  PoisonEffectKind,
  PoisonEventKind,
  PoisonWorkKind,
  claimAggregatorOf,
  handleAggregatorEvent,
  handlePoisonEvent,
  ledgerPrefixOf,
  clearSuspicion,
  noteCrashes,
  readLedger,
  snapshotOf,
  onClaimReply,
  parseLedgerEntry,
  probeLoneRun,
} from '@cassiamast/coordination';
import type {
  AggregatorEvent,
  ClaimClientContext,
  ClaimClientEffect,
  ClaimReply,
  LedgerSnapshot,
  PoisonEffect,
  PoisonEvent,
} from '@cassiamast/coordination';
import { feedDrive } from './entry.js';
import { callKeyValue, readKey, transact } from './key-value.js';
import { isLiveTo } from './membership.js';
import { tell } from './oracle.js';
import { feedHost, hostContext } from './sidecar.js';
import { SERVICE } from './simulation.js';
import type { SimulatedNode, Simulation } from './simulation.js';
import { call, later, send } from './transport.js';

/** Shards of claims, each with one aggregator. */
const CLAIM_SHARDS = 4;
/** Separates a drive's id from its ask in the ids of claims and ledger work. */
const ASK_SEPARATOR = '|';

/** The id under which a drive's ask is known to the claim client and the ledger. */
export function askIdOf(driveId: string, askId: number): string {
  return `${driveId}${ASK_SEPARATOR}${String(askId)}`;
}

/** What the claim client needs in a process. */
export function claimContext(simulation: Simulation, node: SimulatedNode): ClaimClientContext {
  return {
    nowMs: simulation.scheduler.nowMs,
    options: simulation.options.claimClient,
    aggregatorOf: (keyText) => claimAggregatorOf(node.memory.placement, keyText, CLAIM_SHARDS),
  };
}

/** Performs what the claim client asks for. */
export function performClaims(
  simulation: Simulation,
  node: SimulatedNode,
  effects: readonly ClaimClientEffect[],
): void {
  for (const effect of effects) {
    if (effect.kind === ClaimClientEffectKind.Decided) {
      decided(simulation, node, effect.callId, effect.reply);
      continue;
    }
    const { callId, request } = effect;
    const to = simulation.byId.get(effect.to);
    if (to === undefined) continue;
    const askedBy = `${node.id}${ASK_SEPARATOR}${callId}`;
    send(simulation, node, to, (receiver) => {
      feedAggregator(simulation, receiver, {
        kind: AggregatorEventKind.Asked,
        callId: askedBy,
        request,
      });
    });
  }
}

function decided(
  simulation: Simulation,
  node: SimulatedNode,
  callId: string,
  reply: ClaimReply,
): void {
  const { drive, askId } = driveOfAsk(node, callId);
  if (drive === undefined) return;
  const outcomes = {
    [ClaimReplyKind.Granted]: ClaimOutcome.Granted,
    [ClaimReplyKind.Held]: ClaimOutcome.Held,
    [ClaimReplyKind.Unavailable]: ClaimOutcome.Unavailable,
  };
  feedDrive(simulation, node, drive, {
    kind: DriveEventKind.ClaimReplied,
    askId,
    outcome: outcomes[reply.kind],
    holder: reply.holder,
    retryAfterMs: reply.retryAfterMs,
  });
}

function driveOfAsk(
  node: SimulatedNode,
  id: string,
): { readonly drive: ReturnType<typeof node.memory.drives.get>; readonly askId: number } {
  const [driveId = '', askId = ''] = id.split(ASK_SEPARATOR);
  return { drive: node.memory.drives.get(driveId), askId: Number(askId) };
}

/** Tells a process's claim aggregator something and performs what it asks for. */
export function feedAggregator(
  simulation: Simulation,
  node: SimulatedNode,
  event: AggregatorEvent,
): void {
  const effects = handleAggregatorEvent(node.memory.aggregator, event, {
    nowMs: simulation.scheduler.nowMs,
    random: simulation.random,
    options: simulation.options.aggregator,
  });
  for (const effect of effects) {
    switch (effect.kind) {
      case AggregatorEffectKind.GrantLease:
        grantLease(simulation, node);
        break;
      case AggregatorEffectKind.Transact: {
        const { compares, writes } = effect;
        callKeyValue(
          simulation,
          node,
          (keyValue) => transact(keyValue, compares, writes),
          (outcome) => {
            feedAggregator(simulation, node, { kind: AggregatorEventKind.Transacted, outcome });
          },
          () => {
            feedAggregator(simulation, node, { kind: AggregatorEventKind.TransactionFailed });
          },
        );
        break;
      }
      case AggregatorEffectKind.Reply:
        replyToClaim(simulation, node, effect.callId, effect.reply);
        break;
      case AggregatorEffectKind.SetTimer: {
        const { timerId, afterMs } = effect;
        later(simulation, node, afterMs, () => {
          feedAggregator(simulation, node, { kind: AggregatorEventKind.TimerFired, timerId });
        });
      }
    }
  }
}

function grantLease(simulation: Simulation, node: SimulatedNode): void {
  callKeyValue(
    simulation,
    node,
    (keyValue) => `lease-${String((keyValue.revision += 1))}`,
    (leaseId) => {
      feedAggregator(simulation, node, { kind: AggregatorEventKind.LeaseGranted, leaseId });
    },
    () => {
      feedAggregator(simulation, node, { kind: AggregatorEventKind.LeaseFailed });
    },
  );
}

function replyToClaim(
  simulation: Simulation,
  node: SimulatedNode,
  askedBy: string,
  reply: ClaimReply,
): void {
  const [asker = '', ...rest] = askedBy.split(ASK_SEPARATOR);
  const callId = rest.join(ASK_SEPARATOR);
  const to = simulation.byId.get(asker);
  if (to === undefined) return;
  send(simulation, node, to, (receiver) => {
    const effects = onClaimReply(receiver.memory.claimClient, callId, reply);
    performClaims(simulation, receiver, effects);
  });
}

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

function performPoisonEffect(
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
        kind: DriveEventKind.LoneRunReplied,
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

const PROBE_TIMEOUT_MS = 1000;

function probe(
  simulation: Simulation,
  node: SimulatedNode,
  effect: Extract<PoisonEffect, { kind: PoisonEffectKind.Probe }>,
): void {
  const { id, loneRun } = effect;
  const { sidecar } = loneRun.place;
  let isAnswered = false;
  const answer = (found: LoneProbe): void => {
    if (isAnswered) return;
    isAnswered = true;
    performPoison(simulation, node, { kind: PoisonEventKind.Probed, id, probe: found });
  };
  if (!isLiveTo(node, sidecar)) {
    answer(LoneProbe.Gone);
    return;
  }
  const { attemptId, sidecarIncarnation } = loneRun;
  call(
    simulation,
    node,
    sidecar,
    (receiver) => {
      const { host } = receiver.memory;
      if (host === null) return LoneProbe.Gone;
      return probeLoneRun(
        host,
        { attemptId, sidecarIncarnation },
        hostContext(simulation, receiver),
      );
    },
    answer,
  );
  later(simulation, node, PROBE_TIMEOUT_MS, () => {
    answer(LoneProbe.Running);
  });
}

function announce(
  simulation: Simulation,
  node: SimulatedNode,
  bodyHash: string,
  attemptIds: readonly string[],
): void {
  for (const to of simulation.nodes) {
    send(simulation, node, to, (receiver) => {
      const { suspicions } = receiver.memory;
      if (attemptIds.length > 0) noteCrashes(suspicions, bodyHash, attemptIds, false);
      else clearSuspicion(suspicions, bodyHash);
      tellHost(simulation, receiver, bodyHash, attemptIds.length > 0);
    });
  }
}

function tellHost(
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

function askPeers(simulation: Simulation, node: SimulatedNode): void {
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
        for (const [bodyHash, ids] of snapshot) noteCrashes(suspicions, bodyHash, ids, false);
        suspicions.isRead = true;
      },
    );
  }
}

function learnLedger(simulation: Simulation, node: SimulatedNode, ledger: LedgerSnapshot): void {
  const { cleared, unwritten } = readLedger(node.memory.suspicions, ledger);
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
    kind: PoisonEventKind.Asked,
    id: `crash/${attemptId}`,
    work: { kind: PoisonWorkKind.ReportCrash, service: SERVICE, bodyHash, attemptId },
  });
}
