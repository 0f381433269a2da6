/**
 * Keeps the running requests of an engine within a share of its memory while another engine has
 * room. An engine whose memory is full preempts requests, and these start again from their prompt.
 */
import type { Job } from './job.js';
import type { Scheduler } from './scheduler-state.js';
import { type TargetLoad, canDecode } from './target-load.js';

/**
 * Score of an engine without room, in requests or milliseconds. It outweighs all other terms, so that
 * engines without room are compared with each other only if no engine has room.
 */
const NO_ROOM_PENALTY = 1e6;

/** Returns the tokens that a job holds in memory while it runs, including its whole answer. */
export function tokensInMemory(job: Job): number {
  return job.parts.reduce((sum, part) => sum + part.tokens, job.outputTokens);
}

/** Returns the penalty for decoding a job on an engine. */
export function memoryPenalty(scheduler: Scheduler, load: TargetLoad, job: Job): number {
  return lacksRoom(scheduler, load, job) ? NO_ROOM_PENALTY : 0;
}

/** Returns whether an engine would decode a job and hold too many tokens with it. */
export function lacksRoom({ options }: Scheduler, load: TargetLoad, job: Job): boolean {
  if (!canDecode(load)) return false;
  const maxTokens = options.maxRunningShare * load.cache.capacityTokens;
  // Parts that are shared with other requests count again, so this is an upper bound.
  return load.streamingTokens > 0 && load.streamingTokens + tokensInMemory(job) > maxTokens;
}
