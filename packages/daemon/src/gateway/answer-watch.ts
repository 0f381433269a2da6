/**
 * Watches an attempt at a plain target for an answer that is overdue: nothing of it has come for a
 * while. The attempt stays open, and the request may be tried at another target meanwhile. Only a
 * target that is down ends it, and only if the caller has no part of the answer yet.
 */
import { setTimeout as sleep } from 'node:timers/promises';
import type { TargetEntry } from '@cassiamast/coordination';
import type { Exchange } from './exchange.js';
import type { ForwardingServices } from './forwarding-services.js';
import type { AttemptProgress } from './open-attempts.js';

/** Inactivity of a target, over all requests, after which it may be down. */
const TARGET_INACTIVITY_MS = 600;
/** Pause between two looks at a target whose answer is overdue. */
const PROBE_PAUSE_MS = 100;

/** Watches one attempt. */
export interface AnswerWatch {
  /** Aborted when the attempt must stop. */
  readonly signal: AbortSignal;
  /** Records that a part of the answer was received. */
  readonly noteAnswer: () => void;
  readonly isOverdue: () => boolean;
  readonly stop: () => void;
}

/**
 * Starts to watch an attempt whose answer is overdue after `overdueAfterMs` without a part of it; null
 * if the request can't be tried elsewhere.
 */
export function watchAnswer(
  exchange: Exchange,
  services: ForwardingServices,
  target: TargetEntry,
  progress: AttemptProgress,
  overdueAfterMs: number | null,
): AnswerWatch {
  const { nowMs, standstill, pulse, log, count } = services;
  const stopped = new AbortController();
  let lastPartAtMs = nowMs();
  let hasAnswered = false;
  let isOverdue = false;
  let isOver = false;
  let timer = schedule(overdueAfterMs ?? 0);

  function schedule(afterMs: number): NodeJS.Timeout | undefined {
    return overdueAfterMs === null ? undefined : setTimeout(check, afterMs);
  }

  function stop(): void {
    stopped.abort(progress.signal.reason);
  }

  function check(): void {
    const remainingMs = remainingUntilOverdueMs();
    if (remainingMs > 0) timer = schedule(remainingMs);
    else standstill.whenCaughtUp(noteOverdue);
  }

  function remainingUntilOverdueMs(): number {
    return (overdueAfterMs ?? Infinity) - (nowMs() - lastPartAtMs);
  }

  function noteOverdue(): void {
    if (isOver) return;
    if (remainingUntilOverdueMs() > 0) {
      check();
      return;
    }
    isOverdue = true;
    count('overdue_answers_total');
    log.info('answer overdue', { request: exchange.id, target: target.id, overdueAfterMs });
    services.health.recordFailure(target);
    services.crashes.recordSilence(exchange, target, false);
    progress.noteOverdue();
    void stopWhenDown();
  }

  async function stopWhenDown(): Promise<void> {
    while (isOverdue && !isOver && !exchange.response.headersSent) {
      const mayBeDown = pulse.isInactive(target.id, TARGET_INACTIVITY_MS);
      const isDown = mayBeDown && (await services.probes.isDown(target));
      if (isDown && isOverdue && !exchange.response.headersSent) stop();
      await sleep(PROBE_PAUSE_MS);
    }
  }

  function noteGoesOn(): void {
    isOverdue = false;
    timer = schedule(overdueAfterMs ?? 0);
    services.crashes.noteAnswer(target, 0);
    log.info('target goes on', { request: exchange.id, target: target.id });
  }

  if (progress.signal.aborted) stop();
  progress.signal.addEventListener('abort', stop);
  return {
    signal: stopped.signal,
    noteAnswer: () => {
      lastPartAtMs = nowMs();
      if (hasAnswered && !isOverdue) return;
      hasAnswered = true;
      if (isOverdue) noteGoesOn();
      progress.noteAnswer();
    },
    isOverdue: () => isOverdue,
    stop: () => {
      isOver = true;
      clearTimeout(timer);
      progress.signal.removeEventListener('abort', stop);
    },
  };
}
