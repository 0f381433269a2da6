/** Runs the configuration machine of a simulated process, and the editors of operators. */
import type {
  ConfigContext,
  ConfigEffect,
  EditEffect,
  EditState,
  ReadKey,
} from '@cassiamast/coordination';
import {
  CONFIGURATION_CURRENT_KEY,
  CONFIGURATION_HEAD_KEY,
  ConfigEffectKind,
  EditEffectKind,
  MemberState,
  answeredRatio,
  configAnnounced,
  configDocumentRead,
  configDocumentReadFailed,
  configFetchAnswered,
  configFetchFailed,
  configHeadChanged,
  configHeadRead,
  configHeadReadFailed,
  editConflict,
  findMember,
  keysRead,
  keysReadFailed,
  membersIn,
  parseDocument,
  parseHead,
  serveConfigFetch,
  startEdit,
  tickConfig,
  transactAnswered,
  transactFailed,
} from '@cassiamast/coordination';
import { countFault } from '../../kit/faults.js';
import { schedule } from '../../kit/scheduler.js';
import { configurationOf } from './configuration.js';
import type { SimulatedWrite } from './key-value.js';
import { callService, lapse, transact } from './key-value.js';
import type { TrackedEdit } from './oracle.js';
import { noteAccepted, notePutInForce } from './oracle.js';
import type { Simulation, SimulatedNode } from './simulation.js';
import { call, later, sendDatagram } from './transport.js';

/** The context of a process's configuration machine. */
export function configContext(simulation: Simulation, node: SimulatedNode): ConfigContext {
  const { membership } = node.memory;
  const { hash32 } = simulation.hashing;
  const peers = (): string[] =>
    membersIn(membership, MemberState.Alive)
      .map((member) => member.id)
      .filter((id) => id !== node.id);
  return {
    nowMs: simulation.scheduler.nowMs,
    random: simulation.random,
    hash32,
    selfId: node.id,
    isWatcher: () =>
      membersIn(membership, MemberState.Alive)
        .filter((member) => member.failureDomain === node.failureDomain)
        .every((member) => hash32(member.id) <= hash32(node.id)),
    pickPeer: () => {
      const known = peers();
      return known[Math.floor(simulation.random() * known.length)] ?? null;
    },
    answeredRatio: () => answeredRatio(membership),
    sees: (id) => {
      const state = findMember(membership, id)?.state;
      return state === MemberState.Alive || state === MemberState.Leaving;
    },
  };
}

/** Moves the configuration machine on. */
export function tickConfiguration(simulation: Simulation, node: SimulatedNode): void {
  const effects = tickConfig(node.memory.config, configContext(simulation, node));
  performConfig(simulation, node, effects);
}

/** Performs the effects of the configuration machine. */
export function performConfig(
  simulation: Simulation,
  node: SimulatedNode,
  effects: readonly ConfigEffect[],
): void {
  for (const effect of effects) performOne(simulation, node, effect);
}

function performOne(simulation: Simulation, node: SimulatedNode, effect: ConfigEffect): void {
  const { config } = node.memory;
  const context = (): ConfigContext => configContext(simulation, node);
  const perform = (effects: readonly ConfigEffect[]): void => {
    performConfig(simulation, node, effects);
  };
  switch (effect.kind) {
    case ConfigEffectKind.PutInForce:
      notePutInForce(simulation, node, effect.configuration);
      return;
    case ConfigEffectKind.Announce:
      sendDatagram(simulation, node, effect.to, (target) => {
        const now = configContext(simulation, target);
        const { config: other } = target.memory;
        performConfig(simulation, target, configAnnounced(other, node.id, effect.version, now));
      });
      return;
    case ConfigEffectKind.Fetch:
      call(
        simulation,
        node,
        effect.to,
        (target) => serveConfigFetch(target.memory.config, effect.request),
        (answer) => {
          if (answer?.isOk() !== true) perform(configFetchFailed(config, context()));
          else perform(configFetchAnswered(config, answer.value, context()));
        },
      );
      return;
    case ConfigEffectKind.ReadHead:
      callService(
        simulation,
        node,
        () => simulation.service.keys.get(CONFIGURATION_HEAD_KEY)?.value ?? null,
        (value) => {
          const head = value === null ? null : parseHead(value);
          perform(configHeadRead(config, head, context()));
        },
        () => {
          perform(configHeadReadFailed(config, context()));
        },
      );
      return;
    case ConfigEffectKind.ReadDocument:
      callService(
        simulation,
        node,
        () => simulation.service.keys.get(CONFIGURATION_CURRENT_KEY)?.value ?? null,
        (value) => {
          const document = value === null ? null : parseDocument(value);
          perform(configDocumentRead(config, document, context()));
        },
        () => {
          perform(configDocumentReadFailed(config, context()));
        },
      );
      return;
    case ConfigEffectKind.Watch:
      simulation.service.watches.push({ node, incarnation: node.slot.incarnation });
      return;
    case ConfigEffectKind.StopWatch:
    case ConfigEffectKind.NewWork:
    case ConfigEffectKind.Emit:
  }
}

/** Watches miss changes, repeat them, and deliver old ones late. */
const MISSED_RATIO = 0.3;
const LATE_RATIO = 0.2;
const LATE_SPREAD_MS = 30_000;

function notifyWatches(simulation: Simulation): void {
  const { service, random, network } = simulation;
  const value = service.keys.get(CONFIGURATION_HEAD_KEY)?.value;
  if (value === undefined) return;
  const head = parseHead(value);
  for (const { node, incarnation } of service.watches) {
    if (node.slot.incarnation !== incarnation) continue;
    if (service.isDown || random() < MISSED_RATIO) {
      countFault(network.counts, 'watch-missed');
      continue;
    }
    const isLate = random() < LATE_RATIO;
    if (isLate) countFault(network.counts, 'watch-old-revision');
    later(simulation, node, isLate ? random() * LATE_SPREAD_MS : 1, () => {
      const context = configContext(simulation, node);
      performConfig(simulation, node, configHeadChanged(node.memory.config, head, context));
    });
  }
}

/** The operator's machine is none of the members; it calls the service by itself. */
function callAsOperator<Result>(
  simulation: Simulation,
  operation: () => Result,
  onResult: (result: Result) => void,
  onFailure: () => void,
): void {
  const { service, random, scheduler, network } = simulation;
  const SLOW_MS = 7_000;
  const TIMEOUT_MS = 1_000;
  if (service.isDown) {
    schedule(scheduler, TIMEOUT_MS, onFailure);
    return;
  }
  if (random() < service.slowRatio) {
    schedule(scheduler, SLOW_MS, operation);
    schedule(scheduler, TIMEOUT_MS, onFailure);
    return;
  }
  schedule(scheduler, 2, () => {
    lapse(simulation);
    const result = operation();
    if (random() >= service.lostAnswerRatio) onResult(result);
    else {
      countFault(network.counts, 'edit-acceptance-lost');
      schedule(scheduler, TIMEOUT_MS, onFailure);
    }
  });
}

/** An operator edits from the version that the service shows, or from an older one. */
export function startOperatorEdit(simulation: Simulation, staleBy: number): void {
  const value = simulation.service.keys.get(CONFIGURATION_HEAD_KEY)?.value;
  const version = value === undefined ? 0 : (parseHead(value)?.version ?? 0);
  simulation.lastId += 1;
  const editId = `edit-${String(simulation.lastId)}`;
  sendEdit(simulation, editId, Math.max(0, version - staleBy));
}

/** Sends an edit, for the first time or again. */
export function sendEdit(simulation: Simulation, editId: string, baseVersion: number): void {
  const edit = {
    editId,
    baseVersion,
    text: editId,
    compiled: configurationOf(baseVersion),
    editedAtMs: 0,
    editedBy: 'operator',
  };
  const tracked: TrackedEdit = { editId, baseVersion, toldVersion: null, toldNotInForce: false };
  simulation.oracle.edits.push(tracked);
  const { state, effects } = startEdit(edit, simulation.options.editorReadsBack);
  driveEdit(simulation, state, tracked, effects);
}

function driveEdit(
  simulation: Simulation,
  state: EditState,
  tracked: TrackedEdit,
  effects: readonly EditEffect[],
): void {
  const { random, scheduler, service } = simulation;
  const go = (next: readonly EditEffect[]): void => {
    driveEdit(simulation, state, tracked, next);
  };
  for (const effect of effects) {
    switch (effect.kind) {
      case EditEffectKind.ReadKeys:
        schedule(scheduler, effect.waitMs, () => {
          const read = (key: string): ReadKey => service.keys.get(key) ?? null;
          callAsOperator(
            simulation,
            () => ({
              head: read(CONFIGURATION_HEAD_KEY),
              document: read(CONFIGURATION_CURRENT_KEY),
            }),
            (keys) => {
              go(keysRead(state, keys));
            },
            () => {
              go(keysReadFailed(state, random));
            },
          );
        });
        break;
      case EditEffectKind.Transact:
        callAsOperator(
          simulation,
          () => acceptEdit(simulation, effect.compares, effect.writes),
          (succeeded) => {
            go(transactAnswered(state, succeeded, random));
          },
          () => {
            go(transactFailed(state, random));
          },
        );
        break;
      case EditEffectKind.Done:
        if (effect.outcome.isOk()) tracked.toldVersion = effect.outcome.value;
        else tracked.toldNotInForce = editConflict.is(effect.outcome.error);
    }
  }
}

function acceptEdit(
  simulation: Simulation,
  compares: readonly { readonly key: string; readonly modRevision: number }[],
  writes: readonly SimulatedWrite[],
): boolean {
  if (transact(simulation, compares, writes) === null) return false;
  const head = writes.find(({ key }) => key === CONFIGURATION_HEAD_KEY);
  const parsed = head?.value ? parseHead(head.value) : null;
  if (parsed !== null) noteAccepted(simulation.oracle, parsed.version, parsed.editId);
  notifyWatches(simulation);
  return true;
}
