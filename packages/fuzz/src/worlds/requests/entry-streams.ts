/**
 * Streams at a simulated entry: dispatches, attachments, and connections that break.
 */

import {
  HostEffectKind,
  RequestEffectKind,
  HostEventKind,
  RequestEventKind,
  StreamFailureReason,
  cancelHosted,
} from '@cassiamast/coordination';
import type {
  HostEffect,
  RequestMachine,
  RequestEffect,
  HostEvent,
  RequestEvent,
  StreamFailure,
} from '@cassiamast/coordination';
import { callerOf, feedDrive } from './entry.js';
import { onSentOut } from './oracle.js';
import { feedHost, hostContext, performHost } from './sidecar.js';
import type { Simulation, SimulatedNode, StreamConnection } from './simulation.js';
import { send, call } from './transport.js';

/** A message of a sidecar's stream. */
export type StreamMessage = Extract<
  HostEffect,
  {
    kind:
      | HostEffectKind.OpenStream
      | HostEffectKind.SendTokens
      | HostEffectKind.EndStream
      | HostEffectKind.FailStream;
  }
>;

/** Silence after which a stream's connection counts as broken. */
export const IDLE_MS = 10_000;

export function openStream(
  simulation: Simulation,
  node: SimulatedNode,
  drive: RequestMachine,
  effect: Extract<RequestEffect, { kind: RequestEffectKind.Dispatch | RequestEffectKind.Attach }>,
): void {
  const { connectionId, attempt } = effect;
  const { memory } = node;
  const attachId = attachIdOf(node, drive.id, connectionId);
  memory.connections.set(attachId, {
    driveId: drive.id,
    connectionId,
    sidecar: attempt.sidecar,
    expectedSequence: 1,
    lastHeardMs: simulation.scheduler.nowMs,
  });
  const event = hostEventOf(drive, effect, attachId);
  if (effect.kind === RequestEffectKind.Dispatch) {
    const connection = simulation.oracle.connections[callerOf(drive)];
    const { ratio, burst } = simulation.options.drive.retry;
    if (connection !== undefined)
      onSentOut(simulation, connection, attempt, { ratio, size: burst });
  }
  const to = simulation.byId.get(attempt.sidecar);
  if (to === undefined) return;
  send(simulation, node, to, (receiver) => {
    feedHost(simulation, receiver, event);
  });
}

export function hostEventOf(
  drive: RequestMachine,
  effect: Extract<RequestEffect, { kind: RequestEffectKind.Dispatch | RequestEffectKind.Attach }>,
  attachId: string,
): HostEvent {
  const { attempt, record } = effect;
  if (effect.kind === RequestEffectKind.Attach) {
    const message = { attempt, record, fromIndex: effect.fromIndex };
    return { kind: HostEventKind.Attached, attachId, message };
  }
  const { continueFrom, remainingMs } = effect;
  const { payload } = drive.request;
  const message = { attempt, record, continueFrom, payload, remainingMs };
  return { kind: HostEventKind.Dispatched, attachId, message };
}

export function attachIdOf(node: SimulatedNode, driveId: string, connectionId: number): string {
  return `${node.id}#${String(node.memory.incarnation)}/${driveId}/${String(connectionId)}`;
}

export function closeStream(
  simulation: Simulation,
  node: SimulatedNode,
  drive: RequestMachine,
  connectionId: number,
): void {
  const attachId = attachIdOf(node, drive.id, connectionId);
  const connection = node.memory.connections.get(attachId);
  if (connection === undefined) return;
  node.memory.connections.delete(attachId);
  detach(simulation, node, connection, attachId);
}

export function detach(
  simulation: Simulation,
  node: SimulatedNode,
  connection: StreamConnection,
  attachId: string,
): void {
  const to = simulation.byId.get(connection.sidecar);
  if (to === undefined) return;
  send(simulation, node, to, (receiver) => {
    feedHost(simulation, receiver, { kind: HostEventKind.Detached, attachId });
  });
}

/** A message of a stream reaches its entry; a gap in the sequence breaks the connection. */
export function onStreamMessage(
  simulation: Simulation,
  node: SimulatedNode,
  attachId: string,
  sequence: number,
  message: StreamMessage,
): void {
  const connection = node.memory.connections.get(attachId);
  if (connection === undefined || sequence < connection.expectedSequence) return;
  if (sequence > connection.expectedSequence) {
    breakConnection(simulation, node, attachId, connection);
    return;
  }
  connection.expectedSequence += 1;
  connection.lastHeardMs = simulation.scheduler.nowMs;
  const { connectionId, driveId } = connection;
  const drive = node.memory.drives.get(driveId);
  if (drive === undefined) return;
  const event = driveEventOf(connectionId, message);
  const isLast =
    event.kind === RequestEventKind.StreamEnded || event.kind === RequestEventKind.StreamFailed;
  if (isLast) node.memory.connections.delete(attachId);
  feedDrive(simulation, node, drive, event);
}

export function driveEventOf(connectionId: number, message: StreamMessage): RequestEvent {
  switch (message.kind) {
    case HostEffectKind.OpenStream:
      return { kind: RequestEventKind.StreamOpened, connectionId };
    case HostEffectKind.SendTokens: {
      const { index, tokens } = message;
      return { kind: RequestEventKind.StreamTokens, connectionId, index, tokens };
    }
    case HostEffectKind.EndStream:
      return { kind: RequestEventKind.StreamEnded, connectionId, end: message.end };
    case HostEffectKind.FailStream:
      return { kind: RequestEventKind.StreamFailed, connectionId, failure: message.failure };
  }
}

export function breakConnection(
  simulation: Simulation,
  node: SimulatedNode,
  attachId: string,
  connection: StreamConnection,
): void {
  node.memory.connections.delete(attachId);
  detach(simulation, node, connection, attachId);
  const drive = node.memory.drives.get(connection.driveId);
  if (drive === undefined) return;
  const failure: StreamFailure = {
    reason: StreamFailureReason.ConnectionLost,
    mayHaveRun: true,
    record: null,
    retryAfterMs: 0,
  };
  const { connectionId } = connection;
  feedDrive(simulation, node, drive, {
    kind: RequestEventKind.StreamFailed,
    connectionId,
    failure,
  });
}

/** Breaks the connections on which nothing came for long, as keep-alive would. */
export function watchConnections(simulation: Simulation, node: SimulatedNode): void {
  const idleSinceMs = simulation.scheduler.nowMs - IDLE_MS;
  for (const [attachId, connection] of [...node.memory.connections]) {
    if (connection.lastHeardMs <= idleSinceMs) {
      breakConnection(simulation, node, attachId, connection);
    }
  }
}

export function cancelAttempt(
  simulation: Simulation,
  node: SimulatedNode,
  drive: RequestMachine,
  effect: Extract<RequestEffect, { kind: RequestEffectKind.CancelAttempt }>,
): void {
  const { attempt } = effect;
  call(
    simulation,
    node,
    attempt.sidecar,
    (receiver) => {
      const { host } = receiver.memory;
      if (host === null) return null;
      const result = cancelHosted(host, { attempt }, hostContext(simulation, receiver));
      performHost(simulation, receiver, result.effects);
      return result.outcome;
    },
    (outcome) => {
      if (outcome === null) return;
      const attemptId = attempt.id;
      feedDrive(simulation, node, drive, {
        kind: RequestEventKind.CancelReplied,
        attemptId,
        outcome,
      });
    },
  );
}
