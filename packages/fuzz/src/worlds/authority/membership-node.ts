/** Runs the membership machine of a simulated process. */
import type {
  MembershipContext,
  MembershipEffect,
  MembershipMessage,
} from '@cassiamast/coordination';
import {
  MemberState,
  MembershipEffectKind,
  SUSPICION_NOT_REFUTED,
  announceLeaving,
  answerSync,
  configHints,
  configHintsReceived,
  decodeMembershipMessage,
  encodeMembershipMessage,
  receiveMembershipMessage,
  receiveSyncAnswer,
  syncFailed,
  tickMembership,
} from '@cassiamast/coordination';
import { configContext, performConfig } from './configuration-node.js';
import { checkTold, noteUnread, noteVerdict } from './oracle.js';
import type { Simulation, SimulatedNode } from './simulation.js';
import { call, sendDatagram } from './transport.js';

function contextOf(simulation: Simulation, node: SimulatedNode): MembershipContext {
  const { nowMs } = simulation.scheduler;
  return {
    nowMs,
    random: simulation.random,
    hash32: simulation.hashing.hash32,
    hints: () => configHints(node.memory.config, nowMs),
  };
}

/** Moves the membership machine on. */
export function tickMembers(simulation: Simulation, node: SimulatedNode): void {
  const effects = tickMembership(node.memory.membership, contextOf(simulation, node));
  performMembership(simulation, node, effects);
}

/** Lets a process say that it shuts down. */
export function sayLeaving(simulation: Simulation, node: SimulatedNode): void {
  const effects = announceLeaving(node.memory.membership, contextOf(simulation, node));
  performMembership(simulation, node, effects);
}

function performMembership(
  simulation: Simulation,
  node: SimulatedNode,
  effects: readonly MembershipEffect[],
): void {
  for (const effect of effects) performOne(simulation, node, effect);
  checkTold(node);
}

/** Words of members that contradict, on their way to a process that stands still. */
function noteOwnWords(
  simulation: Simulation,
  target: SimulatedNode,
  message: MembershipMessage,
): void {
  if (!('news' in message)) return;
  for (const { id, state, incarnation } of message.news) {
    const isOwnWord = state === MemberState.Alive;
    if (isOwnWord) noteUnread(simulation.oracle, target.id, id, incarnation);
  }
}

function performOne(simulation: Simulation, node: SimulatedNode, effect: MembershipEffect): void {
  const { memory } = node;
  switch (effect.kind) {
    case MembershipEffectKind.SendDatagram: {
      const text = JSON.stringify(encodeMembershipMessage(effect.message));
      const onWaiting = (target: SimulatedNode): void => {
        noteOwnWords(simulation, target, effect.message);
      };
      const receive = (target: SimulatedNode): void => {
        const wire = JSON.parse(text) as { method: string; params: unknown };
        const message = decodeMembershipMessage(wire.method, wire.params)._unsafeUnwrap();
        const context = contextOf(simulation, target);
        const { membership } = target.memory;
        const received = receiveMembershipMessage(membership, node.id, message, context);
        performMembership(simulation, target, received);
      };
      sendDatagram(simulation, node, effect.to, receive, onWaiting);
      return;
    }
    case MembershipEffectKind.RequestSync:
      call(
        simulation,
        node,
        effect.to,
        (target) => {
          const context = contextOf(simulation, target);
          const { membership } = target.memory;
          const { answer, effects } = answerSync(membership, effect.request, context);
          performMembership(simulation, target, effects);
          return answer.unwrapOr(null);
        },
        (answer) => {
          const context = contextOf(simulation, node);
          if (answer === null) syncFailed(memory.membership, context);
          else {
            const learned = receiveSyncAnswer(memory.membership, effect.to, answer, context);
            performMembership(simulation, node, learned);
          }
        },
      );
      return;
    case MembershipEffectKind.MemberChanged:
      memory.toldMembers.set(effect.member.id, effect.member);
      // Old news may reach a process that was paused; what it concludes itself has to be right.
      if (effect.reason === SUSPICION_NOT_REFUTED) {
        const { id, incarnation } = effect.member;
        noteVerdict(simulation, node, id, incarnation);
      }
      return;
    case MembershipEffectKind.HintsReceived: {
      const { from, hints, askedAtMs } = effect;
      const context = configContext(simulation, node);
      const heard = configHintsReceived(memory.config, from, hints, askedAtMs, context);
      performConfig(simulation, node, heard);
      return;
    }
    case MembershipEffectKind.Refused:
  }
}
