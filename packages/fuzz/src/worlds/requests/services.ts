/**
 * Claims and the poison ledger in the simulated processes: performs what their machines ask for.
 */
import {
  AggregatorEffectKind,
  AggregatorEventKind,
  ClaimClientEffectKind,
  ClaimOutcome,
  ClaimReplyKind,
  RequestEventKind,
  claimAggregatorOf,
  handleAggregatorEvent,
  onClaimReply,
} from '@cassiamast/coordination';
import type {
  AggregatorEvent,
  ClaimClientContext,
  ClaimClientEffect,
  ClaimReply,
} from '@cassiamast/coordination';
import { feedDrive } from './entry.js';
import { callKeyValue, transact } from './key-value.js';
import type { SimulatedNode, Simulation } from './simulation.js';
import { later, send } from './transport.js';

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
        kind: AggregatorEventKind.Requested,
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
    kind: RequestEventKind.ClaimReplied,
    askId,
    outcome: outcomes[reply.kind],
    holder: reply.holder,
    retryAfterMs: reply.retryAfterMs,
  });
}

export function driveOfAsk(
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
