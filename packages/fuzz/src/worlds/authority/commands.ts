/** The alphabet of the authority world. */
import fc from 'fast-check';
import { LeasePhase } from '@cassiamast/coordination';
import { countFault } from '../../kit/faults.js';
import { linkOf } from '../../kit/network.js';
import { ProcessStatus } from '../../kit/processes.js';
import { advance } from '../../kit/scheduler.js';
import type { WorldCommand } from '../../kit/world.js';
import { planOrder } from './authority-node.js';
import { sendEdit, startOperatorEdit } from './configuration-node.js';
import { crashEngine } from './engine.js';
import { endLease } from './key-value.js';
import { endLeaving, goOn, kill, leave, pause, replace } from './nodes.js';
import { noteLeasesDropped, noteStanding } from './oracle.js';
import type { SimulatedNode, Simulation } from './simulation.js';
import { ALL_IDS, ENTRY_IDS, FAILURE_DOMAINS, SERVICE_ID, SIDECAR_IDS } from './simulation.js';

type Command = WorldCommand<Simulation>;

/** Between commands: within a check, a lease read, a lease's safety, a lease, a cut-off. */
const stepMs = fc.constantFrom(0, 1, 3, 20, 200, 900, 2_500, 6_000, 12_000);
const anyId = fc.constantFrom(...ALL_IDS);
const entryId = fc.constantFrom(...ENTRY_IDS);
const sidecarId = fc.constantFrom(...SIDECAR_IDS);
const ratio = fc.constantFrom(0, 0, 0.05, 0.2, 0.4);

function act(label: string, afterMs: number, run: (simulation: Simulation) => void): Command {
  return {
    label: `${label}; ${String(afterMs)} ms`,
    run: (simulation) => {
      run(simulation);
      noteStanding(simulation);
      advance(simulation.scheduler, afterMs);
    },
  };
}

function onNode(
  verb: string,
  ids: fc.Arbitrary<string>,
  run: (simulation: Simulation, node: SimulatedNode) => void,
): fc.Arbitrary<Command> {
  return fc.tuple(ids, stepMs).map(([id, afterMs]) =>
    act(`${verb} ${id}`, afterMs, (simulation) => {
      const node = simulation.byId.get(id);
      if (node !== undefined) run(simulation, node);
    }),
  );
}

const killOne = onNode('kill', anyId, kill);
const replaceOne = onNode('replace', anyId, replace);
const pauseOne = onNode('pause', anyId, pause);
const pausePlanner = onNode('pause', entryId, pause);
/** Shorter than the gap after which a process no longer trusts its own contact with the others. */
const SHORT_PAUSE_MS = 3_800;
/** Longer than the lateness that a process takes for a pause. */
const LONG_ENOUGH_MS = 600;

/** Time until a process's public suspicion of another one is over; null where it has none. */
function suspicionLeftMs(
  simulation: Simulation,
  observer: SimulatedNode,
  suspect: string,
): number | null {
  const { membership } = observer.memory;
  const record = membership.records.get(suspect);
  if (!membership.suspects.has(suspect) || record === undefined) return null;
  if (record.stateBeforeLocalSuspicion !== null) return null;
  return record.suspectDeadlineMs - simulation.scheduler.nowMs;
}

/**
 * A process is suspected while it stands still. It goes on and contradicts; whoever suspects it
 * stands still meanwhile, and wakes up with the contradiction unread and the time of the suspicion over.
 */
const pauseInTurn = fc
  .tuple(anyId, fc.constantFrom(2_000, 3_000, 4_500), fc.constantFrom(0, 100, 300), stepMs)
  .map(([suspectId, suspectMs, gapMs, afterMs]) =>
    act(
      `pause ${suspectId} for ${String(suspectMs)} ms, then who suspects it until its time is over`,
      afterMs,
      (simulation) => {
        const suspect = simulation.byId.get(suspectId);
        if (suspect === undefined) return;
        pause(simulation, suspect);
        advance(simulation.scheduler, suspectMs);
        goOn(simulation, suspect);
        advance(simulation.scheduler, gapMs);
        const observers = simulation.nodes.flatMap((node) => {
          const leftMs = suspicionLeftMs(simulation, node, suspectId) ?? 0;
          const isFit = leftMs > LONG_ENOUGH_MS && leftMs < SHORT_PAUSE_MS;
          return isFit && node.slot.status === ProcessStatus.Running ? [{ node, leftMs }] : [];
        });
        const last = observers.sort((left, right) => right.leftMs - left.leftMs)[0];
        if (last === undefined) return;
        countFault(simulation.network.counts, 'paused-while-suspecting');
        pause(simulation, last.node);
        advance(simulation.scheduler, last.leftMs + 1);
        goOn(simulation, last.node);
      },
    ),
  );

const goOnOne = onNode('let go on', anyId, (simulation, node) => {
  goOn(simulation, node);
});
const restartSidecar = onNode('restart', sidecarId, (simulation, node) => {
  kill(simulation, node);
  replace(simulation, node);
});
const leaveOne = onNode('shut down', anyId, leave);
const crashOne = onNode('crash the engine of', sidecarId, (simulation, node) => {
  if (node.engine !== null) crashEngine(simulation, node.engine);
});

const goOnAll = stepMs.map((afterMs) =>
  act('let all go on, and replace the dead and the leaving', afterMs, (simulation) => {
    for (const node of simulation.nodes) {
      endLeaving(simulation, node);
      goOn(simulation, node);
      replace(simulation, node);
    }
  }),
);

function orderByWhoeverMay(simulation: Simulation, to: string): void {
  for (const id of ENTRY_IDS) {
    const node = simulation.byId.get(id);
    if (node?.slot.status === ProcessStatus.Running) planOrder(simulation, node, to);
  }
}

const order = fc.tuple(sidecarId, stepMs).map(([to, afterMs]) =>
  act(`whoever may orders ${to}`, afterMs, (simulation) => {
    orderByWhoeverMay(simulation, to);
  }),
);

/** From the asking for a ticket to the reading of the lease and the sending of the order. */
const checkMs = fc.integer({ min: 1, max: 18 });

const orderThenPause = fc.tuple(sidecarId, checkMs, stepMs).map(([to, pauseMs, afterMs]) =>
  act(`order ${to} and pause it ${String(pauseMs)} ms later`, afterMs, (simulation) => {
    orderByWhoeverMay(simulation, to);
    advance(simulation.scheduler, pauseMs);
    const node = simulation.byId.get(to);
    if (node !== undefined) pause(simulation, node);
  }),
);

/**
 * Between the check of a sidecar and its act the authority passes on: the sidecar is paused there,
 * the planner shuts down, its successor orders something, and the sidecar goes on.
 */
const handOver = fc
  .tuple(sidecarId, sidecarId, checkMs, fc.constantFrom(300, 600, 900, 1_500, 2_500, 4_000))
  .map(([to, next, pauseMs, handOverMs]) =>
    act(
      `order ${to}, pause it ${String(pauseMs)} ms later, hand over to whoever orders ${next}, and let it go on after ${String(handOverMs)} ms`,
      20,
      (simulation) => {
        orderByWhoeverMay(simulation, to);
        advance(simulation.scheduler, pauseMs);
        const node = simulation.byId.get(to);
        if (node === undefined) return;
        pause(simulation, node);
        const planner = simulation.nodes.find(
          ({ memory }) => memory.lease?.phase === LeasePhase.Held,
        );
        if (planner !== undefined) leave(simulation, planner);
        advance(simulation.scheduler, handOverMs - 30);
        orderByWhoeverMay(simulation, next);
        advance(simulation.scheduler, 30);
        goOn(simulation, node);
      },
    ),
  );

const revoke = stepMs.map((afterMs) =>
  act('the service drops all leases', afterMs, (simulation) => {
    countFault(simulation.network.counts, 'leases-dropped');
    const { service, scheduler } = simulation;
    noteLeasesDropped(simulation.oracle);
    for (const leaseId of [...service.leases.keys()]) {
      endLease(simulation, leaseId, scheduler.nowMs);
    }
  }),
);

const edit = fc.tuple(fc.constantFrom(0, 0, 0, 1), stepMs).map(([staleBy, afterMs]) =>
  act(`edit${staleBy === 0 ? '' : ' from a stale base'}`, afterMs, (simulation) => {
    startOperatorEdit(simulation, staleBy);
  }),
);

const editsAtOnce = stepMs.map((afterMs) =>
  act('two edits from the same base at once', afterMs, (simulation) => {
    countFault(simulation.network.counts, 'edits-at-once');
    startOperatorEdit(simulation, 0);
    startOperatorEdit(simulation, 0);
  }),
);

const editAgain = fc.tuple(fc.nat(), stepMs).map(([which, afterMs]) =>
  act('an edit is sent again', afterMs, (simulation) => {
    const { edits } = simulation.oracle;
    const earlier = edits[which % Math.max(1, edits.length)];
    if (earlier === undefined) return;
    countFault(simulation.network.counts, 'edit-sent-again');
    sendEdit(simulation, earlier.editId, earlier.baseVersion);
  }),
);

const serviceTrouble = fc
  .tuple(fc.boolean(), ratio, ratio, stepMs)
  .map(([isDown, lostAnswerRatio, slowRatio, afterMs]) =>
    act(
      `service ${isDown ? 'out' : 'there'}, loses ${String(lostAnswerRatio)} answers, slow ${String(slowRatio)}`,
      afterMs,
      (simulation) => {
        if (isDown) countFault(simulation.network.counts, 'key-value-outage');
        Object.assign(simulation.service, { isDown, lostAnswerRatio, slowRatio });
      },
    ),
  );

const disturb = fc
  .tuple(ratio, ratio, ratio, ratio, stepMs)
  .map(([lossRatio, repeatRatio, lateRatio, lateOrderRatio, afterMs]) =>
    act(
      `loses ${String(lossRatio)}, repeats ${String(repeatRatio)}, delays ${String(lateRatio)}, late orders ${String(lateOrderRatio)}`,
      afterMs,
      (simulation) => {
        Object.assign(simulation.network.faults, { lossRatio, repeatRatio, lateRatio });
        simulation.lateOrderRatio = lateOrderRatio;
      },
    ),
  );

function cut(simulation: Simulation, from: string, to: string): void {
  countFault(simulation.network.counts, 'link-cut');
  simulation.network.cutLinks.add(linkOf(from, to));
}

const cutOne = fc.tuple(anyId, fc.constantFrom(...ALL_IDS, SERVICE_ID), stepMs);
const cutLink = cutOne.map(([from, to, afterMs]) =>
  act(`cut ${from} to ${to}`, afterMs, (simulation) => {
    cut(simulation, from, to);
  }),
);

function part(simulation: Simulation, ids: readonly string[], withService: boolean): void {
  countFault(simulation.network.counts, 'parted');
  for (const id of ids) {
    if (withService) cut(simulation, id, SERVICE_ID);
    for (const other of ALL_IDS) {
      if (ids.includes(other)) continue;
      cut(simulation, id, other);
      cut(simulation, other, id);
    }
  }
}

const isolate = fc.tuple(anyId, fc.constantFrom(20_000, 75_000, 150_000)).map(([id, afterMs]) =>
  act(`cut ${id} off from everybody`, afterMs, (simulation) => {
    part(simulation, [id], true);
  }),
);

const partSome = fc
  .tuple(fc.subarray(ALL_IDS, { minLength: 2, maxLength: 4 }), fc.boolean(), stepMs)
  .map(([ids, withService, afterMs]) =>
    act(`part ${ids.join(', ')}${withService ? ', also from the service' : ''}`, afterMs, (s) => {
      part(s, ids, withService);
    }),
  );

const loseDomain = fc.tuple(fc.constantFrom(...FAILURE_DOMAINS), stepMs).map(([domain, afterMs]) =>
  act(`lose ${domain}`, afterMs, (simulation) => {
    countFault(simulation.network.counts, 'failure-domain-lost');
    for (const node of simulation.nodes) {
      if (node.failureDomain !== domain) continue;
      kill(simulation, node);
      if (node.engine !== null) crashEngine(simulation, node.engine);
    }
  }),
);

const heal = stepMs.map((afterMs) =>
  act('heal the network', afterMs, (simulation) => {
    simulation.network.cutLinks.clear();
  }),
);

const calm = fc.constantFrom(5_000, 30_000, 60_000).map((afterMs) =>
  act('all links up, nothing lost, service there', afterMs, (simulation) => {
    simulation.network.cutLinks.clear();
    Object.assign(simulation.network.faults, { lossRatio: 0, repeatRatio: 0, lateRatio: 0 });
    Object.assign(simulation.service, { isDown: false, lostAnswerRatio: 0, slowRatio: 0 });
  }),
);

const wait = fc
  .constantFrom(1_000, 5_000, 15_000, 40_000)
  .map((durationMs) => act('wait', durationMs, () => undefined));

/** All commands; what is listed more than once comes more often. */
export const AUTHORITY_COMMANDS: readonly fc.Arbitrary<Command>[] = [
  order,
  orderThenPause,
  handOver,
  handOver,
  killOne,
  replaceOne,
  restartSidecar,
  pauseOne,
  pausePlanner,
  pauseInTurn,
  goOnOne,
  goOnOne,
  goOnAll,
  goOnAll,
  leaveOne,
  crashOne,
  revoke,
  edit,
  edit,
  editsAtOnce,
  editAgain,
  serviceTrouble,
  disturb,
  cutLink,
  isolate,
  partSome,
  loseDomain,
  heal,
  calm,
  calm,
  wait,
  wait,
];
