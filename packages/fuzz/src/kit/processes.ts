/**
 * Processes that are killed, replaced and paused. What reaches a paused process waits and reaches
 * it, late, when it goes on; what reaches a dead one or a former incarnation is gone.
 */

/** What a process does. */
export enum ProcessStatus {
  Running = 'running',
  Paused = 'paused',
  Dead = 'dead',
}

/** One process; its memory is the world's own business. */
export interface ProcessSlot {
  readonly id: string;
  status: ProcessStatus;
  /** 1 at the first start, one more at each replacement. */
  incarnation: number;
  readonly waiting: (() => void)[];
}

/** A process that runs. */
export function createProcess(id: string): ProcessSlot {
  return { id, status: ProcessStatus.Running, incarnation: 1, waiting: [] };
}

/** Does something in a process, if that incarnation of it is there; late when it is paused. */
export function runIn(slot: ProcessSlot, incarnation: number, action: () => void): void {
  if (slot.incarnation !== incarnation || slot.status === ProcessStatus.Dead) return;
  if (slot.status === ProcessStatus.Paused) slot.waiting.push(action);
  else action();
}

/** Ends a process; its memory is lost. */
export function killProcess(slot: ProcessSlot): void {
  slot.status = ProcessStatus.Dead;
  slot.waiting.length = 0;
}

/** Starts a new process at the same address. */
export function replaceProcess(slot: ProcessSlot): void {
  slot.status = ProcessStatus.Running;
  slot.incarnation += 1;
  slot.waiting.length = 0;
}

/** Stops a process, unaware. */
export function pauseProcess(slot: ProcessSlot): void {
  if (slot.status === ProcessStatus.Running) slot.status = ProcessStatus.Paused;
}

/** Lets a paused process go on; everything that came meanwhile reaches it now, in order. */
export function resumeProcess(slot: ProcessSlot): void {
  if (slot.status !== ProcessStatus.Paused) return;
  slot.status = ProcessStatus.Running;
  const { incarnation } = slot;
  for (const action of slot.waiting.splice(0)) runIn(slot, incarnation, action);
}
