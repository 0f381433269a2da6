/**
 * What the steps of the request machine share: one turn's inputs and effects, ids, timers, events.
 */
import type { EventKind, UnstampedEvent } from '../events/event.js';
import { DriveEffectKind } from './drive-messages.js';
import { DrivePhase } from './drive-types.js';
import type { DriveEffect } from './drive-messages.js';
import type { DriveContext, DriveTimer, RequestDrive } from './drive-types.js';

/** One turn of a machine. */
export interface Turn {
  readonly drive: RequestDrive;
  readonly context: DriveContext;
  readonly out: DriveEffect[];
}

/** A number that this machine has not used before. */
export function nextId(drive: RequestDrive): number {
  drive.lastId += 1;
  return drive.lastId;
}

/** Sets a timer, in place of an earlier one of the same kind. */
export function setTimer(turn: Turn, timer: DriveTimer, afterMs: number): void {
  const timerId = nextId(turn.drive);
  turn.drive.timerIds.set(timer, timerId);
  turn.out.push({ kind: DriveEffectKind.SetTimer, timer, timerId, afterMs });
}

/** Makes a timer that is under way mean nothing. */
export function clearTimer(turn: Turn, timer: DriveTimer): void {
  turn.drive.timerIds.delete(timer);
}

/** Puts an event on the time line. */
export function emit(
  turn: Turn,
  kind: EventKind,
  reason: string,
  details: Pick<UnstampedEvent, 'target' | 'figures'> = {},
): void {
  const { request } = turn.drive;
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

/** Time left until the deadline. */
export function remainingMs(turn: Turn): number {
  return Math.max(0, turn.drive.deadlineAtMs - turn.context.nowMs);
}

/** Ends the machine: nothing that comes later has an effect. */
export function finishDrive(turn: Turn): void {
  turn.drive.phase = DrivePhase.Done;
  turn.drive.timerIds.clear();
  turn.drive.round = null;
}
