/**
 * Helpers shared by the modules of the request machine: ids, timers, events, and the turn, which is
 * the handling of one event.
 */
import type { EventKind, UnstampedEvent } from '../events/event.js';
import { RequestEffectKind } from './request-events.js';
import { RequestPhase } from './request-types.js';
import type { RequestEffect } from './request-events.js';
import type { RequestContext, RequestTimer, RequestMachine } from './request-types.js';

/** State, inputs and collected effects while a machine handles one event. */
export interface Turn {
  readonly machine: RequestMachine;
  readonly context: RequestContext;
  readonly out: RequestEffect[];
}

/** Returns an id that this machine has not used before. */
export function nextId(machine: RequestMachine): number {
  machine.lastId += 1;
  return machine.lastId;
}

/** Sets a timer, replacing a pending one of the same kind. */
export function setTimer(turn: Turn, timer: RequestTimer, afterMs: number): void {
  const timerId = nextId(turn.machine);
  turn.machine.timerIds.set(timer, timerId);
  turn.out.push({ kind: RequestEffectKind.SetTimer, timer, timerId, afterMs });
}

/** Clears a timer: a pending one is ignored when it fires. */
export function clearTimer(turn: Turn, timer: RequestTimer): void {
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
  turn.out.push({ kind: RequestEffectKind.Emit, event });
}

/** Returns the time left until the deadline, at least 0. */
export function remainingMs(turn: Turn): number {
  return Math.max(0, turn.machine.deadlineAtMs - turn.context.nowMs);
}

/** Ends the machine: later events have no effect. */
export function finishRequest(turn: Turn): void {
  turn.machine.phase = RequestPhase.Done;
  turn.machine.timerIds.clear();
  turn.machine.round = null;
}
