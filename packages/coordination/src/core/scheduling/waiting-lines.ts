/**
 * The jobs that wait, in the line of the engine that each stands in. A line is looked at many times
 * for each job, so it is kept beside the list of all.
 */
import type { Scheduler, Waiting } from './scheduler-state.js';

const EMPTY: ReadonlySet<Waiting> = new Set();

/** The jobs that wait for an engine, oldest first. */
export function lineOf(scheduler: Scheduler, engineId: string): ReadonlySet<Waiting> {
  return scheduler.lines.get(engineId) ?? EMPTY;
}

/** A job begins to wait for an engine. */
export function joinLine(scheduler: Scheduler, waiting: Waiting, engineId: string): void {
  waiting.target = engineId;
  scheduler.waiting.set(waiting.job.id, waiting);
  const line = scheduler.lines.get(engineId);
  if (line === undefined) scheduler.lines.set(engineId, new Set([waiting]));
  else line.add(waiting);
}

/** A job waits no longer. */
export function leaveLine(scheduler: Scheduler, jobId: string): void {
  const waiting = scheduler.waiting.get(jobId);
  if (waiting === undefined) return;
  scheduler.waiting.delete(jobId);
  const line = scheduler.lines.get(waiting.target);
  line?.delete(waiting);
  if (line?.size === 0) scheduler.lines.delete(waiting.target);
}

/** A job waits for another engine from now on. */
export function changeLine(scheduler: Scheduler, waiting: Waiting, engineId: string): void {
  leaveLine(scheduler, waiting.job.id);
  joinLine(scheduler, waiting, engineId);
}
