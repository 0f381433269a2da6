/**
 * Maintains one queue of jobs per engine. The queues are kept alongside the map of all queued jobs
 * because a queue is read many times for each job.
 */
import type { QueuedJob, Scheduler } from './scheduler-state.js';

const EMPTY_QUEUE: ReadonlySet<QueuedJob> = new Set();

/** Returns the jobs queued for an engine, oldest first. */
export function queueOf(scheduler: Scheduler, engineId: string): ReadonlySet<QueuedJob> {
  return scheduler.queues.get(engineId) ?? EMPTY_QUEUE;
}

/** Adds a job to the queue of an engine. */
export function enqueue(scheduler: Scheduler, queuedJob: QueuedJob, engineId: string): void {
  queuedJob.target = engineId;
  scheduler.queuedJobs.set(queuedJob.job.id, queuedJob);
  const queue = scheduler.queues.get(engineId);
  if (queue === undefined) scheduler.queues.set(engineId, new Set([queuedJob]));
  else queue.add(queuedJob);
}

/** Removes a job from its queue. */
export function dequeue(scheduler: Scheduler, jobId: string): void {
  const queuedJob = scheduler.queuedJobs.get(jobId);
  if (queuedJob === undefined) return;
  scheduler.queuedJobs.delete(jobId);
  const queue = scheduler.queues.get(queuedJob.target);
  queue?.delete(queuedJob);
  if (queue?.size === 0) scheduler.queues.delete(queuedJob.target);
}

/** Moves a job to the queue of another engine. */
export function moveToQueue(scheduler: Scheduler, queuedJob: QueuedJob, engineId: string): void {
  dequeue(scheduler, queuedJob.job.id);
  enqueue(scheduler, queuedJob, engineId);
}
