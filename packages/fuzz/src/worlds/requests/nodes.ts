/**
 * Starting processes: their memory, their regular work, and their death.
 */
import {
  HolderCallKind,
  HostEventKind,
  RequestEventKind,
  PoisonEventKind,
  createAggregator,
  createClaimClient,
  createEntrySessions,
  createHolder,
  createHost,
  createPlacement,
  createPoisonClient,
  createRepair,
  createRetryBudget,
  createSuspicionTable,
  holdersOf,
  onRepairReply,
  scheduleRepair,
  sweepHolder,
  updatePlacedMembers,
  tickClaimClient,
  tickRepair,
  handleHolderCall,
  handleHolderCallWithRepair,
} from '@cassiamast/coordination';
import type { HolderCall, RequestRecord } from '@cassiamast/coordination';
import { createProcess } from '../../kit/processes.js';
import { claimContext, performClaims } from './services.js';
import { createEngine } from './engine.js';
import { feedDrive } from './entry.js';
import { askInherited, feedHost, listenToEngine } from './sidecar.js';
import { holderPlaceOf, renewPlacement, updateView } from './membership.js';
import { FAILURE_DOMAINS } from './simulation.js';
import type { NodeMemory, SimulatedNode, Simulation, ViewEntry } from './simulation.js';
import { call, later } from './transport.js';
import { watchConnections } from './entry-streams.js';
import { syncSuspicions, performPoison } from './ledger.js';

const TICK_MS = 1000;
/** Ticks between two readings of the whole ledger, as its watch would bring them. */
const LEDGER_TICKS = 5;
/** First processes have been there for ever: nothing ran before them. */
export const FOR_EVER_MS = -1_000_000_000;

/** A place for a process; its memory is filled in by {@link startNode}. */
export function createNode(simulation: Simulation, id: string, index: number): SimulatedNode {
  const isEntry = id.startsWith('entry');
  return {
    id,
    failureDomain: FAILURE_DOMAINS[index % FAILURE_DOMAINS.length] ?? '',
    isEntry,
    slot: createProcess(id),
    engine: isEntry ? null : createEngine(`target-of-${id}`),
    memory: createMemory(simulation, id, 1, FOR_EVER_MS),
    lastTroubledAtMs: FOR_EVER_MS,
    lastDownAtMs: FOR_EVER_MS,
  };
}

/** The empty memory of a process that has just started. */
export function createMemory(
  simulation: Simulation,
  id: string,
  incarnation: number,
  startedAtMs: number,
): NodeMemory {
  const isEntry = id.startsWith('entry');
  return {
    incarnation,
    holder: createHolder(startedAtMs),
    repair: createRepair(),
    view: new Map(),
    placement: createPlacement([], simulation.hashing.hash32),
    placed: new Map(),
    drives: new Map(),
    driveCount: 0,
    sessions: createEntrySessions(100),
    budget: createRetryBudget(simulation.options.drive.retry),
    claimClient: createClaimClient(),
    aggregator: createAggregator(),
    poison: createPoisonClient(),
    suspicions: createSuspicionTable(100),
    connections: new Map(),
    host: isEntry ? null : createHost(id, `target-of-${id}`, `${id}#${String(incarnation)}`),
    streamSequences: new Map(),
    ticks: 0,
  };
}

/** Starts the regular work of a process that has its memory. */
export function startNode(simulation: Simulation, node: SimulatedNode, sinceMs: number): void {
  for (const other of simulation.nodes) {
    const entry: ViewEntry = {
      isLive: true,
      incarnation: other.slot.incarnation,
      seenSinceMs: sinceMs,
      lastOutOfContactAtMs: null,
      lastReachedMs: Math.max(0, simulation.scheduler.nowMs),
    };
    node.memory.view.set(other.id, entry);
  }
  renewPlacement(simulation, node);
  listenToEngine(simulation, node);
  askInherited(simulation, node);
  syncSuspicions(simulation, node);
  planTick(simulation, node);
}

function planTick(simulation: Simulation, node: SimulatedNode): void {
  later(simulation, node, TICK_MS, () => {
    tick(simulation, node);
    planTick(simulation, node);
  });
}

function tick(simulation: Simulation, node: SimulatedNode): void {
  const { memory } = node;
  const { nowMs } = simulation.scheduler;
  memory.ticks += 1;
  if (updateView(simulation, node)) onMembersChanged(simulation, node);
  sweepHolder(memory.holder, simulation.options.holder, nowMs);
  repair(simulation, node);
  feedHost(simulation, node, { kind: HostEventKind.Tick });
  askInherited(simulation, node);
  watchConnections(simulation, node);
  const claims = tickClaimClient(memory.claimClient, claimContext(simulation, node));
  performClaims(simulation, node, claims);
  performPoison(simulation, node, { kind: PoisonEventKind.Tick });
  const isDue = !memory.suspicions.isRead || memory.ticks % LEDGER_TICKS === 0;
  if (isDue) syncSuspicions(simulation, node);
}

function onMembersChanged(simulation: Simulation, node: SimulatedNode): void {
  const { memory } = node;
  const live = [...memory.view].filter(([, entry]) => entry.isLive);
  const present = live.map(([id, { incarnation }]) => ({ id, incarnation }));
  const renewed = updatePlacedMembers(memory.placed, present);
  const { nowMs } = simulation.scheduler;
  if (renewed !== null) scheduleRepair(memory.repair, memory.holder, nowMs, renewed);
  feedHost(simulation, node, { kind: HostEventKind.MembersChanged });
  for (const drive of [...memory.drives.values()]) {
    feedDrive(simulation, node, drive, { kind: RequestEventKind.MembersChanged });
  }
}

function repair(simulation: Simulation, node: SimulatedNode): void {
  const { memory, id } = node;
  const { options, scheduler } = simulation;
  const holdersOfKey = (keyText: string): readonly string[] => holdersOf(memory.placement, keyText);
  const sends = tickRepair(
    memory.repair,
    memory.holder,
    id,
    holdersOfKey,
    options.repair,
    scheduler.nowMs,
  );
  for (const { to, call: holderCall } of sends) {
    call(
      simulation,
      node,
      to,
      (receiver) =>
        handleHolderCallWithRepair(
          holderPlaceOf(receiver),
          holderCall,
          options.holder,
          scheduler.nowMs,
        ),
      (reply) => {
        const keyText = 'record' in holderCall ? holderCall.record.keyText : holderCall.keyText;
        const restore = (copy: RequestRecord): void => {
          const own: HolderCall = { kind: HolderCallKind.Restore, record: copy };
          handleHolderCall(memory.holder, own, options.holder, scheduler.nowMs);
        };
        const { nowMs } = scheduler;
        const answer = { from: to, keyText, reply, restore, nowMs, options: options.repair };
        onRepairReply(memory.repair, memory.holder, id, holdersOfKey, answer);
      },
    );
  }
}
