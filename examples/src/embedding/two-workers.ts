/**
 * Plays the story that a fenced lease is for: a worker holds the lease, is paused past its lapse,
 * another takes over with a higher fencing number, and the first wakes up and does nothing.
 */
import { setTimeout as sleep } from 'node:timers/promises';
import type { LeaseOptions, Random } from '@cassiamast/coordination';
import { LEASE_OPTIONS } from '@cassiamast/coordination';
import type { KeyValuePort } from '@cassiamast/ports';
import type { LeaseWorker } from './lease-worker.js';
import { createLeaseWorker } from './lease-worker.js';

const KEY = 'billing/settler';
const TICK_MS = 20;
/** Short, so that the example ends soon; a real one takes the defaults. */
const LEASE: LeaseOptions = {
  ...LEASE_OPTIONS,
  ttlMs: 1_000,
  renewIntervalMs: 200,
  safetyMs: 200,
  takeoverDelayMs: 100,
  retryMs: 100,
};

/** What the story came to. */
export interface StoryResult {
  readonly firstFence: number;
  readonly secondFence: number;
  /** Whether the first worker believed in its lease after it woke up. */
  readonly firstStillActs: boolean;
}

/** Plays the story on a key-value service. */
export async function playTwoWorkers(
  keyValue: KeyValuePort,
  random: Random,
  onEvent: (text: string) => void,
): Promise<StoryResult> {
  const make = (name: string): LeaseWorker =>
    createLeaseWorker({
      name,
      key: KEY,
      lease: LEASE,
      keyValue,
      nowMs: () => performance.now(),
      random,
      onEvent,
    });
  const first = make('worker-1');
  const second = make('worker-2');

  await tickUntil([first], first.mayAct);
  const firstFence = first.fence();
  onEvent('worker-1 settles invoices, then its VM is paused');

  // Nobody ticks worker-1: that is what a pause is to it.
  await tickUntil([second], second.mayAct);
  onEvent('worker-2 settles invoices; worker-1 wakes up');

  const firstStillActs = first.mayAct();
  onEvent(
    firstStillActs ? 'both act: broken' : 'worker-1 sees on its own clock that it may not act',
  );
  return { firstFence, secondFence: second.fence(), firstStillActs };
}

async function tickUntil(workers: readonly LeaseWorker[], done: () => boolean): Promise<void> {
  while (!done()) {
    for (const worker of workers) worker.tick();
    await sleep(TICK_MS);
  }
}
