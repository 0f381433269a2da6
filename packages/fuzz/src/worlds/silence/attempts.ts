/**
 * Runs the attempts of one request beside each other over the real race, as the gateway's
 * `open-attempts` does, and ends the request.
 */
import { schedule } from '../../kit/scheduler.js';
import { type Routine, atGateway, start } from './routines.js';
import {
  type Attempt,
  type AttemptResult,
  type Message,
  MessageKind,
  RequestEnd,
  type Send,
  SendEnd,
  type SimulatedRequest,
  type SimulatedTarget,
  type Simulation,
  Work,
} from './simulation.js';
import { closeSend, connect } from './targets.js';

/** A target that has the request for this long has not rejected it. */
const ACCEPTED_AFTER_MS = 300;

/** Begins an attempt. */
export function beginAttempt(
  simulation: Simulation,
  request: SimulatedRequest,
  run: (attempt: Attempt) => Routine<AttemptResult>,
): void {
  request.attempts += 1;
  const isStopped = request.abortedBy !== null;
  const attempt: Attempt = { number: request.attempts, isStopped, open: null };
  simulation.options.addAttempt(request.race, attempt);
  start(simulation, finishAttempt(simulation, request, attempt, run));
}

function* finishAttempt(
  { options }: Simulation,
  request: SimulatedRequest,
  attempt: Attempt,
  run: (attempt: Attempt) => Routine<AttemptResult>,
): Routine<void> {
  const result = yield* run(attempt);
  if (options.endAttempt(request.race, attempt)) request.lastResult = result;
  request.changes += 1;
}

/** Returns how the last attempt ended, or null when the answers of all open ones are overdue. */
export function* nextResult(
  { options }: Simulation,
  request: SimulatedRequest,
): Routine<AttemptResult | null> {
  yield () => request.race.open.size === 0 || options.areAllOverdue(request.race);
  return request.race.open.size > 0 ? null : request.lastResult;
}

/** Waits until an attempt is over or tells something, or for a time. */
export function* changed(
  simulation: Simulation,
  request: SimulatedRequest,
  withinMs: number,
): Routine<void> {
  const { scheduler } = simulation;
  const { changes } = request;
  const untilMs = scheduler.nowMs + withinMs;
  schedule(scheduler, withinMs, () => {
    atGateway(simulation, () => undefined);
  });
  yield () => request.changes !== changes || scheduler.nowMs >= untilMs;
}

/** Waits until no other target may run what must not run twice, or the attempt is stopped. */
export function* aloneToRun(
  { options }: Simulation,
  request: SimulatedRequest,
  attempt: Attempt,
): Routine<void> {
  yield () => attempt.isStopped || !options.isRunElsewhere(request.race, attempt);
}

/** Returns how the last attempt ended when none is open. */
export function* finalResult(request: SimulatedRequest): Routine<AttemptResult | null> {
  yield () => request.race.open.size === 0;
  return request.lastResult;
}

/** The target of an attempt is about to be sent the request to run it, and has soon accepted it. */
export function noteRun(simulation: Simulation, request: SimulatedRequest, attempt: Attempt): void {
  const { options, scheduler } = simulation;
  options.recordRun(request.race, attempt);
  schedule(scheduler, ACCEPTED_AFTER_MS, () => {
    atGateway(simulation, () => {
      stopAll(simulation, request, options.recordAccepted(request.race, attempt));
      request.changes += 1;
    });
  });
}

/** The target of an attempt has read the prompt, or goes on with it. */
export function noteRead(
  simulation: Simulation,
  request: SimulatedRequest,
  attempt: Attempt,
): void {
  noteSign(simulation, request, simulation.options.recordRead(request.race, attempt));
}

/** The target of an attempt has sent a part of its answer. */
export function noteAnswer(
  simulation: Simulation,
  request: SimulatedRequest,
  attempt: Attempt,
): void {
  noteSign(simulation, request, simulation.options.recordAnswer(request.race, attempt));
}

/** The answer of an attempt is overdue. */
export function noteOverdue(
  simulation: Simulation,
  request: SimulatedRequest,
  attempt: Attempt,
): void {
  const { options } = simulation;
  options.recordOverdue(request.race, attempt);
  request.changes += 1;
  if (options.stopsSilent) stopAll(simulation, request, [attempt]);
}

function noteSign(
  simulation: Simulation,
  request: SimulatedRequest,
  stopped: readonly Attempt[],
): void {
  if (request.isWithdrawnByAnswer) request.withdraw?.();
  stopAll(simulation, request, stopped);
  request.changes += 1;
}

function stopAll(
  simulation: Simulation,
  request: SimulatedRequest,
  attempts: readonly Attempt[],
): void {
  for (const attempt of attempts) {
    attempt.isStopped = true;
    if (attempt.open !== null) stopSend(simulation, request, attempt.open, SendEnd.Stopped);
  }
}

/** The gateway closes the connection of a send. */
export function stopSend(
  simulation: Simulation,
  request: SimulatedRequest,
  send: Send,
  end: SendEnd,
): void {
  if (send.end !== null) return;
  simulation.oracle.noteStopped(simulation, request, send);
  closeSend(simulation, send, end);
}

/** What a send is made from. */
export interface SendSetup {
  readonly attempt: Attempt;
  readonly target: SimulatedTarget;
  readonly work: Work;
  readonly onMessage: (message: Message) => void;
}

/** Sends a request to a target. */
export function beginSend(
  simulation: Simulation,
  request: SimulatedRequest,
  { attempt, target, work, onMessage }: SendSetup,
): Send {
  const { nowMs } = simulation.scheduler;
  const send: Send = {
    request,
    attempt,
    target,
    work,
    from: request.lastEvent,
    beganAtMs: nowMs,
    end: attempt.isStopped ? SendEnd.Stopped : null,
    sentAtMs: null,
    isWorking: false,
    overtakenAtMs: null,
    lastArrivalMs: nowMs,
    onMessage: (message) => {
      send.end = endOf(message);
      onMessage(message);
    },
  };
  if (send.end !== null) return send;
  attempt.open = send;
  request.sends.push(send);
  connect(simulation, send, () => {
    if (work === Work.Read) return;
    request.runs += 1;
    simulation.oracle.noteRun(simulation, request, send);
    noteRun(simulation, request, attempt);
  });
  return send;
}

function endOf({ kind }: Message): SendEnd | null {
  switch (kind) {
    case MessageKind.Head:
    case MessageKind.FailureHead:
    case MessageKind.FailureBody:
    case MessageKind.Event:
      return null;
    case MessageKind.End:
      return SendEnd.Complete;
    case MessageKind.Refused:
      return SendEnd.NotRun;
    case MessageKind.Broken:
      return SendEnd.Broken;
  }
}

/** Passes an event on to the caller. */
export function relayEvent(
  simulation: Simulation,
  request: SimulatedRequest,
  attempt: Attempt,
  event: number,
): void {
  if (request.end !== null) return;
  request.hasHead = true;
  simulation.oracle.noteRelayed(request, attempt, event);
  request.lastEvent = event;
}

/** Ends the answer to the caller; whatever is still open is stopped. */
export function endRequest(
  simulation: Simulation,
  request: SimulatedRequest,
  end: RequestEnd,
): void {
  if (request.end !== null) return;
  request.end = end;
  simulation.oracle.noteEnded(simulation, request);
  for (const send of request.sends) closeSend(simulation, send, SendEnd.Stopped);
}

/** Ends a request that could not be answered. */
export function giveUp(simulation: Simulation, request: SimulatedRequest): void {
  endRequest(simulation, request, request.abortedBy ?? RequestEnd.GivenUp);
}

/** The caller leaves, or the deadline has come. */
export function abortRequest(
  simulation: Simulation,
  request: SimulatedRequest,
  by: RequestEnd,
): void {
  if (request.end !== null) return;
  request.abortedBy ??= by;
  request.withdraw?.();
  stopAll(simulation, request, [...request.race.open.keys()]);
  request.changes += 1;
}

/**
 * Chooses targets to try, after the time that the decision takes; null if it is withdrawn.
 *
 * @param isWithdrawnByAnswer - Whether an answer of a silent target withdraws it.
 */
export function* ask(
  simulation: Simulation,
  request: SimulatedRequest,
  tookMs: number,
  isWithdrawnByAnswer: boolean,
): Routine<readonly SimulatedTarget[] | null> {
  let answer: readonly SimulatedTarget[] | null = null;
  request.isAsking = true;
  request.isWithdrawnByAnswer = isWithdrawnByAnswer;
  request.withdraw = () => {
    request.isAsking = false;
  };
  schedule(simulation.scheduler, tookMs, () => {
    atGateway(simulation, () => {
      if (!request.isAsking) return;
      answer = targetsFor(simulation, request);
      request.isAsking = false;
    });
  });
  yield () => !request.isAsking;
  request.withdraw = null;
  return answer;
}

function targetsFor(
  { targets, random }: Simulation,
  { failedTargets }: SimulatedRequest,
): readonly SimulatedTarget[] {
  const usable = targets.filter(({ id, isListed }) => isListed && !failedTargets.has(id));
  const first = Math.floor(random() * usable.length);
  return [...usable.slice(first), ...usable.slice(0, first)];
}
