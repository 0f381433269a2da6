/**
 * The silence world: requests with several attempts over the real attempt race. Targets fall silent
 * and go on, refuse, break off, fail, are slow and die; callers leave and deadlines come. A silence
 * alone ends no answer, and no two targets go on with one request.
 */
import {
  addAttempt,
  areAllOverdue,
  createAttemptRace,
  endAttempt,
  isRunElsewhere,
  recordAttemptAccepted,
  recordAttemptAnswer,
  recordAttemptOverdue,
  recordAttemptRead,
  recordAttemptRun,
  seededRandom,
} from '@cassiamast/coordination';
import fc from 'fast-check';
import { countFault } from '../../kit/faults.js';
import { advance, createScheduler, schedule } from '../../kit/scheduler.js';
import { holds } from '../../kit/violation.js';
import type { World, WorldCommand, WorldSetup } from '../../kit/world.js';
import { abortRequest } from './attempts.js';
import { createOracle } from './oracle.js';
import { forwardPlain } from './plain.js';
import { atGateway, start } from './routines.js';
import {
  Manner,
  RequestEnd,
  RequestKind,
  type SilenceOptions,
  type SimulatedRequest,
  type SimulatedTarget,
  type Simulation,
  TARGET_COUNT,
  drawMs,
  isStream,
} from './simulation.js';
import { forwardStream } from './streams.js';
import { breakOff, die, fallSilent, goOn, startTarget } from './targets.js';

const MAX_EVENTS = 12;
const SHORTNESS = 3;
const MIN_ATTEMPTS = 2;
const MAX_ATTEMPTS = 4;
const MIN_DEADLINE_MS = 4000;
const MAX_DEADLINE_MS = 20_000;
const MIN_SILENCE_MS = 200;
const MAX_SILENCE_MS = 5000;
/** A target has received a request by then, and works on it for up to a while before its silence. */
const MAX_START_MS = 500;
const START_STEP_MS = 5;
const MAX_BEGUN_MS = 120;
/** Every deadline has passed by then. */
const SETTLE_MS = MAX_DEADLINE_MS + 1000;

const GUARDED: SilenceOptions = {
  addAttempt,
  recordRun: recordAttemptRun,
  recordAccepted: recordAttemptAccepted,
  isRunElsewhere,
  recordRead: recordAttemptRead,
  recordAnswer: recordAttemptAnswer,
  recordOverdue: recordAttemptOverdue,
  endAttempt,
  areAllOverdue,
  stopsSilent: false,
  heedsFailureBody: false,
  beginsBesideAnswers: false,
  dropsChoice: false,
  heedsPlainEnd: true,
  waitsUnsplit: true,
  asksAfterEnd: false,
};

/** Guards that can be taken away. */
export const SILENCE_MUTANTS: Readonly<Record<string, SilenceOptions>> = {
  'stops-silent-attempts': { ...GUARDED, stopsSilent: true },
  'others-run-on-beside-an-answer': {
    ...GUARDED,
    recordAnswer: (race, attempt) => {
      recordAttemptAnswer({ ...race, open: new Map(race.open) }, attempt);
      return [];
    },
  },
  'younger-run-on-beside-a-read': {
    ...GUARDED,
    recordRead: (race, attempt) => {
      recordAttemptRead({ ...race, open: new Map(race.open) }, attempt);
      return [];
    },
  },
  'runs-are-forgotten': { ...GUARDED, recordRun: () => undefined },
  'older-run-on-beside-an-accepted': { ...GUARDED, recordAccepted: () => [] },
  'runs-beside-a-run': { ...GUARDED, isRunElsewhere: () => false },
  'overdue-is-failed': {
    ...GUARDED,
    recordOverdue: (race, attempt) => {
      endAttempt(race, attempt);
    },
  },
  'failure-is-a-sign': { ...GUARDED, heedsFailureBody: true },
  'begins-beside-answers': { ...GUARDED, beginsBesideAnswers: true },
  'plain-end-is-no-sign': { ...GUARDED, heedsPlainEnd: false },
  'choice-is-dropped': { ...GUARDED, dropsChoice: true },
  'asks-after-the-end': { ...GUARDED, asksAfterEnd: true },
  'unsplit-runs-again': { ...GUARDED, waitsUnsplit: false },
  'over-is-open': { ...GUARDED, endAttempt: (race, attempt) => race.open.has(attempt) },
};

function create(setup: WorldSetup): Simulation {
  const simulation: Simulation = {
    scheduler: createScheduler(),
    random: seededRandom(setup.seed),
    counts: setup.counts,
    options: (setup.mutant === null ? undefined : SILENCE_MUTANTS[setup.mutant]) ?? GUARDED,
    oracle: createOracle(),
    requests: [],
    running: [],
    targets: [],
    startedTargets: 0,
    hasBudget: true,
  };
  for (let count = 0; count < TARGET_COUNT; count += 1) startTarget(simulation);
  return simulation;
}

function request(simulation: Simulation, kind: RequestKind): SimulatedRequest {
  const { scheduler, requests } = simulation;
  const deadlineMs = drawMs(simulation, MIN_DEADLINE_MS, MAX_DEADLINE_MS);
  const created: SimulatedRequest = {
    id: `request-${String(requests.length + 1)}`,
    kind,
    // Short answers are common, as most faults lie at their beginnings and ends.
    events: Math.ceil(MAX_EVENTS * simulation.random() ** SHORTNESS),
    maxAttempts: drawMs(simulation, MIN_ATTEMPTS, MAX_ATTEMPTS + 1),
    deadlineAtMs: scheduler.nowMs + deadlineMs,
    race: createAttemptRace(kind !== RequestKind.SingleRunStream),
    failedTargets: new Set(),
    sends: [],
    attempts: 0,
    runs: 0,
    mayHaveRun: false,
    changes: 0,
    lastResult: null,
    abortedBy: null,
    end: null,
    hasHead: false,
    lastEvent: 0,
    isAsking: false,
    isDeciding: false,
    isWithdrawnByAnswer: false,
    withdraw: null,
  };
  requests.push(created);
  schedule(scheduler, deadlineMs, () => {
    atGateway(simulation, () => {
      abortRequest(simulation, created, RequestEnd.Deadline);
    });
  });
  atGateway(simulation, () => {
    const forward = isStream(created) ? forwardStream : forwardPlain;
    start(simulation, forward(simulation, created));
  });
  return created;
}

/** Sends a request, and lets the first target that works on it fall silent. */
function requestAtSilent(simulation: Simulation, kind: RequestKind): void {
  const { sends } = request(simulation, kind);
  for (let waitedMs = 0; waitedMs < MAX_START_MS; waitedMs += START_STEP_MS) {
    advance(simulation.scheduler, START_STEP_MS);
    const working = sends.find(({ isWorking }) => isWorking);
    if (working === undefined) continue;
    advance(simulation.scheduler, drawMs(simulation, 0, MAX_BEGUN_MS));
    silence(simulation, working.target);
    return;
  }
}

type Command = WorldCommand<Simulation>;

const stepMs = fc.constantFrom(0, 5, 30, 100, 400, 800, 1500);
const index = fc.nat({ max: TARGET_COUNT - 1 });

function command(verb: string, run: (simulation: Simulation) => void): fc.Arbitrary<Command> {
  return stepMs.map((afterMs) => ({
    label: `${verb}; ${String(afterMs)} ms`,
    run: (simulation) => {
      countFault(simulation.counts, verb);
      run(simulation);
      advance(simulation.scheduler, afterMs);
    },
  }));
}

function onTarget(
  verb: string,
  run: (simulation: Simulation, target: SimulatedTarget) => void,
): fc.Arbitrary<Command> {
  return fc.tuple(index, stepMs).map(([which, afterMs]) => ({
    label: `target ${String(which)}: ${verb}; ${String(afterMs)} ms`,
    run: (simulation) => {
      const target = simulation.targets[which];
      if (target === undefined) return;
      countFault(simulation.counts, verb);
      run(simulation, target);
      advance(simulation.scheduler, afterMs);
    },
  }));
}

/** The next thing happens: a message arrives, a timer fires or a target takes a step. */
function takeStep({ scheduler }: Simulation): void {
  const next = scheduler.heap[0];
  if (next !== undefined) advance(scheduler, next.atMs - scheduler.nowMs);
}

function drawOpen({ requests, random }: Simulation): SimulatedRequest | undefined {
  const open = requests.filter(({ end }) => end === null);
  return open[Math.floor(random() * open.length)];
}

function onManner(verb: string, manner: Manner): fc.Arbitrary<Command> {
  return onTarget(verb, (_, target) => {
    target.manner = manner;
  });
}

/** Each target that works on an open request, which is where a fault matters. */
function workers({ requests }: Simulation): readonly SimulatedTarget[] {
  const sends = requests.flatMap((each) => each.sends);
  return [...new Set(sends.filter(({ isWorking }) => isWorking).map(({ target }) => target))];
}

function silence(simulation: Simulation, target: SimulatedTarget): void {
  target.isBusy ||= simulation.random() < 0.5;
  fallSilent(simulation, target, drawMs(simulation, MIN_SILENCE_MS, MAX_SILENCE_MS));
}

const COMMANDS: readonly fc.Arbitrary<Command>[] = [
  ...Object.values(RequestKind).map((kind) =>
    command(`a caller sends a ${kind}`, (simulation) => {
      request(simulation, kind);
    }),
  ),
  ...Object.values(RequestKind).map((kind) =>
    command(`a ${kind} reaches a target that falls silent`, (simulation) => {
      requestAtSilent(simulation, kind);
    }),
  ),
  command('time passes', () => undefined),
  command('the next thing happens', takeStep),
  command('a caller leaves', (simulation) => {
    const open = drawOpen(simulation);
    if (open === undefined) return;
    atGateway(simulation, () => {
      abortRequest(simulation, open, RequestEnd.CallerLeft);
    });
  }),
  command('all that work fall silent', (simulation) => {
    for (const target of workers(simulation)) silence(simulation, target);
  }),
  command('the retry budget is spent', (simulation) => {
    simulation.hasBudget = false;
  }),
  command('the retry budget has room', (simulation) => {
    simulation.hasBudget = true;
  }),
  onTarget('falls silent', silence),
  onTarget('goes on', goOn),
  onManner('answers', Manner.Answers),
  onManner('is slow', Manner.Slow),
  onManner('refuses', Manner.Refuses),
  onManner('fails', Manner.Fails),
  ...[Manner.Answers, Manner.Slow].map((manner) =>
    command(`manner of all targets: ${manner}`, ({ targets }) => {
      for (const target of targets) target.manner = manner;
    }),
  ),
  onTarget('breaks off', breakOff),
  onTarget('has no other requests', (_, target) => {
    target.isBusy = false;
  }),
  onTarget('has other requests', (_, target) => {
    target.isBusy = true;
  }),
  onTarget('dies', (simulation, target) => {
    die(simulation, target, true);
  }),
  onTarget('is lost with its machine', (simulation, target) => {
    die(simulation, target, false);
  }),
];

function check(simulation: Simulation): void {
  simulation.oracle.noteStep(simulation);
}

/** Ends all faults; by its deadline, each request has an end and no target works any more. */
function settle(simulation: Simulation): void {
  const { scheduler, requests } = simulation;
  for (const target of simulation.targets) {
    target.manner = Manner.Answers;
    goOn(simulation, target);
  }
  advance(scheduler, SETTLE_MS);
  check(simulation);
  const open = requests.filter(({ end }) => end === null).map(({ id }) => id);
  holds(open.length === 0, 'ends-by-its-deadline', () => open.join());
  const working = requests.filter(({ sends }) => sends.some(({ isWorking }) => isWorking));
  holds(working.length === 0, 'no-double-work', () => working.map(({ id }) => id).join());
}

/** The world. */
export const SILENCE_WORLD: World<Simulation> = {
  name: 'silence',
  mutants: Object.keys(SILENCE_MUTANTS),
  commands: COMMANDS,
  create,
  check,
  settle,
  stepsOf: (simulation) => simulation.scheduler.steps,
  storyOf: ({ oracle }) => oracle.story,
};
