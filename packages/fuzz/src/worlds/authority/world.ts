/**
 * The authority world: one planner at a time, engines without conflicting orders, one configuration
 * everywhere, and members that know each other, over the real machines.
 */
import {
  CONFIG_OPTIONS,
  GATE_OPTIONS,
  LEASE_OPTIONS,
  LeasePhase,
  MEMBERSHIP_OPTIONS,
  MemberState,
  createHashing,
  findMember,
  seededRandom,
} from '@cassiamast/coordination';
import type { Hashing } from '@cassiamast/coordination';
import { createNetwork } from '../../kit/network.js';
import { advance, createScheduler } from '../../kit/scheduler.js';
import { holds } from '../../kit/violation.js';
import type { World, WorldSetup } from '../../kit/world.js';
import { AUTHORITY_COMMANDS } from './commands.js';
import { createService } from './key-value.js';
import { AUTHORITY_MUTANTS } from './mutants.js';
import { createNode, endLeaving, goOn, replace, startNode } from './nodes.js';
import {
  checkCutOff,
  checkEdits,
  checkTold,
  createOracle,
  lifeOf,
  noteStanding,
} from './oracle.js';
import type { AuthorityOptions, Simulation } from './simulation.js';
import { ALL_IDS } from './simulation.js';

/** Before the first fault: everybody meets everybody. */
const START_MS = 10_000;
/** Beyond the latest message (two minutes), detection, healing and back-off. */
const SETTLE_MS = 200_000;
/** The longest order and the questions about it. */
const ORDERS_END_MS = 30_000;

/** The world; loads the hash functions. */
export async function createAuthorityWorld(): Promise<World<Simulation>> {
  const hashing = await createHashing();
  return {
    name: 'authority',
    mutants: Object.keys(AUTHORITY_MUTANTS),
    commands: AUTHORITY_COMMANDS,
    create: (setup) => createSimulation(setup, hashing),
    check,
    settle,
    // The trace of commands says all there is: no separate story is kept in this world.
    storyOf: () => [],
    stepsOf: (simulation) => simulation.scheduler.steps,
  };
}

function optionsOf(mutant: string | null): AuthorityOptions {
  const options: AuthorityOptions = {
    membership: MEMBERSHIP_OPTIONS,
    config: CONFIG_OPTIONS,
    lease: LEASE_OPTIONS,
    gate: GATE_OPTIONS,
    editorReadsBack: true,
  };
  const mutate = mutant === null ? undefined : AUTHORITY_MUTANTS[mutant];
  return mutate === undefined ? options : mutate(options);
}

function createSimulation(setup: WorldSetup, hashing: Hashing): Simulation {
  const scheduler = createScheduler();
  const random = seededRandom(setup.seed);
  const simulation: Simulation = {
    scheduler,
    random,
    hashing,
    network: createNetwork(scheduler, random, setup.counts),
    service: createService(),
    nodes: [],
    byId: new Map(),
    options: optionsOf(setup.mutant),
    oracle: createOracle(),
    lateOrderRatio: 0,
    ordersFlow: true,
    lastId: 0,
  };
  ALL_IDS.forEach((id, index) => {
    const node = createNode(simulation, id, index);
    simulation.nodes.push(node);
    simulation.byId.set(id, node);
  });
  for (const node of simulation.nodes) startNode(simulation, node);
  noteStanding(simulation);
  advance(scheduler, START_MS);
  return simulation;
}

/** The other invariants are checked at the very step that could break them. */
function check(simulation: Simulation): void {
  noteStanding(simulation);
  simulation.nodes.forEach(checkTold);
  checkCutOff(simulation);
  checkEdits(simulation);
}

/** Ends all faults; then everybody agrees, and nothing hangs. */
function settle(simulation: Simulation): void {
  endFaults(simulation);
  advance(simulation.scheduler, SETTLE_MS);
  check(simulation);
  checkAgreement(simulation);
  simulation.ordersFlow = false;
  advance(simulation.scheduler, ORDERS_END_MS);
  checkNothingHangs(simulation);
}

function endFaults(simulation: Simulation): void {
  simulation.network.cutLinks.clear();
  Object.assign(simulation.network.faults, { lossRatio: 0, repeatRatio: 0, lateRatio: 0 });
  Object.assign(simulation.service, { isDown: false, lostAnswerRatio: 0, slowRatio: 0 });
  simulation.lateOrderRatio = 0;
  for (const node of simulation.nodes) {
    goOn(simulation, node);
    replace(simulation, node);
    endLeaving(simulation, node);
  }
  noteStanding(simulation);
}

function checkAgreement(simulation: Simulation): void {
  const { nodes, oracle } = simulation;
  for (const node of nodes) {
    for (const other of nodes) {
      const state = findMember(node.memory.membership, other.id)?.state;
      holds(state === MemberState.Alive, 'members-agree-after-quiet', () => {
        return `${node.id} holds ${other.id} ${String(state)}`;
      });
    }
    const version = oracle.inForce.get(lifeOf(node)) ?? 0;
    holds(version === oracle.accepted.length, 'accepted-is-in-force-everywhere', () => {
      return `${node.id} acts on ${String(version)} of ${String(oracle.accepted.length)}`;
    });
    const mayWork = node.memory.config.newWorkAllowed || version === 0;
    holds(mayWork, 'all-work-after-quiet', () => `${node.id} takes no new work`);
  }
  const holders = nodes.filter((node) => node.memory.lease?.phase === LeasePhase.Held);
  holds(holders.length === 1, 'one-planner-after-quiet', () => {
    return `${String(holders.length)} processes hold the lease`;
  });
}

function checkNothingHangs(simulation: Simulation): void {
  for (const node of simulation.nodes) {
    const { gate } = node.memory;
    holds(gate === null || (gate.learned && gate.running === null), 'no-order-hangs', () => {
      return `${node.id}: ${JSON.stringify(gate?.running?.order ?? 'has not learned')}`;
    });
  }
}
