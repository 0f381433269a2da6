/**
 * A simulated entry: performs what the request machines ask for, and brings callers' requests in.
 */
import {
  RequestEffectKind,
  RequestEventKind,
  RequestPhase,
  PoisonEventKind,
  PoisonWorkKind,
  requestClaim,
  forgetSession,
  handleRequestEvent,
  handleHolderCallWithRepair,
  holdersOf,
  holdersWithout,
  recordCrashes,
  openSession,
  rememberSession,
  suspicionOf,
  takeSequence,
} from '@cassiamast/coordination';
import type {
  RequestContext,
  RequestEffect,
  RequestEvent,
  Place,
  RequestMachine,
} from '@cassiamast/coordination';
import { countFault } from '../../kit/faults.js';
import { contactsOf, holderPlaceOf, isLiveTo } from './membership.js';
import { CALLER_SEPARATOR, onToldAnswer, onToldRefusal, onToldTokens } from './oracle.js';
import { askIdOf, claimContext, performClaims } from './services.js';
import { SERVICE } from './simulation.js';
import type { SimulatedNode, Simulation } from './simulation.js';
import { call, later } from './transport.js';
import { openStream, closeStream, cancelAttempt } from './entry-streams.js';
import { performPoison } from './ledger.js';
const SESSION_TIMEOUT_MS = 1000;

/** What a request machine needs in a process. */
export function driveContext(
  simulation: Simulation,
  node: SimulatedNode,
  drive: RequestMachine,
): RequestContext {
  const { memory } = node;
  const { nowMs } = simulation.scheduler;
  const { keyText, bodyHash } = drive.request;
  return {
    nowMs,
    random: simulation.random,
    hash32: simulation.hashing.hash32,
    entryId: node.id,
    options: simulation.options.drive,
    budget: memory.budget,
    holders: (without) =>
      without === undefined
        ? holdersOf(memory.placement, keyText)
        : holdersWithout(memory.placement, keyText, without),
    isLive: (memberId) => isLiveTo(node, memberId),
    suspicion: () =>
      suspicionOf(memory.suspicions, bodyHash, simulation.options.poison.isConvicted),
    provesAbsence: (absentAt) =>
      simulation.options.provesAbsence({
        keyText,
        absentAt,
        contacts: contactsOf(simulation, node),
        horizonMs: simulation.options.absenceHorizonMs,
        nowMs,
        hash32: simulation.hashing.hash32,
      }),
  };
}

/** Tells a request machine something and performs what it asks for. */
export function feedDrive(
  simulation: Simulation,
  node: SimulatedNode,
  drive: RequestMachine,
  event: RequestEvent,
): void {
  const effects = handleRequestEvent(drive, event, driveContext(simulation, node, drive));
  for (const effect of effects) perform(simulation, node, drive, effect);
  if (drive.phase === RequestPhase.Done) node.memory.drives.delete(drive.id);
}

function perform(
  simulation: Simulation,
  node: SimulatedNode,
  drive: RequestMachine,
  effect: RequestEffect,
): void {
  switch (effect.kind) {
    case RequestEffectKind.CallHolder:
      callHolder(simulation, node, drive, effect);
      return;
    case RequestEffectKind.AskAdmission:
      admit(simulation, node, drive, effect.askId, effect.avoidTargets);
      return;
    case RequestEffectKind.AskLoneRun:
      askLoneRun(simulation, node, drive, effect);
      return;
    case RequestEffectKind.SettleLoneRun: {
      const { attemptId, end } = effect;
      const { bodyHash } = drive.request;
      performPoison(simulation, node, {
        kind: PoisonEventKind.Requested,
        id: `settle/${attemptId}`,
        work: { kind: PoisonWorkKind.Settle, service: SERVICE, bodyHash, attemptId, end },
      });
      return;
    }
    case RequestEffectKind.NoteCrash: {
      const { bodyHash } = drive.request;
      recordCrashes(node.memory.suspicions, bodyHash, [effect.attemptId], false);
      return;
    }
    case RequestEffectKind.OpenSession:
      askSession(simulation, node, drive, effect);
      return;
    case RequestEffectKind.ForgetSession:
      forgetSession(node.memory.sessions, effect.sidecar);
      return;
    case RequestEffectKind.TakeClaim: {
      const { keyText, bodyHash } = drive.request;
      const { attempt, replacesId, askId } = effect;
      const request = { keyText, bodyHash, attempt, replacesId };
      const context = claimContext(simulation, node);
      const { claimClient } = node.memory;
      const effects = requestClaim(claimClient, askIdOf(drive.id, askId), request, context);
      performClaims(simulation, node, effects);
      return;
    }
    case RequestEffectKind.Dispatch:
    case RequestEffectKind.Attach:
      openStream(simulation, node, drive, effect);
      return;
    case RequestEffectKind.CloseStream:
      closeStream(simulation, node, drive, effect.connectionId);
      return;
    case RequestEffectKind.CancelAttempt:
      cancelAttempt(simulation, node, drive, effect);
      return;
    case RequestEffectKind.TellTokens:
    case RequestEffectKind.TellAnswer:
    case RequestEffectKind.TellRefusal:
      tellCaller(simulation, drive, effect);
      return;
    case RequestEffectKind.SetTimer: {
      const { timer, timerId, afterMs } = effect;
      later(simulation, node, afterMs, () => {
        feedDrive(simulation, node, drive, { kind: RequestEventKind.TimerFired, timer, timerId });
      });
      return;
    }
    case RequestEffectKind.Emit:
  }
}

function callHolder(
  simulation: Simulation,
  node: SimulatedNode,
  drive: RequestMachine,
  effect: Extract<RequestEffect, { kind: RequestEffectKind.CallHolder }>,
): void {
  const { to, roundId, call: holderCall } = effect;
  const { options, scheduler } = simulation;
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
      feedDrive(simulation, node, drive, {
        kind: RequestEventKind.HolderReplied,
        roundId,
        from: to,
        reply,
      });
    },
  );
}

function admit(
  simulation: Simulation,
  node: SimulatedNode,
  drive: RequestMachine,
  askId: number,
  avoidTargets: readonly string[],
): void {
  const place = choosePlace(simulation, node, avoidTargets);
  const isRefused = simulation.random() < simulation.admissionRefusalRatio;
  if (isRefused) countFault(simulation.network.counts, 'admission-refused');
  const event: RequestEvent =
    isRefused || place === null
      ? {
          kind: RequestEventKind.AdmissionRefused,
          askId,
          reason: 'the queue is full',
          retryAfterMs: 1000,
        }
      : { kind: RequestEventKind.Admitted, askId, place };
  later(simulation, node, 0, () => {
    feedDrive(simulation, node, drive, event);
  });
}

function choosePlace(
  simulation: Simulation,
  node: SimulatedNode,
  avoidTargets: readonly string[],
): Place | null {
  const places = simulation.nodes
    .filter((other) => !other.isEntry && isLiveTo(node, other.id))
    .map((other) => ({ sidecar: other.id, target: other.engine?.target ?? '' }));
  const others = places.filter(({ target }) => !avoidTargets.includes(target));
  const candidates = others.length > 0 ? others : places;
  return candidates[Math.floor(simulation.random() * candidates.length)] ?? null;
}

function askLoneRun(
  simulation: Simulation,
  node: SimulatedNode,
  drive: RequestMachine,
  effect: Extract<RequestEffect, { kind: RequestEffectKind.AskLoneRun }>,
): void {
  const place = choosePlace(simulation, node, []);
  if (place === null) {
    admit(simulation, node, drive, effect.askId, []);
    return;
  }
  const incarnation = node.memory.view.get(place.sidecar)?.incarnation ?? 0;
  performPoison(simulation, node, {
    kind: PoisonEventKind.Requested,
    id: askIdOf(drive.id, effect.askId),
    work: {
      kind: PoisonWorkKind.RequestLoneRun,
      service: SERVICE,
      bodyHash: drive.request.bodyHash,
      attemptId: effect.attemptId,
      place,
      sidecarIncarnation: `${place.sidecar}#${String(incarnation)}`,
    },
  });
}

function askSession(
  simulation: Simulation,
  node: SimulatedNode,
  drive: RequestMachine,
  effect: Extract<RequestEffect, { kind: RequestEffectKind.OpenSession }>,
): void {
  const { askId, sidecar, verify } = effect;
  const { sessions } = node.memory;
  const give = (): boolean => {
    const taken = takeSequence(sessions, sidecar);
    if (taken === null) return false;
    feedDrive(simulation, node, drive, { kind: RequestEventKind.SessionOpened, askId, ...taken });
    return true;
  };
  if (!verify && give()) return;
  const entryIncarnation = `${node.id}#${String(node.memory.incarnation)}`;
  call(
    simulation,
    node,
    sidecar,
    (receiver) => {
      const { host } = receiver.memory;
      if (host === null) return null;
      return openSession(host.sessions, entryIncarnation, simulation.options.host.sessions);
    },
    (sessionId) => {
      if (sessionId === null) return;
      rememberSession(sessions, sidecar, sessionId);
      if (drive.askId === askId) give();
    },
  );
  later(simulation, node, SESSION_TIMEOUT_MS, () => {
    feedDrive(simulation, node, drive, { kind: RequestEventKind.SessionFailed, askId });
  });
}

/** The number of the caller's connection, which the drive's id ends with. */
export function callerOf(drive: RequestMachine): number {
  return Number(drive.id.split(CALLER_SEPARATOR)[1]);
}

function tellCaller(
  simulation: Simulation,
  drive: RequestMachine,
  effect: Extract<
    RequestEffect,
    {
      kind:
        RequestEffectKind.TellTokens | RequestEffectKind.TellAnswer | RequestEffectKind.TellRefusal;
    }
  >,
): void {
  const connection = simulation.oracle.connections[callerOf(drive)];
  if (connection?.isOpen !== true) return;
  switch (effect.kind) {
    case RequestEffectKind.TellTokens:
      onToldTokens(connection, effect.index, effect.tokens, effect.eventId);
      return;
    case RequestEffectKind.TellAnswer:
      onToldAnswer(simulation, connection);
      return;
    case RequestEffectKind.TellRefusal:
      onToldRefusal(simulation, connection, effect.runState, effect.failure.message);
  }
}
