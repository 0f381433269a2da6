/**
 * The oracle of the silence world. It sees what callers and targets are sent and what the gateway
 * hears, not what the race has decided, and says when a promise is broken.
 */
import { ProcessStatus } from '../../kit/processes.js';
import { holds } from '../../kit/violation.js';
import {
  type Attempt,
  type Message,
  MessageKind,
  RequestEnd,
  RequestKind,
  type Send,
  SendEnd,
  type SimulatedRequest,
  type Simulation,
  Work,
} from './simulation.js';
import { isDead } from './targets.js';

/** Time until a target that was stopped does not work any more, if it handles things. */
const DOUBLE_WORK_MS = 50;
/** A target that has a request for so long works on it alone. */
const ACCEPTED_AFTER_MS = 300;
/** Unreachable targets that a plain request may skip. */
const MAX_UNREACHABLE = 3;
/** Time until a request is ended that nothing is open for. */
const END_MS = 50;

/** What happened at the gateway in one step of the scheduler. */
interface Happening {
  readonly send: Send;
  readonly step: number;
}

/** What the oracle notes of one request. */
interface Notes {
  /** The last part of an answer or of a read prompt, which is no failure. */
  heard: Happening | null;
  /** The attempt whose events were passed on last. */
  relayedAttempt: number;
  /** When the gateway had a whole answer. */
  answeredAtMs: number | null;
  /** Since when nothing is open for it. */
  idleSinceMs: number | null;
}

/** The oracle. */
export interface Oracle {
  readonly noteHeard: (simulation: Simulation, send: Send, message: Message) => void;
  readonly noteRun: (simulation: Simulation, request: SimulatedRequest, send: Send) => void;
  readonly noteStopped: (simulation: Simulation, request: SimulatedRequest, send: Send) => void;
  readonly noteRelayed: (request: SimulatedRequest, attempt: Attempt, event: number) => void;
  readonly noteEnded: (simulation: Simulation, request: SimulatedRequest) => void;
  /** Checks what must hold after every step. */
  readonly noteStep: (simulation: Simulation) => void;
  readonly story: readonly string[];
}

/** Creates an oracle. */
export function createOracle(): Oracle {
  const notesByRequest = new Map<SimulatedRequest, Notes>();
  const failedSends = new Set<Send>();
  const story: string[] = [];

  function notesOf(request: SimulatedRequest): Notes {
    const known = notesByRequest.get(request);
    if (known !== undefined) return known;
    const notes: Notes = {
      heard: null,
      relayedAttempt: 0,
      answeredAtMs: null,
      idleSinceMs: null,
    };
    notesByRequest.set(request, notes);
    return notes;
  }

  function tell({ scheduler }: Simulation, send: Send, what: string): void {
    const { request, attempt, target, work } = send;
    const name = `${request.id} ${request.kind} attempt ${String(attempt.number)} ${work}`;
    story.push(`${String(scheduler.nowMs)} ms: ${name} at ${target.id}: ${what}`);
  }

  function noteHeard(simulation: Simulation, send: Send, { kind, event }: Message): void {
    tell(simulation, send, `${kind} ${event === 0 ? '' : String(event)}`.trim());
    if (kind === MessageKind.FailureHead) failedSends.add(send);
    if (!isPartOfAnswer(kind) || failedSends.has(send)) return;
    const { request } = send;
    const { nowMs, steps } = simulation.scheduler;
    const notes = notesOf(request);
    notes.heard = { send, step: steps };
    if (send.work === Work.Run && kind === MessageKind.End) notes.answeredAtMs ??= nowMs;
    for (const other of request.sends) {
      if (goesOnBefore(send, other)) other.overtakenAtMs ??= nowMs;
    }
  }

  function noteRun(simulation: Simulation, request: SimulatedRequest, send: Send): void {
    tell(simulation, send, `sent from event ${String(send.from)}`);
    const isAnswered = notesOf(request).answeredAtMs !== null;
    holds(!isAnswered, 'no-double-work', () => `${request.id}: sent after a whole answer`);
    if (request.kind !== RequestKind.SingleRunStream) return;
    const mayRun = request.sends.filter(
      (each) => each.work === Work.Run && each.sentAtMs !== null && each.end !== SendEnd.NotRun,
    );
    holds(mayRun.length <= 1, 'runs-once', () => `${request.id}: ${String(mayRun.length)} runs`);
  }

  function noteStopped(simulation: Simulation, request: SimulatedRequest, send: Send): void {
    tell(simulation, send, 'stopped');
    if (request.abortedBy !== null || request.end !== null) return;
    holds(
      mayBeStopped(simulation, notesOf(request), send),
      'silence-ends-no-answer',
      () => `${request.id}: attempt ${String(send.attempt.number)} at ${send.target.id}`,
    );
  }

  function noteRelayed(request: SimulatedRequest, { number }: Attempt, event: number): void {
    const notes = notesOf(request);
    holds(
      event === request.lastEvent + 1 && number >= notes.relayedAttempt,
      'events-in-order',
      () =>
        `${request.id}: event ${String(event)} of attempt ${String(number)} after event ` +
        `${String(request.lastEvent)} of attempt ${String(notes.relayedAttempt)}`,
    );
    notes.relayedAttempt = number;
  }

  function noteEnded(simulation: Simulation, request: SimulatedRequest): void {
    const { scheduler } = simulation;
    const { id, end, events, lastEvent, hasHead, kind } = request;
    story.push(`${String(scheduler.nowMs)} ms: ${id} ${kind} ends: ${String(end)}`);
    const told = `${id}: ${String(lastEvent)} of ${String(events)} events, ${String(end)}`;
    if (end === RequestEnd.Whole) holds(lastEvent === events, 'whole-answer', () => told);
    if (end === RequestEnd.TargetFailure) holds(!hasHead, 'whole-answer', () => told);
    if (end !== RequestEnd.GivenUp && end !== RequestEnd.TargetFailure) return;
    const open = request.sends.filter((send) => send.end === null && !isDead(send.target));
    holds(open.length === 0, 'silence-ends-no-answer', () => `${told}, an attempt is open`);
    if (end !== RequestEnd.GivenUp) return;
    holds(!mayTryAnother(simulation, request), 'tries-what-it-may', () => told);
  }

  function noteStep(simulation: Simulation): void {
    for (const request of simulation.requests) {
      noteAccepted(simulation, request);
      checkWork(simulation, request);
      checkEnd(simulation, request);
    }
  }

  function checkEnd({ scheduler }: Simulation, request: SimulatedRequest): void {
    const notes = notesOf(request);
    const isOpen = request.sends.some(({ end }) => end === null);
    const isWaiting = request.isAsking || request.isDeciding || isOpen;
    if (isWaiting || request.end !== null) notes.idleSinceMs = null;
    else notes.idleSinceMs ??= scheduler.nowMs;
    const idleMs = scheduler.nowMs - (notes.idleSinceMs ?? scheduler.nowMs);
    holds(idleMs <= END_MS, 'ends-at-once', () => `${request.id}: idle for ${String(idleMs)} ms`);
    // A plain answer waits for the choice of another target that is under way.
    const isHeld = request.end === null && !request.isAsking && notes.answeredAtMs !== null;
    const heldMs = isHeld ? scheduler.nowMs - (notes.answeredAtMs ?? 0) : 0;
    holds(heldMs <= END_MS, 'ends-at-once', () => `${request.id}: whole for ${String(heldMs)} ms`);
    const lateMs = request.end === null ? scheduler.nowMs - request.deadlineAtMs : 0;
    holds(lateMs <= END_MS, 'ends-by-its-deadline', () => `${request.id}: ${String(lateMs)} ms`);
  }

  return { noteHeard, noteRun, noteStopped, noteRelayed, noteEnded, noteStep, story };
}

/** Whether a plain request may still be tried at a target. */
function mayTryAnother({ targets, hasBudget }: Simulation, request: SimulatedRequest): boolean {
  const { kind, hasHead, runs, maxAttempts, sends, failedTargets } = request;
  if (kind !== RequestKind.PlainIdempotent || hasHead || !hasBudget) return false;
  const unreachable = sends.filter(({ end }) => end === SendEnd.NotSent).length;
  if (runs >= maxAttempts || unreachable > MAX_UNREACHABLE) return false;
  return targets.some(({ id, isListed }) => isListed && !failedTargets.has(id));
}

function isPartOfAnswer(kind: MessageKind): boolean {
  return [MessageKind.Head, MessageKind.Event, MessageKind.End].includes(kind);
}

/** Whether a send that the gateway hears of lets another one of its request end. */
function goesOnBefore(heard: Send, other: Send): boolean {
  if (other.attempt === heard.attempt) return false;
  if (heard.work === Work.Run) return true;
  // What must not run twice goes on where it may have begun.
  const mayRun = other.work === Work.Run && other.sentAtMs !== null;
  if (mayRun && other.request.kind === RequestKind.SingleRunStream) return false;
  return other.attempt.number > heard.attempt.number;
}

/** Whether the gateway has a reason to close the connection of a send now. */
function mayBeStopped({ scheduler }: Simulation, { heard }: Notes, send: Send): boolean {
  const { request, target } = send;
  if (isDead(target) && !request.hasHead) return true;
  if (heard?.step === scheduler.steps && goesOnBefore(heard.send, send)) return true;
  return acceptedAt(request, scheduler.nowMs).some((each) => isYounger(each, send));
}

/** Returns the sends whose targets have had the request to run it for a while. */
function acceptedAt({ sends }: SimulatedRequest, nowMs: number): readonly Send[] {
  return sends.filter(
    ({ work, sentAtMs, end }) =>
      work === Work.Run &&
      end === null &&
      sentAtMs !== null &&
      nowMs - sentAtMs >= ACCEPTED_AFTER_MS,
  );
}

function isYounger(send: Send, other: Send): boolean {
  return send.attempt.number > other.attempt.number;
}

/** Notes which targets must not work on, since a later one has accepted the request. */
function noteAccepted({ scheduler }: Simulation, request: SimulatedRequest): void {
  for (const accepted of acceptedAt(request, scheduler.nowMs)) {
    for (const other of request.sends) {
      if (isYounger(accepted, other)) other.overtakenAtMs ??= scheduler.nowMs;
    }
  }
}

/** Checks that no target works on what another one goes on with. */
function checkWork({ scheduler }: Simulation, request: SimulatedRequest): void {
  for (const { isWorking, overtakenAtMs, target, attempt } of request.sends) {
    if (!isWorking || overtakenAtMs === null) continue;
    if (target.slot.status !== ProcessStatus.Running) continue;
    const workedMs = scheduler.nowMs - Math.max(overtakenAtMs, target.resumedAtMs);
    holds(
      workedMs <= DOUBLE_WORK_MS,
      'no-double-work',
      () => `${request.id}: attempt ${String(attempt.number)} for ${String(workedMs)} ms`,
    );
  }
}
