/**
 * Handles the timers of the request machine: holders that do not reply, reattaching, backoff,
 * cancelling and the deadline.
 */
import { RunState } from '../model/outcome.js';
import { prepareAttempt } from './request-attempts.js';
import { abandonPreparedAttempt, refuse, sendRefusal } from './request-refusals.js';
import { continueRound } from './request-rounds.js';
import { onCancelOutcome, onDeadlineInStream, reattach } from './request-streams.js';
import type { Turn } from './request-support.js';
import { RequestPhase, RequestTimer } from './request-types.js';
import { DEADLINE_PASSED, RECORDS_UNREACHABLE } from './failures.js';
import { CancelOutcome } from './messages.js';

/** Handles a timer that fired. */
export function onTimer(turn: Turn, timer: RequestTimer): void {
  const { machine } = turn;
  machine.timerIds.delete(timer);
  switch (timer) {
    case RequestTimer.Holders:
      onHoldersTimeout(turn);
      return;
    case RequestTimer.Reattach:
      reattach(turn);
      return;
    case RequestTimer.BackOff:
      if (machine.phase === RequestPhase.BackingOff) prepareAttempt(turn);
      return;
    case RequestTimer.Cancel:
      onCancelOutcome(turn, CancelOutcome.Unknown);
      return;
    case RequestTimer.Deadline:
      onDeadline(turn);
  }
}

function onHoldersTimeout(turn: Turn): void {
  const { machine, context } = turn;
  if (machine.round === null || continueRound(turn)) return;
  const { service } = machine.request;
  machine.pendingFailure ??= RECORDS_UNREACHABLE.of({ service });
  abandonPreparedAttempt(turn);
  const isAnswered = machine.phase === RequestPhase.Reconciling;
  machine.pendingRetryAfterMs = context.options.retryAfterMs;
  sendRefusal(turn, isAnswered ? RunState.Ran : RunState.Unknown);
}

function onDeadline(turn: Turn): void {
  const { machine, context } = turn;
  const { service } = machine.request;
  switch (machine.phase) {
    case RequestPhase.Streaming:
      onDeadlineInStream(turn);
      return;
    case RequestPhase.Cancelling:
    case RequestPhase.Reconciling:
    case RequestPhase.Convicting:
    case RequestPhase.Releasing:
    case RequestPhase.Done:
      return;
    default:
      abandonPreparedAttempt(turn);
      refuse(turn, DEADLINE_PASSED.of({ service }), context.options.retryAfterMs);
  }
}
