/**
 * The requests world: accepted, run, answered once, over the real machines of entries, holders,
 * sidecars, claims and the poison ledger.
 */
import {
  DEFAULT_AGGREGATOR_OPTIONS,
  DEFAULT_CLAIM_CLIENT_OPTIONS,
  DEFAULT_REQUEST_MACHINE_OPTIONS,
  DEFAULT_HOLDER_OPTIONS,
  DEFAULT_HOST_OPTIONS,
  DEFAULT_POISON_OPTIONS,
  DEFAULT_REPAIR_OPTIONS,
  createHashing,
  provesAbsence,
  seededRandom,
} from '@cassiamast/coordination';
import type { Hashing } from '@cassiamast/coordination';
import { createNetwork } from '../../kit/network.js';
import { advance, createScheduler } from '../../kit/scheduler.js';
import { holds } from '../../kit/violation.js';
import type { World, WorldSetup } from '../../kit/world.js';
import { submit } from './callers.js';
import { REQUEST_COMMANDS } from './commands.js';
import { goOn, heal, replace } from './faults.js';
import { createKeyValue } from './key-value.js';
import { REQUEST_MUTANTS } from './mutants.js';
import { FOR_EVER_MS, createNode, startNode } from './nodes.js';
import { createOracle } from './oracle.js';
import type { CallerConnection } from './oracle.js';
import { ENTRY_IDS, SIDECAR_IDS } from './simulation.js';
import type { SimulatedNode, Simulation, SimulationOptions } from './simulation.js';
import { checkRecords } from './oracle-records.js';

/** Beyond the latest message and every deadline. */
const SETTLE_MS = 200_000;
/** Enough for an answer where nothing fails. */
const ANSWER_MS = 60_000;
/** Longer than any run, so that expiry is left to unit tests. */
const RETENTION_MS = 1_000_000_000;
const HORIZON_MS = 300_000;

/** The world; loads the hash functions. */
export async function createRequestsWorld(): Promise<World<Simulation>> {
  const hashing = await createHashing();
  return {
    name: 'requests',
    mutants: Object.keys(REQUEST_MUTANTS),
    commands: REQUEST_COMMANDS,
    create: (setup) => createSimulation(setup, hashing),
    check: checkRecords,
    settle,
    stepsOf: (simulation) => simulation.scheduler.steps,
    storyOf: (simulation) => simulation.oracle.story,
  };
}

function optionsOf(mutant: string | null): SimulationOptions {
  const options: SimulationOptions = {
    drive: {
      ...DEFAULT_REQUEST_MACHINE_OPTIONS,
      absenceHorizonMs: HORIZON_MS,
      retry: { ...DEFAULT_REQUEST_MACHINE_OPTIONS.retry, burst: 3 },
    },
    holder: {
      ...DEFAULT_HOLDER_OPTIONS,
      answerRetentionMs: RETENTION_MS,
      unfinishedRetentionMs: RETENTION_MS,
    },
    repair: DEFAULT_REPAIR_OPTIONS,
    host: { ...DEFAULT_HOST_OPTIONS, sessions: { maxSessions: 8, windowSize: 16 } },
    aggregator: { ...DEFAULT_AGGREGATOR_OPTIONS, retentionMs: RETENTION_MS },
    claimClient: DEFAULT_CLAIM_CLIENT_OPTIONS,
    poison: DEFAULT_POISON_OPTIONS,
    provesAbsence,
    absenceHorizonMs: HORIZON_MS,
  };
  const mutate = mutant === null ? undefined : REQUEST_MUTANTS[mutant];
  return mutate === undefined ? options : mutate(options);
}

function createSimulation(setup: WorldSetup, hashing: Hashing): Simulation {
  const scheduler = createScheduler();
  const random = seededRandom(setup.seed);
  const nodes: SimulatedNode[] = [];
  const byId = new Map<string, SimulatedNode>();
  const simulation: Simulation = {
    scheduler,
    random,
    hashing,
    network: createNetwork(scheduler, random, setup.counts),
    keyValue: createKeyValue(),
    nodes,
    byId,
    options: optionsOf(setup.mutant),
    oracle: createOracle(),
    admissionRefusalRatio: 0,
    linkVersion: 0,
    reachable: { version: -1, byId: new Map() },
  };
  [...ENTRY_IDS, ...SIDECAR_IDS].forEach((id, index) => {
    const node = createNode(simulation, id, index);
    nodes.push(node);
    byId.set(id, node);
  });
  for (const node of nodes) startNode(simulation, node, FOR_EVER_MS);
  return simulation;
}

/** Ends all faults; then nothing may hang, and every request that can be answered is. */
function settle(simulation: Simulation): void {
  endFaults(simulation);
  advance(simulation.scheduler, SETTLE_MS);
  const hanging = simulation.oracle.connections.filter(isHanging);
  holds(hanging.length === 0, 'no-caller-hangs', () =>
    hanging.map(({ keyText, entryId }) => `${keyText} at ${entryId}`).join(', '),
  );
  checkRecords(simulation);
  answerAll(simulation);
}

function endFaults(simulation: Simulation): void {
  heal(simulation);
  Object.assign(simulation.network.faults, { lossRatio: 0, repeatRatio: 0, lateRatio: 0 });
  Object.assign(simulation.keyValue, { isDown: false, lostAnswerRatio: 0, slowRatio: 0 });
  simulation.admissionRefusalRatio = 0;
  for (const node of simulation.nodes) {
    goOn(simulation, node);
    replace(simulation, node);
  }
}

function isHanging(connection: CallerConnection): boolean {
  return connection.isOpen && !connection.isTold;
}

/** Sends every repeatable, harmless request again: each must get its whole answer now. */
function answerAll(simulation: Simulation): void {
  const { oracle } = simulation;
  const asked = new Map<string, CallerConnection>();
  for (const connection of oracle.connections) asked.set(connection.keyText, connection);
  const again: CallerConnection[] = [];
  for (const connection of asked.values()) {
    const sent = submit(simulation, { ...connection, entryId: ENTRY_IDS[0] ?? '' }, null);
    if (sent !== null) again.push(sent);
  }
  advance(simulation.scheduler, ANSWER_MS);
  for (const connection of again) {
    holds(!isHanging(connection), 'no-caller-hangs', () => `${connection.keyText}, sent again`);
  }
}
