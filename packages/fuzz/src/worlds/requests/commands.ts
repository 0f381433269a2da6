/**
 * The alphabet of the requests world: what callers do, what fails, and time that passes.
 */
import fc from 'fast-check';
import { countFault } from '../../kit/faults.js';
import { advance } from '../../kit/scheduler.js';
import type { WorldCommand } from '../../kit/world.js';
import { breakOff, submit } from './callers.js';
import { crashEngine } from './engine.js';
import { cutLink, goOn, heal, kill, killHolders, killVm, part, pause, replace } from './faults.js';
import { ENTRY_IDS, FAILURE_DOMAINS, SIDECAR_IDS } from './simulation.js';
import type { SimulatedNode, Simulation } from './simulation.js';

type Command = WorldCommand<Simulation>;

const KEYS = ['key-1', 'key-2', 'key-3', 'once-1', 'once-2'];
const BODIES = ['body', 'body', 'body', 'longer-body', 'poison'];
const ALL_IDS = [...ENTRY_IDS, ...SIDECAR_IDS];

const entryId = fc.constantFrom(...ENTRY_IDS);
const anyId = fc.constantFrom(...ALL_IDS);
const keyText = fc.constantFrom(...KEYS);
const bodyHash = fc.constantFrom(...BODIES);
/** Ordinary pauses between commands: within an answer, within detection, beyond it. */
const stepMs = fc.constantFrom(0, 1, 5, 50, 300, 1000, 3000);

function command(label: string, run: (simulation: Simulation) => void): Command {
  return { label, run };
}

/** Acts, then lets a little time pass. */
function act(label: string, afterMs: number, run: (simulation: Simulation) => void): Command {
  return command(`${label}; ${String(afterMs)} ms`, (simulation) => {
    run(simulation);
    advance(simulation.scheduler, afterMs);
  });
}

function nodeOf(simulation: Simulation, id: string): SimulatedNode {
  const node = simulation.byId.get(id);
  if (node === undefined) throw new RangeError(`no process ${id}`);
  return node;
}

const submitOne = fc.tuple(entryId, keyText, bodyHash, stepMs).map(([entry, key, body, afterMs]) =>
  act(`submit ${key} ${body} to ${entry}`, afterMs, (simulation) => {
    submit(simulation, { keyText: key, bodyHash: body, entryId: entry }, null);
  }),
);

const submitTwice = fc
  .tuple(entryId, entryId, keyText, bodyHash, stepMs)
  .map(([first, second, key, body, afterMs]) =>
    act(`submit ${key} ${body} to ${first} and ${second} at once`, afterMs, (simulation) => {
      countFault(simulation.network.counts, 'same-key-at-once');
      submit(simulation, { keyText: key, bodyHash: body, entryId: first }, null);
      submit(simulation, { keyText: key, bodyHash: body, entryId: second }, null);
    }),
  );

const submitBatch = fc.tuple(entryId, stepMs).map(([entry, afterMs]) =>
  act(`submit a poisoned one among innocents to ${entry}`, afterMs, (simulation) => {
    for (const key of ['batch-1', 'batch-2', 'batch-3', 'batch-4']) {
      submit(simulation, { keyText: key, bodyHash: `body-of-${key}`, entryId: entry }, null);
    }
    submit(simulation, { keyText: 'culprit', bodyHash: 'poison', entryId: entry }, null);
  }),
);

const comeBack = fc
  .tuple(entryId, fc.nat(), fc.boolean(), stepMs)
  .map(([entry, which, resumes, afterMs]) =>
    act(
      `caller ${String(which)} breaks off and comes back to ${entry}${resumes ? ' for the rest' : ''}`,
      afterMs,
      (simulation) => {
        const { connections } = simulation.oracle;
        const connection = connections[which % Math.max(1, connections.length)];
        if (connection === undefined) return;
        breakOff(simulation, connection);
        const reading = resumes && !connection.isTold ? copyReading(connection.reading) : null;
        submit(simulation, { ...connection, entryId: entry }, reading);
      },
    ),
  );

function copyReading(reading: {
  readonly tokens: readonly string[];
  readonly lastEventId: string | null;
}): { tokens: string[]; lastEventId: string | null } {
  return { tokens: [...reading.tokens], lastEventId: reading.lastEventId };
}

const callerBreaksOff = fc.tuple(fc.nat(), stepMs).map(([which, afterMs]) =>
  act(`caller ${String(which)} breaks off`, afterMs, (simulation) => {
    const { connections } = simulation.oracle;
    const connection = connections[which % Math.max(1, connections.length)];
    if (connection !== undefined) breakOff(simulation, connection);
  }),
);

const killOne = fc.tuple(anyId, stepMs).map(([id, afterMs]) =>
  act(`kill ${id}`, afterMs, (simulation) => {
    kill(simulation, nodeOf(simulation, id));
  }),
);

const replaceOne = fc.tuple(anyId, stepMs).map(([id, afterMs]) =>
  act(`replace ${id}`, afterMs, (simulation) => {
    replace(simulation, nodeOf(simulation, id));
  }),
);

const restartOne = fc.tuple(anyId, stepMs).map(([id, afterMs]) =>
  act(`restart ${id}`, afterMs, (simulation) => {
    kill(simulation, nodeOf(simulation, id));
    replace(simulation, nodeOf(simulation, id));
  }),
);

const pauseOne = fc.tuple(anyId, stepMs).map(([id, afterMs]) =>
  act(`pause ${id}`, afterMs, (simulation) => {
    pause(simulation, nodeOf(simulation, id));
  }),
);

const goOnOne = fc.tuple(anyId, stepMs).map(([id, afterMs]) =>
  act(`let ${id} go on`, afterMs, (simulation) => {
    goOn(simulation, nodeOf(simulation, id));
  }),
);

/** Shorter than detection, just beyond it, and long beyond it. */
const pauseMs = fc.constantFrom(500, 4500, 5500, 6500, 20_000);

const pauseFor = fc
  .tuple(anyId, stepMs, pauseMs, stepMs)
  .map(([id, beforeMs, durationMs, afterMs]) =>
    act(
      `after ${String(beforeMs)} ms pause ${id} for ${String(durationMs)} ms`,
      afterMs,
      (simulation) => {
        advance(simulation.scheduler, beforeMs);
        pause(simulation, nodeOf(simulation, id));
        advance(simulation.scheduler, durationMs);
        goOn(simulation, nodeOf(simulation, id));
      },
    ),
  );

const killEntries = stepMs.map((afterMs) =>
  act('kill all entries and replace them', afterMs, (simulation) => {
    countFault(simulation.network.counts, 'all-entries-killed');
    for (const id of ENTRY_IDS) kill(simulation, nodeOf(simulation, id));
    for (const id of ENTRY_IDS) replace(simulation, nodeOf(simulation, id));
  }),
);

const killBothHolders = fc.tuple(keyText, stepMs).map(([key, afterMs]) =>
  act(`kill both holders of ${key}`, afterMs, (simulation) => {
    killHolders(simulation, key);
  }),
);

const loseDomain = fc.tuple(fc.constantFrom(...FAILURE_DOMAINS), stepMs).map(([domain, afterMs]) =>
  act(`lose ${domain}`, afterMs, (simulation) => {
    countFault(simulation.network.counts, 'failure-domain-lost');
    for (const node of simulation.nodes) {
      if (node.failureDomain === domain) killVm(simulation, node);
    }
  }),
);

const loseVm = fc.tuple(fc.constantFrom(...SIDECAR_IDS), stepMs).map(([id, afterMs]) =>
  act(`lose the VM of ${id}`, afterMs, (simulation) => {
    killVm(simulation, nodeOf(simulation, id));
  }),
);

const crashOne = fc.tuple(fc.constantFrom(...SIDECAR_IDS), stepMs).map(([id, afterMs]) =>
  act(`crash the engine of ${id}`, afterMs, (simulation) => {
    const { engine } = nodeOf(simulation, id);
    if (engine !== null) crashEngine(simulation, engine);
  }),
);

const cutOne = fc.tuple(anyId, anyId, stepMs).map(([from, to, afterMs]) =>
  act(`cut ${from} to ${to}`, afterMs, (simulation) => {
    cutLink(simulation, from, to);
  }),
);

const partSome = fc
  .tuple(fc.subarray(ALL_IDS, { minLength: 1, maxLength: 4 }), stepMs)
  .map(([ids, afterMs]) =>
    act(`part ${ids.join(', ')} from the others`, afterMs, (simulation) => {
      part(simulation, (node) => ids.includes(node.id));
    }),
  );

const healAll = stepMs.map((afterMs) =>
  act('heal the network', afterMs, (simulation) => {
    heal(simulation);
  }),
);

const ratio = fc.constantFrom(0, 0, 0.02, 0.1, 0.3);

const disturb = fc.tuple(ratio, ratio, ratio).map(([lossRatio, repeatRatio, lateRatio]) =>
  command(
    `network loses ${String(lossRatio)}, repeats ${String(repeatRatio)}, delays ${String(lateRatio)}`,
    (simulation) => {
      Object.assign(simulation.network.faults, { lossRatio, repeatRatio, lateRatio });
    },
  ),
);

const keyValueTrouble = fc
  .tuple(fc.boolean(), ratio, ratio, stepMs)
  .map(([isDown, lostAnswerRatio, slowRatio, afterMs]) =>
    act(
      `key-value service ${isDown ? 'out' : 'there'}, loses ${String(lostAnswerRatio)} answers, slow ${String(slowRatio)}`,
      afterMs,
      (simulation) => {
        if (isDown) countFault(simulation.network.counts, 'key-value-outage');
        Object.assign(simulation.keyValue, { isDown, lostAnswerRatio, slowRatio });
      },
    ),
  );

const overload = ratio.map((admissionRefusalRatio) =>
  command(`policy refuses ${String(admissionRefusalRatio)}`, (simulation) => {
    simulation.admissionRefusalRatio = admissionRefusalRatio;
  }),
);

const wait = fc.constantFrom(1000, 5000, 12_000, 35_000, 130_000, 400_000).map((durationMs) =>
  command(`wait ${String(durationMs)} ms`, (simulation) => {
    advance(simulation.scheduler, durationMs);
  }),
);

/** All commands; what is listed more than once comes more often. */
export const REQUEST_COMMANDS: readonly fc.Arbitrary<Command>[] = [
  submitOne,
  submitOne,
  submitOne,
  submitTwice,
  submitBatch,
  comeBack,
  comeBack,
  comeBack,
  callerBreaksOff,
  killOne,
  replaceOne,
  replaceOne,
  restartOne,
  pauseOne,
  pauseFor,
  pauseFor,
  goOnOne,
  goOnOne,
  killEntries,
  killBothHolders,
  loseDomain,
  loseVm,
  crashOne,
  cutOne,
  partSome,
  healAll,
  healAll,
  disturb,
  keyValueTrouble,
  overload,
  wait,
  wait,
];
