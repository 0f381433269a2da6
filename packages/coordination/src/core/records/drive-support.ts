/**
 * Helpers shared by the modules of the request machine: ids, timers, events, and the turn, which is
 * the handling of one event.
 */
import type { EventKind, UnstampedEvent } from '../events/event.js';
import { DriveEffectKind } from './drive-messages.js';
import { DrivePhase } from './drive-types.js';
import type { DriveEffect } from './drive-messages.js';
import type { DriveContext, DriveTimer, RequestDrive } from './drive-types.js';

/** State, inputs and collected effects while a machine handles one event. */
export interface Turn {
  readonly machine: RequestDrive;
  readonly context: DriveContext;
  readonly out: DriveEffect[];
}

/** Returns an id that this machine has not used before. */
export function nextId(machine: RequestDrive): number {
  machine.lastId += 1;
  return machine.lastId;
}

/** Sets a timer, replacing a pending one of the same kind. */
export function setTimer(turn: Turn, timer: DriveTimer, afterMs: number): void {
  const timerId = nextId(turn.machine);
  turn.machine.timerIds.set(timer, timerId);
  turn.out.push({ kind: DriveEffectKind.SetTimer, timer, timerId, afterMs });
}

/** Clears a timer: a pending one is ignored when it fires. */
export function clearTimer(turn: Turn, timer: DriveTimer): void {
  turn.machine.timerIds.delete(timer);
}

/** Records an event on the time line. */
export function emit(
  turn: Turn,
  kind: EventKind,
  reason: string,
  details: Pick<UnstampedEvent, 'target' | 'figures'> = {},
): void {
  const { request } = turn.machine;
  const event: UnstampedEvent = {
    kind,
    reason,
    request: request.keyText,
    workspace: request.workspace,
    service: request.service,
    ...details,
  };
  turn.out.push({ kind: DriveEffectKind.Emit, event });
}

/** Returns the time left until the deadline, at least 0. */
export function remainingMs(turn: Turn): number {
  return Math.max(0, turn.machine.deadlineAtMs - turn.context.nowMs);
}

/** Ends the machine: later events have no effect. */
export function finishDrive(turn: Turn): void {
  turn.machine.phase = DrivePhase.Done;
  turn.machine.timerIds.clear();
  turn.machine.round = null;
}
