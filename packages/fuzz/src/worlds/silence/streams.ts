/**
 * Forwards streams as the gateway's `stream-forwarding` and `engine-requests` do: most turns read
 * the prompt at one engine and stream from another.
 */
import { schedule } from '../../kit/scheduler.js';
import {
  aloneToRun,
  ask,
  beginAttempt,
  beginSend,
  changed,
  endRequest,
  finalResult,
  giveUp,
  nextResult,
  noteAnswer,
  noteRead,
  relayEvent,
} from './attempts.js';
import { type Routine, atGateway } from './routines.js';
import {
  type Attempt,
  AttemptEnd,
  type AttemptResult,
  MessageKind,
  RequestEnd,
  RequestKind,
  type Send,
  SendEnd,
  type SimulatedRequest,
  type SimulatedTarget,
  type Simulation,
  Work,
  drawMs,
} from './simulation.js';
import { type Watch, watchSilence } from './watches.js';

const MAX_TURNS = 4;
const GRANT_MS = 20;
const RETRY_AFTER_MS = 300;
/** A decision on a crash is awaited for up to that, in some of the turns. */
const DECISION_MS = 500;
const DECISION_SHARE = 0.3;
/** Share of turns whose prompt is read at another engine than the one that streams. */
const SPLIT_SHARE = 0.75;
/** Allowed for a prefill that is predicted to take 100 ms, and for a stream without events. */
const ALLOWED_MS = 700;

/** Forwards a stream until its answer is delivered or no further turn may be taken. */
export function* forwardStream(simulation: Simulation, request: SimulatedRequest): Routine<void> {
  const { open } = request.race;
  let needsTurn = true;
  while (request.abortedBy === null) {
    const engines = needsTurn ? yield* askForEngines(simulation, request) : null;
    const isRefused = engines?.length === 0;
    if (isRefused && open.size === 0) break;
    if (engines !== null && !isRefused) takeTurn(simulation, request, engines);
    if (isRefused || !needsTurn) yield* changed(simulation, request, RETRY_AFTER_MS);
    const result = yield* nextResult(simulation, request);
    if (result?.end === AttemptEnd.Delivered) return;
    if (result?.end === AttemptEnd.Stopped) break;
    needsTurn = mayTakeAnotherTurn(simulation, request, result);
    if (!needsTurn && open.size === 0) break;
    if (needsTurn) yield* decided(simulation, request);
    if (isAnswered(simulation, request)) return;
  }
  const result = yield* finalResult(request);
  if (result?.end === AttemptEnd.Delivered) return;
  giveUp(simulation, request);
}

/** Waits for the decision on a crash. */
function* decided(simulation: Simulation, request: SimulatedRequest): Routine<void> {
  const { scheduler, random } = simulation;
  if (random() >= DECISION_SHARE) return;
  const waitMs = drawMs(simulation, 1, DECISION_MS);
  const untilMs = scheduler.nowMs + waitMs;
  schedule(scheduler, waitMs, () => {
    atGateway(simulation, () => undefined);
  });
  request.isDeciding = true;
  yield () => scheduler.nowMs >= untilMs || request.abortedBy !== null;
  request.isDeciding = false;
}

/** Whether the answer was delivered while a decision was awaited. */
function isAnswered({ options }: Simulation, { race, lastResult }: SimulatedRequest): boolean {
  if (options.asksAfterEnd || race.open.size > 0) return false;
  return lastResult?.end === AttemptEnd.Delivered;
}

function* askForEngines(
  simulation: Simulation,
  request: SimulatedRequest,
): Routine<readonly SimulatedTarget[] | null> {
  const { open } = request.race;
  if (open.size > 0 && !simulation.options.areAllOverdue(request.race)) return null;
  return yield* ask(simulation, request, drawMs(simulation, 1, GRANT_MS), true);
}

function mayTakeAnotherTurn(
  { hasBudget }: Simulation,
  { kind, runs, attempts, maxAttempts }: SimulatedRequest,
  result: AttemptResult | null,
): boolean {
  if (attempts >= MAX_TURNS) return false;
  if (result?.end === AttemptEnd.Broken && kind !== RequestKind.ResumableStream) return false;
  return runs < maxAttempts && hasBudget;
}

function takeTurn(
  simulation: Simulation,
  request: SimulatedRequest,
  engines: readonly SimulatedTarget[],
): void {
  const [reader, streamer = reader] = engines;
  if (reader === undefined || streamer === undefined) return;
  beginAttempt(simulation, request, (attempt) =>
    runTurn(simulation, request, attempt, reader, streamer),
  );
}

function* runTurn(
  simulation: Simulation,
  request: SimulatedRequest,
  attempt: Attempt,
  reader: SimulatedTarget,
  streamer: SimulatedTarget,
): Routine<AttemptResult> {
  const isSplit = simulation.random() < SPLIT_SHARE;
  const end =
    (isSplit ? yield* readPrompt(simulation, request, attempt, reader) : null) ??
    (yield* waitToRun(simulation, request, attempt, isSplit)) ??
    (yield* stream(simulation, request, attempt, streamer));
  return { end, deliver: () => undefined };
}

/** Waits until the stream may run; returns how the turn ends if it may not, else null. */
function* waitToRun(
  simulation: Simulation,
  request: SimulatedRequest,
  attempt: Attempt,
  isSplit: boolean,
): Routine<AttemptEnd | null> {
  if (!isSplit && !simulation.options.waitsUnsplit) return null;
  yield* aloneToRun(simulation, request, attempt);
  const mustNotRun = request.mayHaveRun && request.kind === RequestKind.SingleRunStream;
  return mustNotRun || attempt.isStopped ? AttemptEnd.Broken : null;
}

/** Has the prompt read; returns how the turn ends if that failed, else null. */
function* readPrompt(
  simulation: Simulation,
  request: SimulatedRequest,
  attempt: Attempt,
  target: SimulatedTarget,
): Routine<AttemptEnd | null> {
  let hasFailed = false;
  const send: Send = beginSend(simulation, request, {
    attempt,
    target,
    work: Work.Read,
    onMessage: ({ kind }) => {
      if (kind === MessageKind.FailureHead) hasFailed = true;
      else if (bringsBytes(simulation, kind)) watch.noteBytes();
    },
  });
  const watch: Watch = watchSilence(simulation, request, send, ALLOWED_MS);
  yield () => send.end !== null;
  if (send.end === SendEnd.Complete && !hasFailed) {
    noteRead(simulation, request, attempt);
    return null;
  }
  if (attempt.isStopped) return AttemptEnd.Stopped;
  if (send.end !== SendEnd.Silent) request.failedTargets.add(target.id);
  return AttemptEnd.NotRun;
}

/** Whether a message tells that its engine answers again. */
function bringsBytes({ options }: Simulation, kind: MessageKind): boolean {
  if (kind === MessageKind.FailureBody) return options.heedsFailureBody;
  return kind === MessageKind.Head || kind === MessageKind.Event;
}

function* stream(
  simulation: Simulation,
  request: SimulatedRequest,
  attempt: Attempt,
  target: SimulatedTarget,
): Routine<AttemptEnd> {
  let hasFailed = false;
  const send: Send = beginSend(simulation, request, {
    attempt,
    target,
    work: Work.Run,
    onMessage: ({ kind, event }) => {
      if (kind === MessageKind.FailureHead) hasFailed = true;
      else if (bringsBytes(simulation, kind)) watch.noteBytes();
      if (kind === MessageKind.Head) noteAnswer(simulation, request, attempt);
      if (kind === MessageKind.Event) relayEvent(simulation, request, attempt, event);
    },
  });
  const watch: Watch = watchSilence(simulation, request, send, ALLOWED_MS);
  yield () => send.end !== null;
  request.mayHaveRun ||= send.sentAtMs !== null && send.end !== SendEnd.NotRun;
  switch (send.end) {
    case SendEnd.Complete:
      return concludeAnswer(simulation, request, attempt, target, hasFailed);
    case SendEnd.NotSent:
    case SendEnd.NotRun:
      request.failedTargets.add(target.id);
      return AttemptEnd.NotRun;
    case SendEnd.Broken:
      request.failedTargets.add(target.id);
      return AttemptEnd.Broken;
    case SendEnd.Silent:
      return AttemptEnd.Broken;
    case SendEnd.Stopped:
    case null:
      return AttemptEnd.Stopped;
  }
}

function concludeAnswer(
  simulation: Simulation,
  request: SimulatedRequest,
  attempt: Attempt,
  target: SimulatedTarget,
  hasFailed: boolean,
): AttemptEnd {
  const isAlone = request.race.open.size === 1;
  if (hasFailed && (request.hasHead || !isAlone)) {
    request.failedTargets.add(target.id);
    return AttemptEnd.Broken;
  }
  noteAnswer(simulation, request, attempt);
  endRequest(simulation, request, hasFailed ? RequestEnd.TargetFailure : RequestEnd.Whole);
  return AttemptEnd.Delivered;
}
