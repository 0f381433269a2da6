/** The gateway of the departures world: it polls the store and sends requests to targets. */
import {
  type FleetChange,
  FleetChangeKind,
  admitDoubtedTargets,
  applyChanges,
  eraOf,
  pauseAfterAnswerMs,
  pauseAfterFailureMs,
  recordCallAnswered,
  recordCallLost,
  recordLeaving,
  recordStoreAnswer,
  removeMissingTargets,
  revisionInEra,
  servingTarget,
  servingTargets,
  storeRevisionOf,
  unavailableReason,
  watchLimits,
} from '@cassiamast/coordination';
import { schedule } from '../../kit/scheduler.js';
import { SERVICE, type Send, type SimulatedTarget, type Simulation } from './simulation.js';

const STORE_ANSWER_MS = 10;
const SEND_INTERVAL_MS = 40;
/** Answers take up to this long; late ones arrive after those to later requests. */
const MAX_ANSWER_MS = 1200;

/** Polls the store for as long as the run lasts. */
export function poll(simulation: Simulation): void {
  const { store, scheduler, view, pace, connection } = simulation;
  const startedAtMs = scheduler.nowMs;
  if (store.isDown) {
    pollAfterFailure(simulation, startedAtMs);
    return;
  }
  const { waitMs, timeoutMs } = watchLimits(pace.options);
  let isOver = false;
  schedule(scheduler, timeoutMs, () => {
    if (isOver) return;
    isOver = true;
    simulation.options.renewConnections(simulation);
    pollAfterFailure(simulation, startedAtMs);
  });
  let isSent = false;
  const answer = (): void => {
    if (isSent || connection.isSilent) return;
    isSent = true;
    schedule(scheduler, STORE_ANSWER_MS, () => {
      if (isOver || connection.isSilent) return;
      isOver = true;
      receiveChanges(simulation);
    });
  };
  store.notify = answer;
  if (isRestored(simulation) || store.revision > storeRevisionOf(view.revision)) answer();
  else schedule(scheduler, waitMs, answer);
}

function pollAfterFailure(simulation: Simulation, startedAtMs: number): void {
  const { scheduler, contact, pace, random } = simulation;
  recordCallLost(contact, startedAtMs);
  schedule(scheduler, pauseAfterFailureMs(pace, random), () => {
    poll(simulation);
  });
}

function receiveChanges(simulation: Simulation): void {
  const { store, scheduler, view, pace, contact, contactMs, options } = simulation;
  if (store.isDown) {
    poll(simulation);
    return;
  }
  const { nowMs } = scheduler;
  simulation.pauseMs = pauseAfterAnswerMs(pace, nowMs);
  recordStoreAnswer(
    view,
    nowMs,
    simulation.pauseMs + watchLimits(pace.options).waitMs,
    options.latestGraceEndMs(contact, contactMs),
  );
  recordCallAnswered(contact, nowMs);
  options.afterStoreAnswer(simulation);
  if (isRestored(simulation)) list(simulation);
  else applyNews(simulation);
  removeMissingTargets(view, nowMs);
  admitDoubtedTargets(view, nowMs);
  for (const target of simulation.targets) {
    const isServing = servingTarget(view, target.name, nowMs) !== null;
    target.isKnown ||= isServing;
    target.isKnownGone ||= target.isKnown && target.leftAtMs !== null && !isServing;
  }
  schedule(scheduler, simulation.pauseMs, () => {
    poll(simulation);
  });
}

function isRestored({ view, store, options }: Simulation): boolean {
  return options.eraOfStore(store) > eraOf(view.revision);
}

function applyNews(simulation: Simulation): void {
  const { store, scheduler, view, options } = simulation;
  const changes = store.changes.filter(({ revision }) => revision > storeRevisionOf(view.revision));
  applyChanges(
    view,
    changes.map((change) => inEra(simulation, change)),
    revisionInEra(options.eraOfStore(store), store.revision),
    scheduler.nowMs,
  );
  for (const change of changes) {
    if (change.kind === FleetChangeKind.TargetRemoved) {
      options.afterRemoval(simulation, change.name);
    }
  }
}

/** Lists the entries of a store that came back from an older copy. */
function list(simulation: Simulation): void {
  const { store, scheduler, view, options } = simulation;
  const entries = new Map<string, FleetChange>();
  for (const change of store.changes) {
    if (change.kind === FleetChangeKind.Target) entries.set(change.target.name, change);
    if (change.kind === FleetChangeKind.TargetRemoved) entries.delete(change.name);
  }
  const listed = [...entries.values()].map((change) => inEra(simulation, change));
  const revision = revisionInEra(options.eraOfStore(store), store.revision);
  const restore = { rewriteAtMs: scheduler.nowMs };
  options.applyListing(view, listed, revision, scheduler.nowMs, restore);
}

function inEra({ store, options }: Simulation, change: FleetChange): FleetChange {
  return { ...change, revision: revisionInEra(options.eraOfStore(store), change.revision) };
}

/** Sends requests for as long as the run lasts. */
export function sendRequests(simulation: Simulation): void {
  sendOne(simulation);
  schedule(simulation.scheduler, SEND_INTERVAL_MS, () => {
    sendRequests(simulation);
  });
}

function sendOne(simulation: Simulation): void {
  const { scheduler, view, availability, targets, random } = simulation;
  const { nowMs } = scheduler;
  const candidates = servingTargets(view, SERVICE, nowMs).filter(
    ({ id }) => unavailableReason(availability, id, nowMs) === null,
  );
  const chosen = candidates[Math.floor(random() * candidates.length)];
  const target = targets.find(({ name }) => name === chosen?.name);
  if (target === undefined) return;
  simulation.sends.push(describeSend(simulation, target));
  const { isLeaving, backOffMs } = target;
  const isTurnedAway = nowMs < target.turnsAwayUntilMs;
  schedule(scheduler, random() * MAX_ANSWER_MS, () => {
    receiveAnswer(simulation, target, nowMs, {
      isLeaving,
      backOffMs: isTurnedAway ? backOffMs : 0,
    });
  });
}

function describeSend(
  { scheduler, store, silentSinceMs, contactMs }: Simulation,
  target: SimulatedTarget,
): Send {
  const { nowMs } = scheduler;
  const { toldLeavingAtMs, backOffUntilMs, leftAtMs } = target;
  const isInContact =
    !store.isDown &&
    (store.upSinceMs === 0 || nowMs - store.upSinceMs > contactMs) &&
    nowMs - silentSinceMs > contactMs;
  return {
    target,
    toldForMs: toldLeavingAtMs === null ? null : nowMs - toldLeavingAtMs,
    backOffLeftMs: backOffUntilMs - nowMs,
    leftForMs: leftAtMs === null || !isInContact ? null : nowMs - leftAtMs,
    isKnownGone: target.isKnownGone,
  };
}

function receiveAnswer(
  { scheduler, availability, options }: Simulation,
  target: SimulatedTarget,
  sentAtMs: number,
  { isLeaving, backOffMs }: { readonly isLeaving: boolean; readonly backOffMs: number },
): void {
  const { nowMs } = scheduler;
  const announcing = { id: target.name, service: SERVICE };
  if (isLeaving) {
    recordLeaving(availability, announcing, nowMs);
    target.toldLeavingAtMs ??= nowMs;
  }
  if (backOffMs === 0) return;
  const fromMs = options.backOffFromMs(sentAtMs, nowMs);
  options.recordBackOff(availability, announcing, backOffMs, fromMs);
  target.backOffUntilMs = Math.max(target.backOffUntilMs, nowMs + backOffMs);
}
