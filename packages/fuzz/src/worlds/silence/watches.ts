/**
 * Finds targets silent and answers overdue, by the rules and times of the gateway's
 * `inactivity-watch`, `silence-watch` and `answer-watch`.
 */
import { countFault } from '../../kit/faults.js';
import { schedule } from '../../kit/scheduler.js';
import { noteAnswer, noteOverdue, noteRead, stopSend } from './attempts.js';
import { atGateway } from './routines.js';
import {
  RequestKind,
  type Send,
  SendEnd,
  type SimulatedRequest,
  type Simulation,
  Work,
} from './simulation.js';
import { isDead } from './targets.js';

const RECHECK_INTERVAL_MS = 100;
const TARGET_INACTIVITY_MS = 600;
const PROBE_PAUSE_MS = 100;

/** Names in the counts of a run, which show that it had such cases. */
const OVERDUE = 'an answer is overdue';
const GOES_ON = 'an overdue answer goes on';

/** A watch of one send. */
export interface Watch {
  readonly noteBytes: () => void;
}

/** Watches a send of a stream: the engine is silent if it sends nothing for other requests either. */
export function watchSilence(
  simulation: Simulation,
  request: SimulatedRequest,
  send: Send,
  allowedMs: number,
): Watch {
  const { scheduler } = simulation;
  const mayMove = send.work === Work.Read || request.kind === RequestKind.ResumableStream;
  let lastBytesAtMs = scheduler.nowMs;
  let isSilent = false;

  function check(): void {
    if (send.end !== null) return;
    const remainingMs = allowedMs - (scheduler.nowMs - lastBytesAtMs);
    const isInactive = scheduler.nowMs - send.target.heardAtMs >= TARGET_INACTIVITY_MS;
    if (remainingMs > 0) checkAfter(remainingMs);
    else if (!isInactive) checkAfter(RECHECK_INTERVAL_MS);
    else onSilent();
  }

  function checkAfter(waitMs: number): void {
    schedule(scheduler, waitMs, () => {
      atGateway(simulation, check);
    });
  }

  function onSilent(): void {
    isSilent = true;
    if (!mayMove) return;
    request.failedTargets.add(send.target.id);
    countFault(simulation.counts, OVERDUE);
    noteOverdue(simulation, request, send.attempt);
    stopWhenDown(simulation, request, send, () => isSilent);
  }

  checkAfter(allowedMs);
  return {
    noteBytes: () => {
      lastBytesAtMs = scheduler.nowMs;
      if (!isSilent) return;
      isSilent = false;
      if (mayMove) countFault(simulation.counts, GOES_ON);
      checkAfter(allowedMs);
      if (send.work === Work.Read) noteRead(simulation, request, send.attempt);
      else noteAnswer(simulation, request, send.attempt);
    },
  };
}

/** Gives a send up whose answer is overdue and whose target is down. */
function stopWhenDown(
  simulation: Simulation,
  request: SimulatedRequest,
  send: Send,
  isOverdue: () => boolean,
): void {
  if (!isOverdue() || send.end !== null) return;
  schedule(simulation.scheduler, PROBE_PAUSE_MS, () => {
    atGateway(simulation, () => {
      if (!isOverdue() || request.hasHead || !isDead(send.target)) return;
      stopSend(simulation, request, send, SendEnd.Silent);
    });
    stopWhenDown(simulation, request, send, isOverdue);
  });
}

/** Watches a send of a plain request: its answer is overdue whether its target is silent or slow. */
export function watchAnswer(
  simulation: Simulation,
  request: SimulatedRequest,
  send: Send,
  overdueAfterMs: number | null,
): Watch {
  const { scheduler } = simulation;
  let lastPartAtMs = scheduler.nowMs;
  let hasAnswered = false;
  let isOverdue = false;

  function check(): void {
    if (send.end !== null) return;
    const remainingMs = (overdueAfterMs ?? Infinity) - (scheduler.nowMs - lastPartAtMs);
    if (remainingMs > 0) {
      checkAfter(remainingMs);
      return;
    }
    isOverdue = true;
    countFault(simulation.counts, OVERDUE);
    noteOverdue(simulation, request, send.attempt);
    stopWhenDown(simulation, request, send, () => isOverdue);
  }

  function checkAfter(waitMs: number | null): void {
    if (waitMs === null) return;
    schedule(scheduler, waitMs, () => {
      atGateway(simulation, check);
    });
  }

  checkAfter(overdueAfterMs);
  return {
    noteBytes: () => {
      lastPartAtMs = scheduler.nowMs;
      if (hasAnswered && !isOverdue) return;
      hasAnswered = true;
      if (isOverdue) {
        countFault(simulation.counts, GOES_ON);
        checkAfter(overdueAfterMs);
      }
      isOverdue = false;
      noteAnswer(simulation, request, send.attempt);
    },
  };
}
