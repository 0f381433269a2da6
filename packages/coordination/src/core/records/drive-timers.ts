/**
 * Timers of the request machine: holders that do not answer, back-off, the deadline.
 */
import { RunState } from '../model/outcome.js';
import { prepare } from './drive-attempts.js';
import { abandonPrepared, refuse, tellRefusal } from './drive-refusals.js';
import { waitOn } from './drive-rounds.js';
import { onCancelOutcome, onDeadlineInStream, reattach } from './drive-streams.js';
import type { Turn } from './drive-support.js';
import { DrivePhase, DriveTimer } from './drive-types.js';
import { DEADLINE_PASSED, RECORDS_UNREACHABLE } from './failures.js';
import { CancelOutcome } from './messages.js';

/** Takes a timer that fired. */
export function onTimer(turn: Turn, timer: DriveTimer): void {
  const { drive } = turn;
  drive.timerIds.delete(timer);
  switch (timer) {
    case DriveTimer.Holders:
      onHoldersTimeout(turn);
      return;
    case DriveTimer.Reattach:
      reattach(turn);
      return;
    case DriveTimer.BackOff:
      if (drive.phase === DrivePhase.BackingOff) prepare(turn);
      return;
    case DriveTimer.Cancel:
      onCancelOutcome(turn, CancelOutcome.Unknown);
      return;
    case DriveTimer.Deadline:
      onDeadline(turn);
  }
}

function onHoldersTimeout(turn: Turn): void {
  const { drive, context } = turn;
  if (drive.round === null || waitOn(turn)) return;
  const { service } = drive.request;
  drive.pendingFailure ??= RECORDS_UNREACHABLE.of({ service });
  abandonPrepared(turn);
  const isAnswered = drive.phase === DrivePhase.Reconciling;
  drive.pendingRetryAfterMs = context.options.retryAfterMs;
  tellRefusal(turn, isAnswered ? RunState.Ran : RunState.Unknown);
}

function onDeadline(turn: Turn): void {
  const { drive, context } = turn;
  const { service } = drive.request;
  switch (drive.phase) {
    case DrivePhase.Streaming:
      onDeadlineInStream(turn);
      return;
    case DrivePhase.Cancelling:
    case DrivePhase.Reconciling:
    case DrivePhase.Convicting:
    case DrivePhase.Releasing:
    case DrivePhase.Done:
      return;
    default:
      abandonPrepared(turn);
      refuse(turn, DEADLINE_PASSED.of({ service }), context.options.retryAfterMs);
  }
}
