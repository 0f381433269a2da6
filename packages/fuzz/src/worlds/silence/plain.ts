/**
 * Forwards idempotent plain requests as the gateway's `plain-forwarding` does: an answer is buffered
 * until it is whole, or too large for that.
 */
import {
  ask,
  beginAttempt,
  beginSend,
  changed,
  endRequest,
  finalResult,
  giveUp,
  nextResult,
  relayEvent,
} from './attempts.js';
import type { Routine } from './routines.js';
import {
  type Attempt,
  AttemptEnd,
  type AttemptResult,
  MessageKind,
  RequestEnd,
  type Send,
  SendEnd,
  type SimulatedRequest,
  type SimulatedTarget,
  type Simulation,
  Work,
  drawMs,
} from './simulation.js';
import { type Watch, watchAnswer } from './watches.js';

/** Another gateway may be asked for a permit, or a decision on a crash awaited. */
const CHOICE_MS = 300;
const OVERDUE_AFTER_MS = 400;
const MAX_BUFFERED_PARTS = 4;
const MAX_UNREACHABLE = 3;
const RETRY_AFTER_MS = 300;

/** Forwards a request until its answer is delivered or no further target may be tried. */
export function* forwardPlain(simulation: Simulation, request: SimulatedRequest): Routine<void> {
  let target = yield* choose(simulation, request);
  while (request.abortedBy === null && (target !== null || request.race.open.size > 0)) {
    if (target !== null) beginAt(simulation, request, target);
    else yield* changed(simulation, request, RETRY_AFTER_MS);
    const result = yield* nextResult(simulation, request);
    target = yield* chooseNext(simulation, request, result);
    if (target === null && deliver(result)) return;
    if (result === null && !mayBeginBeside(simulation, request)) target = null;
  }
  const last = yield* finalResult(request);
  if (deliver(last)) return;
  giveUp(simulation, request);
}

/** Whether no other attempt goes on, or has brought an answer, after a target was chosen. */
function mayBeginBeside({ options }: Simulation, request: SimulatedRequest): boolean {
  const { race, hasHead, lastResult } = request;
  if (options.beginsBesideAnswers || options.areAllOverdue(race)) return true;
  if (options.dropsChoice || race.open.size > 0 || hasHead) return false;
  return lastResult?.end !== AttemptEnd.Delivered;
}

function beginAt(simulation: Simulation, request: SimulatedRequest, target: SimulatedTarget): void {
  request.failedTargets.add(target.id);
  beginAttempt(simulation, request, (attempt) => send(simulation, request, attempt, target));
}

function deliver(result: AttemptResult | null): boolean {
  if (result?.end !== AttemptEnd.Delivered && result?.end !== AttemptEnd.Failed) return false;
  result.deliver();
  return true;
}

function* choose(
  simulation: Simulation,
  request: SimulatedRequest,
): Routine<SimulatedTarget | null> {
  const targets = yield* ask(simulation, request, drawMs(simulation, 1, CHOICE_MS), false);
  return targets?.[0] ?? null;
}

function* chooseNext(
  simulation: Simulation,
  request: SimulatedRequest,
  result: AttemptResult | null,
): Routine<SimulatedTarget | null> {
  switch (result?.end) {
    case AttemptEnd.Delivered:
      return null;
    case AttemptEnd.NotSent:
      return isReachable(request) ? yield* choose(simulation, request) : null;
    case AttemptEnd.NotRun:
      return yield* retryWithinBudget(simulation, request);
    case AttemptEnd.Failed:
    case AttemptEnd.Stopped:
    case AttemptEnd.Broken:
    case undefined:
      if (request.abortedBy !== null || request.hasHead) return null;
      return yield* retryWithinBudget(simulation, request);
  }
}

function isReachable({ sends }: SimulatedRequest): boolean {
  return sends.filter(({ end }) => end === SendEnd.NotSent).length <= MAX_UNREACHABLE;
}

function* retryWithinBudget(
  simulation: Simulation,
  request: SimulatedRequest,
): Routine<SimulatedTarget | null> {
  if (request.runs >= request.maxAttempts) return null;
  const target = yield* choose(simulation, request);
  return simulation.hasBudget ? target : null;
}

function* send(
  simulation: Simulation,
  request: SimulatedRequest,
  attempt: Attempt,
  target: SimulatedTarget,
): Routine<AttemptResult> {
  const parts: number[] = [];
  let hasFailed = false;
  let hasSentHead = false;
  const sent: Send = beginSend(simulation, request, {
    attempt,
    target,
    work: Work.Run,
    onMessage: ({ kind, event }) => {
      if (kind === MessageKind.FailureHead) hasFailed = true;
      if (!hasFailed && bringsAnswer(simulation, kind)) watch.noteBytes();
      if (kind === MessageKind.Event) parts.push(event);
      hasSentHead ||= parts.length > MAX_BUFFERED_PARTS;
      if (hasSentHead) relayParts();
    },
  });
  const hasAttemptsLeft = request.runs + 1 < request.maxAttempts;
  const overdueAfterMs = hasAttemptsLeft ? OVERDUE_AFTER_MS : null;
  const watch: Watch = watchAnswer(simulation, request, sent, overdueAfterMs);

  function relayParts(): void {
    for (const part of parts.splice(0)) relayEvent(simulation, request, attempt, part);
  }

  yield () => sent.end !== null;
  return {
    end: toAttemptEnd(sent.end, hasFailed),
    deliver: () => {
      relayParts();
      endRequest(simulation, request, hasFailed ? RequestEnd.TargetFailure : RequestEnd.Whole);
    },
  };
}

function bringsAnswer({ options }: Simulation, kind: MessageKind): boolean {
  if (kind === MessageKind.End) return options.heedsPlainEnd;
  return kind === MessageKind.Head || kind === MessageKind.Event;
}

function toAttemptEnd(end: SendEnd | null, hasFailed: boolean): AttemptEnd {
  switch (end) {
    case SendEnd.Complete:
      return hasFailed ? AttemptEnd.Failed : AttemptEnd.Delivered;
    case SendEnd.NotSent:
      return AttemptEnd.NotSent;
    case SendEnd.NotRun:
      return AttemptEnd.NotRun;
    case SendEnd.Broken:
      return AttemptEnd.Broken;
    case SendEnd.Silent:
    case SendEnd.Stopped:
    case null:
      return AttemptEnd.Stopped;
  }
}
