/**
 * What really happened, kept apart from the code under test: who held the lease when, what each
 * engine was ordered, which edits took effect, what each process acted on, and who was well.
 */
import type { MemberConfiguration, Order } from '@cassiamast/coordination';
import { linkIsUp } from '../../kit/network.js';
import { ProcessStatus } from '../../kit/processes.js';
import { holds } from '../../kit/violation.js';
import type { SimulatedEngine } from './engine.js';
import type { Simulation, SimulatedNode } from './simulation.js';
import { SERVICE_ID } from './simulation.js';

/** One time in which the lease key existed. */
interface Tenure {
  readonly fence: number;
  readonly fromMs: number;
  untilMs: number;
  /** The service broke its own promise about the lease; no planner can know of it in time. */
  wasDropped: boolean;
}

/** An edit that an operator made, and what the operator was told. */
export interface TrackedEdit {
  readonly editId: string;
  readonly baseVersion: number;
  toldVersion: number | null;
  toldNotInForce: boolean;
}

/** The oracle's memory. */
export interface Oracle {
  readonly tenures: Tenure[];
  /** Orders received by each engine, by target. */
  readonly received: Map<string, { readonly orders: Set<string>; highestFence: number }>;
  /** Highest fencing number under which any planner has submitted an order. */
  highestSubmittedFence: number;
  /** Edit ids by version, from 1, as they took effect. */
  readonly accepted: string[];
  readonly edits: TrackedEdit[];
  /** Version that each life of each process acts on. */
  readonly inForce: Map<string, number>;
  /** Since when each process has been running with all links up and no bad network. */
  readonly wellSinceMs: Map<string, number>;
  /** Since when each process has had no way to anybody. */
  readonly aloneSinceMs: Map<string, number>;
  /** Incarnations that members told a process which stands still and has not read it, by member. */
  readonly unread: Map<string, Map<string, number>>;
}

/** An empty memory. */
export function createOracle(): Oracle {
  return {
    tenures: [],
    received: new Map(),
    highestSubmittedFence: 0,
    accepted: [],
    edits: [],
    inForce: new Map(),
    wellSinceMs: new Map(),
    aloneSinceMs: new Map(),
    unread: new Map(),
  };
}

/** The lease key came into being. */
export function noteKeyTaken(simulation: Simulation, fence: number): void {
  const fromMs = simulation.scheduler.nowMs;
  simulation.oracle.tenures.push({ fence, fromMs, untilMs: Infinity, wasDropped: false });
}

/** The lease key vanished. */
export function noteKeyGone(oracle: Oracle, atMs: number): void {
  const last = oracle.tenures.at(-1);
  if (last !== undefined) last.untilMs = Math.min(last.untilMs, atMs);
}

/** The service is about to drop all leases. */
export function noteLeasesDropped(oracle: Oracle): void {
  const last = oracle.tenures.at(-1);
  if (last?.untilMs === Infinity) last.wasDropped = true;
}

function heldAt(simulation: Simulation, fence: number, atMs: number): boolean {
  const tenure = simulation.oracle.tenures.find((other) => other.fence === fence);
  if (tenure === undefined) return false;
  return untilOf(simulation, tenure) > atMs;
}

/** A lease that lapsed and was not yet looked at has ended all the same. */
function untilOf(simulation: Simulation, tenure: Tenure): number {
  const { service, scheduler } = simulation;
  if (tenure.untilMs !== Infinity) return tenure.untilMs;
  const held = [...service.keys.values()].find((key) => key.createRevision === tenure.fence);
  const expiresAtMs = service.leases.get(held?.leaseId ?? '') ?? Infinity;
  return expiresAtMs <= scheduler.nowMs ? expiresAtMs : Infinity;
}

/** A planner submits an order: it must hold the lease at this moment. */
export function noteSubmission(simulation: Simulation, fence: number): void {
  const { oracle, scheduler } = simulation;
  const wasDropped = oracle.tenures.some((tenure) => tenure.fence === fence && tenure.wasDropped);
  holds(wasDropped || heldAt(simulation, fence, scheduler.nowMs), 'planner-holds-the-lease', () => {
    return `an order under ${String(fence)} was given at ${String(scheduler.nowMs)} ms after its end`;
  });
  oracle.highestSubmittedFence = Math.max(oracle.highestSubmittedFence, fence);
}

/** A sidecar writes an order to its engine: its planner's authority must have just been proved. */
export function noteOrderSent(simulation: Simulation, order: Order, checkToActMs: number): void {
  const { oracle, scheduler } = simulation;
  const provedMs = scheduler.nowMs - checkToActMs;
  holds(heldAt(simulation, order.fence, provedMs), 'deposed-orders-have-no-effect', () => {
    return `${order.orderId} under ${String(order.fence)} was sent at ${String(scheduler.nowMs)} ms`;
  });
  holds(order.fence >= oracle.highestSubmittedFence, 'successor-waits-out', () => {
    return `${order.orderId} was sent after its planner's successor had given an order`;
  });
}

/** An engine takes an order up. */
export function noteOrderReceived(
  simulation: Simulation,
  engine: SimulatedEngine,
  order: Order,
): void {
  const { received } = simulation.oracle;
  const log = received.get(engine.target) ?? { orders: new Set<string>(), highestFence: 0 };
  received.set(engine.target, log);
  holds(engine.orderInProgress === null, 'no-conflicting-orders', () => {
    return `${order.orderId} came to ${engine.target} during ${String(engine.orderInProgress)}`;
  });
  holds(!log.orders.has(order.orderId), 'no-order-twice', () => {
    return `${order.orderId} came to ${engine.target} twice`;
  });
  holds(order.fence >= log.highestFence, 'fences-never-go-back', () => {
    return `${order.orderId} under ${String(order.fence)} after ${String(log.highestFence)}`;
  });
  log.orders.add(order.orderId);
  log.highestFence = order.fence;
}

/** An edit took effect in the key-value service. */
export function noteAccepted(oracle: Oracle, version: number, editId: string): void {
  holds(version === oracle.accepted.length + 1, 'one-edit-per-version', () => {
    return `${editId} took effect as version ${String(version)}`;
  });
  holds(!oracle.accepted.includes(editId), 'no-edit-twice', () => `${editId} took effect twice`);
  oracle.accepted.push(editId);
}

/** A process acts on a version from now on. */
export function notePutInForce(
  simulation: Simulation,
  node: SimulatedNode,
  configuration: MemberConfiguration,
): void {
  const { inForce, accepted } = simulation.oracle;
  const life = lifeOf(node);
  const { version, editId } = configuration;
  const before = inForce.get(life) ?? 0;
  holds(version > before, 'configuration-never-reverts', () => {
    return `${life} went from ${String(before)} to ${String(version)}`;
  });
  holds(accepted[version - 1] === editId, 'only-accepted-edits-in-force', () => {
    return `${life} acts on ${editId} as version ${String(version)}`;
  });
  inForce.set(life, version);
}

/** One life of a process. */
export function lifeOf(node: SimulatedNode): string {
  return `${node.id}#${String(node.slot.incarnation)}`;
}

/** Works out anew who is well and who is alone; called after every command. */
export function noteStanding(simulation: Simulation): void {
  const { oracle, scheduler } = simulation;
  for (const node of simulation.nodes) {
    note(oracle.wellSinceMs, node.id, isWell(simulation, node), scheduler.nowMs);
    note(oracle.aloneSinceMs, node.id, isAlone(simulation, node), scheduler.nowMs);
  }
}

function note(since: Map<string, number>, id: string, is: boolean, nowMs: number): void {
  if (!is) since.delete(id);
  else if (!since.has(id)) since.set(id, nowMs);
}

function others(simulation: Simulation, node: SimulatedNode): SimulatedNode[] {
  return simulation.nodes.filter((other) => other !== node);
}

/** Links to processes that are cut from everybody count as that process's trouble, not this one's. */
function isWell(simulation: Simulation, node: SimulatedNode): boolean {
  const { network } = simulation;
  const { lossRatio, lateRatio } = network.faults;
  if (node.slot.status !== ProcessStatus.Running || lossRatio > 0 || lateRatio > 0) return false;
  const cut = others(simulation, node).filter(
    (other) => !linkIsUp(network, node.id, other.id) || !linkIsUp(network, other.id, node.id),
  );
  return cut.every((other) => isAloneAmongProcesses(simulation, other)) && cut.length <= 1;
}

function isAloneAmongProcesses(simulation: Simulation, node: SimulatedNode): boolean {
  const { network } = simulation;
  return others(simulation, node).every(
    (other) => !linkIsUp(network, node.id, other.id) && !linkIsUp(network, other.id, node.id),
  );
}

function isAlone(simulation: Simulation, node: SimulatedNode): boolean {
  const running = node.slot.status === ProcessStatus.Running;
  const noService = !linkIsUp(simulation.network, node.id, SERVICE_ID);
  return running && noService && isAloneAmongProcesses(simulation, node);
}

/** Longer than suspicion, refutation and their spreading. */
const WELL_MS = 20_000;

/** Longer than both last calls to a suspect and their answers. */
const ANSWERED_MS = 2_000;

/** A member's own word reaches a process that stands still: it is read when that one goes on. */
export function noteUnread(
  oracle: Oracle,
  observer: string,
  about: string,
  incarnation: number,
): void {
  const told = oracle.unread.get(observer) ?? new Map<string, number>();
  told.set(about, Math.max(incarnation, told.get(about) ?? 0));
  oracle.unread.set(observer, told);
}

/** A process that stood still has read everything that came meanwhile. */
export function noteAllRead(oracle: Oracle, observer: string): void {
  oracle.unread.delete(observer);
}

/** A process concludes that another one is dead: it must not be one that is well. */
export function noteVerdict(
  simulation: Simulation,
  observer: SimulatedNode,
  about: string,
  incarnation: number,
): void {
  const { oracle, scheduler } = simulation;
  const sinceMs = oracle.wellSinceMs.get(about);
  const wellForMs = sinceMs === undefined ? 0 : scheduler.nowMs - sinceMs;
  const told = oracle.unread.get(observer.id)?.get(about) ?? 0;
  const isUnheard = told > incarnation && wellForMs > ANSWERED_MS;
  holds(!isUnheard, 'nobody-is-condemned-unheard', () => {
    return `${observer.id} took ${about} for dead with its contradiction unread`;
  });
  const isWellLong = wellForMs > WELL_MS;
  holds(!isWellLong, 'the-well-are-not-declared-dead', () => {
    return `${observer.id} took ${about} for dead at ${String(scheduler.nowMs)} ms`;
  });
}

/** Six or seven probes without an answer, three seconds each, on top of the cut-off's own time. */
const CUT_OFF_MARGIN_MS = 22_000;

/** Whoever has been cut off from everybody takes no new work. */
export function checkCutOff(simulation: Simulation): void {
  const { oracle, scheduler, options } = simulation;
  for (const node of simulation.nodes) {
    const sinceMs = oracle.aloneSinceMs.get(node.id);
    if (sinceMs === undefined) continue;
    const aloneMs = scheduler.nowMs - sinceMs;
    if (aloneMs <= options.config.cutOffMs + CUT_OFF_MARGIN_MS) continue;
    holds(!node.memory.config.newWorkAllowed, 'the-cut-off-take-no-new-work', () => {
      return `${node.id} still takes work after ${String(aloneMs)} ms alone`;
    });
  }
}

/** A process acts on what effects tell it: all that membership believes must have been told. */
export function checkTold(node: SimulatedNode): void {
  const { membership, toldMembers } = node.memory;
  for (const { member } of membership.records.values()) {
    holds(toldMembers.get(member.id) === member, 'every-change-of-a-member-is-told', () => {
      return `${node.id} holds ${member.id} ${member.state}, and its effects have not said so`;
    });
  }
}

/** What operators were told must be true. */
export function checkEdits(simulation: Simulation): void {
  const { accepted, edits } = simulation.oracle;
  for (const { editId, toldVersion, toldNotInForce } of edits) {
    if (toldVersion !== null) {
      holds(accepted[toldVersion - 1] === editId, 'operators-are-told-the-truth', () => {
        return `${editId} was reported as version ${String(toldVersion)}`;
      });
    }
    if (!toldNotInForce) continue;
    holds(!accepted.includes(editId), 'operators-are-told-the-truth', () => {
      return `${editId} was reported as not in force, and is`;
    });
  }
}
