/**
 * Watches an attempt at an engine for silence. An attempt at a silent engine stays open, since the
 * engine may go on a moment later; the request is tried elsewhere meanwhile if it may move. Only an
 * engine that is down ends the attempt, and only if the caller has no part of the answer yet.
 */
import { setTimeout as sleep } from 'node:timers/promises';
import { JobEventKind, type TargetEntry } from '@cassiamast/coordination';
import { type InactivityWatch, watchInactivity } from './inactivity-watch.js';
import { type Turn, reportFailed, report } from './stream-turn.js';

/** Pause between two connections that find out whether a silent engine is down. */
const PROBE_PAUSE_MS = 100;

/** Watches one attempt. */
export interface SilenceWatch extends InactivityWatch {
  /** Aborted when the attempt must stop. */
  readonly signal: AbortSignal;
  readonly isSilent: () => boolean;
}

/** What is watched. */
export interface WatchedAttempt {
  /** Whether the engine only reads the prompt. */
  readonly readOnly: boolean;
  /** After a longer silence, the engine is checked for being unresponsive. */
  readonly allowedMs: number;
}

/** Starts to watch an attempt. */
export function watchSilence(
  turn: Turn,
  target: TargetEntry,
  { readOnly, allowedMs }: WatchedAttempt,
): SilenceWatch {
  const { exchange, services, progress } = turn;
  // A stream that must not run twice waits: a silent engine may still be producing it.
  const mayMove = readOnly || exchange.route.resumable;
  const stopped = new AbortController();
  let isSilent = false;
  let isOver = false;

  function stop(): void {
    stopped.abort(progress.signal.reason);
  }

  function onSilent(): void {
    isSilent = true;
    services.count('silent_targets_total');
    services.log.info('target silent', {
      request: exchange.id,
      target: target.id,
      readOnly,
      mayMove,
      allowedMs: Math.round(allowedMs),
    });
    if (!mayMove) {
      report(turn, JobEventKind.Failed, target.id);
      return;
    }
    reportFailed(turn, target, JobEventKind.Failed);
    services.crashes.recordSilence(exchange, target, readOnly);
    progress.noteOverdue();
    void stopWhenDown();
  }

  async function stopWhenDown(): Promise<void> {
    while (isSilent && !isOver && !exchange.response.headersSent) {
      const isDown = await services.probes.isDown(target);
      if (isDown && isSilent && !exchange.response.headersSent) stop();
      await sleep(PROBE_PAUSE_MS);
    }
  }

  function onActive(silentForMs: number): void {
    isSilent = false;
    services.log.info('target goes on', {
      request: exchange.id,
      target: target.id,
      silentForMs: Math.round(silentForMs),
    });
    services.crashes.noteAnswer(target, 0);
    // The engine answers again, so its answer is not overdue any more.
    if (readOnly) progress.noteRead();
    else progress.noteAnswer();
  }

  if (progress.signal.aborted) stop();
  progress.signal.addEventListener('abort', stop);
  const watch = watchInactivity(services, target.id, allowedMs, { onSilent, onActive });
  return {
    signal: stopped.signal,
    isSilent: () => isSilent,
    noteBytes: watch.noteBytes,
    pause: watch.pause,
    resume: watch.resume,
    stop: () => {
      isOver = true;
      watch.stop();
      progress.signal.removeEventListener('abort', stop);
    },
  };
}
