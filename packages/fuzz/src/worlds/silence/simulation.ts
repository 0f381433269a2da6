/** The shapes of the silence world: one gateway, targets that fall silent, and open requests. */
import type {
  AttemptRace,
  Random,
  addAttempt,
  areAllOverdue,
  endAttempt,
  isRunElsewhere,
  recordAttemptAccepted,
  recordAttemptAnswer,
  recordAttemptOverdue,
  recordAttemptRead,
  recordAttemptRun,
} from '@cassiamast/coordination';
import type { FaultCounts } from '../../kit/faults.js';
import type { ProcessSlot } from '../../kit/processes.js';
import type { Scheduler } from '../../kit/scheduler.js';
import type { Oracle } from './oracle.js';
import type { Routine, Wait } from './routines.js';

export const TARGET_COUNT = 4;

/** The guards: the decisions of a race, and what a gateway takes for a part of an answer. */
export interface SilenceOptions {
  readonly addAttempt: typeof addAttempt;
  readonly recordRun: typeof recordAttemptRun;
  readonly recordAccepted: typeof recordAttemptAccepted;
  readonly isRunElsewhere: typeof isRunElsewhere;
  readonly recordRead: typeof recordAttemptRead;
  readonly recordAnswer: typeof recordAttemptAnswer;
  readonly recordOverdue: typeof recordAttemptOverdue;
  readonly endAttempt: typeof endAttempt;
  readonly areAllOverdue: typeof areAllOverdue;
  /** Whether a silent target is given up. */
  readonly stopsSilent: boolean;
  /** Whether the body of a failure tells that a silent engine answers again. */
  readonly heedsFailureBody: boolean;
  /** Whether a plain attempt begins although an overdue answer went on while a target was chosen. */
  readonly beginsBesideAnswers: boolean;
  /** Whether a target is dropped if the overdue answer broke off while it was chosen. */
  readonly dropsChoice: boolean;
  /** Whether the end of a plain answer stops the other attempts, as its other parts do. */
  readonly heedsPlainEnd: boolean;
  /** Whether a turn is asked for although the answer was delivered while a decision was awaited. */
  readonly asksAfterEnd: boolean;
  /** Whether a turn that reads no prompt elsewhere also waits until it may run. */
  readonly waitsUnsplit: boolean;
}

/** How a request may be delivered. */
export enum RequestKind {
  PlainIdempotent = 'plain-idempotent',
  ResumableStream = 'resumable-stream',
  /** A stream that may run only once. */
  SingleRunStream = 'single-run-stream',
}

/** What a target does with a request that it receives. */
export enum Manner {
  Answers = 'answers',
  Slow = 'slow',
  Refuses = 'refuses',
  Fails = 'fails',
}

/** What a target is asked for. */
export enum Work {
  Read = 'read',
  Run = 'run',
}

/** What a target sends. */
export enum MessageKind {
  Head = 'head',
  FailureHead = 'failure-head',
  FailureBody = 'failure-body',
  Event = 'event',
  End = 'end',
  /** The request did not run. */
  Refused = 'refused',
  Broken = 'broken',
}

/** A message of a target. */
export interface Message {
  readonly kind: MessageKind;
  /** Number of the event, from 1; 0 for other messages. */
  readonly event: number;
}

/** How a send ended. */
export enum SendEnd {
  Complete = 'complete',
  NotSent = 'not-sent',
  NotRun = 'not-run',
  Silent = 'silent',
  Stopped = 'stopped',
  Broken = 'broken',
}

/** One target. */
export interface SimulatedTarget {
  readonly id: string;
  readonly slot: ProcessSlot;
  manner: Manner;
  /** Whether it sends bytes for other requests, too. */
  isBusy: boolean;
  /** Whether its connections were closed when it died. */
  hasClosedConnections: boolean;
  isListed: boolean;
  /** When it last began to handle things again. */
  resumedAtMs: number;
  /** When the gateway last received any bytes from it. */
  heardAtMs: number;
  readonly connections: Set<Send>;
}

/** One send of a request to one target: the connection and both of its ends. */
export interface Send {
  readonly request: SimulatedRequest;
  readonly attempt: Attempt;
  readonly target: SimulatedTarget;
  readonly work: Work;
  /** Last event that the caller already has. */
  readonly from: number;
  readonly beganAtMs: number;
  /** Null while the gateway has it open. */
  end: SendEnd | null;
  /** When the request was written to the target; null before. */
  sentAtMs: number | null;
  /** Whether the target works on it. */
  isWorking: boolean;
  /** When the gateway heard that another target goes on with the request. */
  overtakenAtMs: number | null;
  /** Arrival of the last message on its way, since messages of a connection keep their order. */
  lastArrivalMs: number;
  readonly onMessage: (message: Message) => void;
}

/** One attempt, which is a turn with two sends for a stream. */
export interface Attempt {
  readonly number: number;
  isStopped: boolean;
  open: Send | null;
}

/** How an attempt ended. */
export enum AttemptEnd {
  Delivered = 'delivered',
  /** A whole answer that is a failure of the target's own; it can still be delivered. */
  Failed = 'failed',
  NotSent = 'not-sent',
  NotRun = 'not-run',
  Broken = 'broken',
  Stopped = 'stopped',
}

/** How an attempt ended, and how to deliver what it brought. */
export interface AttemptResult {
  readonly end: AttemptEnd;
  readonly deliver: () => void;
}

/** How a request ended for its caller. */
export enum RequestEnd {
  Whole = 'whole',
  /** The gateway passed on a failure of the target's own. */
  TargetFailure = 'target-failure',
  GivenUp = 'given-up',
  Deadline = 'deadline',
  CallerLeft = 'caller-left',
}

/** One request. */
export interface SimulatedRequest {
  readonly id: string;
  readonly kind: RequestKind;
  /** Events of a whole answer. */
  readonly events: number;
  readonly maxAttempts: number;
  readonly deadlineAtMs: number;
  readonly race: AttemptRace<Attempt>;
  readonly failedTargets: Set<string>;
  readonly sends: Send[];
  attempts: number;
  /** Times that it was sent to be run. */
  runs: number;
  /** Whether a target that is over may have run it. */
  mayHaveRun: boolean;
  /** Number of changes of its attempts. */
  changes: number;
  /** How the last attempt ended. */
  lastResult: AttemptResult | null;
  /** Caller or deadline ended it. */
  abortedBy: RequestEnd | null;
  end: RequestEnd | null;
  hasHead: boolean;
  lastEvent: number;
  /** Whether an engine is being asked for. */
  isAsking: boolean;
  /** Whether a decision on a crash is awaited. */
  isDeciding: boolean;
  isWithdrawnByAnswer: boolean;
  /** Withdraws the pending question. */
  withdraw: (() => void) | null;
}

/** A routine of the gateway and what it waits for. */
export interface Running {
  readonly routine: Routine<void>;
  wait: Wait;
}

/** The whole world. */
export interface Simulation {
  readonly scheduler: Scheduler;
  readonly random: Random;
  readonly counts: FaultCounts;
  readonly options: SilenceOptions;
  readonly oracle: Oracle;
  readonly requests: SimulatedRequest[];
  running: Running[];
  targets: SimulatedTarget[];
  startedTargets: number;
  hasBudget: boolean;
}

/** Whether a request is a stream. */
export function isStream({ kind }: SimulatedRequest): boolean {
  return kind !== RequestKind.PlainIdempotent;
}

/** Draws a number between two bounds. */
export function drawMs({ random }: Simulation, minMs: number, maxMs: number): number {
  return minMs + Math.floor(random() * (maxMs - minMs));
}
