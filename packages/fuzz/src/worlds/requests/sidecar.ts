/**
 * A simulated sidecar: performs what the attempt machine asks for, and brings it its engine's signs.
 */
import {
  HostEffectKind,
  HostEventKind,
  handleHolderCallWithRepair,
  handleHostEvent,
  holdersOf,
  loneRunKeyOf,
  parseLoneRun,
  runningAttempts,
} from '@cassiamast/coordination';
import type { HostContext, HostEffect, HostEvent } from '@cassiamast/coordination';
import { ProcessStatus, runIn } from '../../kit/processes.js';
import { cancelStream, resumeStream, startStream } from './engine.js';
import type { SimulatedPayload } from './engine.js';
import { holderPlaceOf } from './membership.js';
import { callKeyValue, readKey } from './key-value.js';
import { SERVICE } from './simulation.js';
import type { SimulatedNode, Simulation } from './simulation.js';
import { call, send } from './transport.js';
import { onStreamMessage } from './entry-streams.js';
import type { StreamMessage } from './entry-streams.js';
import { reportCrash } from './ledger.js';

/** What the attempt machine of a process needs. */
export function hostContext(simulation: Simulation, node: SimulatedNode): HostContext {
  return {
    nowMs: simulation.scheduler.nowMs,
    options: simulation.options.host,
    holdersOfKey: (keyText) => holdersOf(node.memory.placement, keyText),
  };
}

/** Tells a sidecar's attempt machine something; an entry has none. */
export function feedHost(simulation: Simulation, node: SimulatedNode, event: HostEvent): void {
  const { host } = node.memory;
  if (host === null) return;
  const effects = handleHostEvent(host, event, hostContext(simulation, node));
  performHost(simulation, node, effects);
}

/** Performs what the attempt machine asks for. */
export function performHost(
  simulation: Simulation,
  node: SimulatedNode,
  effects: readonly HostEffect[],
): void {
  for (const effect of effects) perform(simulation, node, effect);
}

function perform(simulation: Simulation, node: SimulatedNode, effect: HostEffect): void {
  const { engine } = node;
  if (engine === null) return;
  switch (effect.kind) {
    case HostEffectKind.StartEngine: {
      const record = node.memory.host?.attempts.get(effect.attempt.id)?.record;
      startStream(simulation, engine, {
        attempt: effect.attempt,
        keyText: record?.keyText ?? '',
        bodyHash: record?.bodyHash ?? '',
        payload: effect.payload as SimulatedPayload,
        continueFrom: effect.continueFrom,
      });
      return;
    }
    case HostEffectKind.ResumeEngine:
      resumeStream(simulation, engine, effect.attemptId, effect.fromIndex);
      return;
    case HostEffectKind.CheckLoneRun:
      checkLoneRun(simulation, node, effect.attemptId);
      return;
    case HostEffectKind.CancelEngine:
      cancelStream(engine, effect.attemptId);
      return;
    case HostEffectKind.OpenStream:
    case HostEffectKind.SendTokens:
    case HostEffectKind.EndStream:
    case HostEffectKind.FailStream:
      sendStream(simulation, node, effect);
      return;
    case HostEffectKind.CallHolder:
      callHolder(simulation, node, effect);
      return;
    case HostEffectKind.ReportCrash:
      for (const suspect of effect.suspects) {
        reportCrash(simulation, node, suspect.bodyHash, suspect.attemptId);
      }
      return;
    case HostEffectKind.Emit:
  }
}

function checkLoneRun(simulation: Simulation, node: SimulatedNode, attemptId: string): void {
  callKeyValue(
    simulation,
    node,
    (keyValue) => parseLoneRun(readKey(keyValue, loneRunKeyOf(SERVICE))),
    (loneRun) => {
      const stands = loneRun?.attemptId === attemptId;
      feedHost(simulation, node, {
        kind: HostEventKind.LoneRunChecked,
        attemptId,
        isCurrentLoneRun: stands,
      });
    },
    () => undefined,
  );
}

function sendStream(simulation: Simulation, node: SimulatedNode, message: StreamMessage): void {
  const { attachId } = message;
  const { streamSequences } = node.memory;
  const sequence = (streamSequences.get(attachId) ?? 0) + 1;
  streamSequences.set(attachId, sequence);
  const [entryId = ''] = attachId.split('#');
  const to = simulation.byId.get(entryId);
  if (to === undefined) return;
  send(simulation, node, to, (receiver) => {
    onStreamMessage(simulation, receiver, attachId, sequence, message);
  });
}

function callHolder(
  simulation: Simulation,
  node: SimulatedNode,
  effect: Extract<HostEffect, { kind: HostEffectKind.CallHolder }>,
): void {
  const { to, attemptId, call: holderCall } = effect;
  const { scheduler, options } = simulation;
  call(
    simulation,
    node,
    to,
    (receiver) =>
      handleHolderCallWithRepair(
        holderPlaceOf(receiver),
        holderCall,
        options.holder,
        scheduler.nowMs,
      ),
    (reply) => {
      feedHost(simulation, node, {
        kind: HostEventKind.HolderReplied,
        attemptId,
        from: to,
        reply,
      });
    },
  );
}

/** Connects a sidecar that has just started with its engine. */
export function listenToEngine(simulation: Simulation, node: SimulatedNode): void {
  const { engine, slot } = node;
  if (engine === null) return;
  const { incarnation } = slot;
  const tell = (event: HostEvent): void => {
    runIn(slot, incarnation, () => {
      feedHost(simulation, node, event);
    });
  };
  engine.isWatched = (attemptId) =>
    slot.status === ProcessStatus.Running && node.memory.host?.attempts.has(attemptId) === true;
  engine.listener = {
    onTokens: (attemptId, index, tokens) => {
      tell({ kind: HostEventKind.EngineTokens, attemptId, index, tokens });
    },
    onEnded: (attemptId, outputTokens) => {
      const ending = {
        reason: 'stop',
        promptTokens: 1,
        cachedTokens: 0,
        outputTokens,
        plain: null,
      };
      tell({ kind: HostEventKind.EngineEnded, attemptId, ending });
    },
    onFailed: (attemptId, mayHaveRun) => {
      tell({ kind: HostEventKind.EngineStreamFailed, attemptId, mayHaveRun });
    },
    onMissing: (attemptId) => {
      tell({ kind: HostEventKind.EngineStreamMissing, attemptId });
    },
    onCrashed: () => {
      tell({ kind: HostEventKind.EngineCrashed });
    },
  };
}

/** Asks the engine what it runs that this sidecar did not start. */
export function askInherited(simulation: Simulation, node: SimulatedNode): void {
  const { engine, memory } = node;
  const { host } = memory;
  if (engine === null || host === null || host.inherited?.count === 0) return;
  const own = new Set(runningAttempts(host).map((hosted) => hosted.attempt.id));
  const streams = [...engine.streams.values()].filter(
    (stream) => !stream.ended && !own.has(stream.attempt.id),
  );
  const mayBeLone = streams.some((stream) => stream.attempt.alone);
  const inherited = { count: streams.length, mayBeLone };
  feedHost(simulation, node, { kind: HostEventKind.EngineInherited, inherited });
}
