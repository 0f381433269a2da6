/**
 * Work on the ledger: reporting crashes, asking for a lone run, settling one. Each is a small loop
 * of reads and compare-and-swap writes that is tried again after failures, so that an outage only
 * delays it; a suspect does not run meanwhile. The lone run has no lease: it ends when it is
 * settled, or when its sidecar, asked, says that it is over or will never begin, or is dead.
 */
import type { RevisionCompare, StoredValue, StoredWrite } from '../claims/key-value.js';
import { LoneRunEnd, LoneRunOutcome } from '../records/drive-types.js';
import type { Place } from '../records/place.js';
import { LoneProbe } from '../records/messages.js';
import { PoisonEffectKind, PoisonEventKind, PoisonWorkKind } from './client-types.js';
import type {
  MayBegin,
  Operation,
  PoisonContext,
  PoisonEffect,
  PoisonEvent,
  PoisonState,
  PoisonWork,
} from './client-types.js';
import {
  ledgerKeyOf,
  loneRunKeyOf,
  parseLedgerEntry,
  parseLoneRun,
  withCrash,
  withLoss,
} from './ledger.js';
import type { LoneRun } from './ledger.js';

/**
 * Guards a service against losing two targets at once. Failure: two suspects run at the same time
 * on two targets, and both crash; it shows as half of a small service gone. The guard holds because
 * there is one lone run per service, written before it begins.
 */
export const mayBegin: MayBegin = (standing, attemptId) =>
  standing === null || standing.attemptId === attemptId;

interface Turn {
  readonly state: PoisonState;
  readonly context: PoisonContext;
  readonly out: PoisonEffect[];
}

/** No work. */
export function createPoisonClient(): PoisonState {
  return { operations: new Map() };
}

/** Takes one event and returns what is to be done. */
export function handlePoisonEvent(
  state: PoisonState,
  event: PoisonEvent,
  context: PoisonContext,
): readonly PoisonEffect[] {
  const turn: Turn = { state, context, out: [] };
  if (event.kind === PoisonEventKind.Asked) begin(turn, event.id, event.work);
  else if (event.kind === PoisonEventKind.Tick) tick(turn);
  else {
    const operation = state.operations.get(event.id);
    if (operation !== undefined) proceed(turn, operation, event);
  }
  return turn.out;
}

function begin(turn: Turn, id: string, work: PoisonWork): void {
  const { state, context } = turn;
  if (state.operations.has(id)) return;
  const operation: Operation = {
    id,
    work,
    startedAtMs: context.nowMs,
    ledger: null,
    lone: null,
    mayReplace: false,
    retryAtMs: null,
  };
  if (state.operations.size >= context.options.maxOperations) {
    if (work.kind === PoisonWorkKind.AskLoneRun) replyLater(turn, operation);
    return;
  }
  state.operations.set(id, operation);
  announceCrash(turn, operation);
  read(turn, operation);
}

type StepEvent = Exclude<PoisonEvent, { kind: PoisonEventKind.Asked | PoisonEventKind.Tick }>;

function proceed(turn: Turn, operation: Operation, event: StepEvent): void {
  switch (event.kind) {
    case PoisonEventKind.Read:
      operation.ledger = event.ledger;
      operation.lone = event.lone;
      act(turn, operation);
      return;
    case PoisonEventKind.Transacted:
      if (event.outcome.succeeded) succeed(turn, operation);
      else read(turn, operation);
      return;
    case PoisonEventKind.CallFailed:
      retryOrGiveUp(turn, operation);
      return;
    case PoisonEventKind.Probed:
      onProbe(turn, operation, event.probe);
  }
}

function read(turn: Turn, operation: Operation): void {
  const { service, bodyHash } = operation.work;
  operation.mayReplace = false;
  turn.out.push({
    kind: PoisonEffectKind.Read,
    id: operation.id,
    ledgerKey: ledgerKeyOf(service, bodyHash),
    loneKey: loneRunKeyOf(service),
  });
}

function act(turn: Turn, operation: Operation): void {
  switch (operation.work.kind) {
    case PoisonWorkKind.ReportCrash:
      report(turn, operation);
      return;
    case PoisonWorkKind.AskLoneRun:
      claimLoneRun(turn, operation);
      return;
    case PoisonWorkKind.Settle:
      settle(turn, operation);
  }
}

function report(turn: Turn, operation: Operation): void {
  const { work } = operation;
  const entry = parseLedgerEntry(operation.ledger);
  if (entry.crashedAttemptIds.includes(work.attemptId)) {
    succeed(turn, operation);
    return;
  }
  const key = ledgerKeyOf(work.service, work.bodyHash);
  const value = JSON.stringify(withCrash(entry, work.attemptId));
  transact(turn, operation, [{ key, value }], [compareWith(key, operation.ledger)]);
}

function claimLoneRun(turn: Turn, operation: Operation): void {
  const { work } = operation;
  if (work.kind !== PoisonWorkKind.AskLoneRun) return;
  const entry = parseLedgerEntry(operation.ledger);
  if (turn.context.options.isConvicted(entry)) {
    reply(turn, operation, LoneRunOutcome.Convicted, null);
    return;
  }
  const standing = parseLoneRun(operation.lone);
  if (!operation.mayReplace && !turn.context.options.mayBegin(standing, work.attemptId)) {
    if (standing === null) return;
    turn.out.push({ kind: PoisonEffectKind.Probe, id: operation.id, loneRun: standing });
    return;
  }
  const loneKey = loneRunKeyOf(work.service);
  const ledgerKey = ledgerKeyOf(work.service, work.bodyHash);
  const { bodyHash, attemptId, place, sidecarIncarnation } = work;
  const loneRun: LoneRun = { bodyHash, attemptId, place, sidecarIncarnation };
  transact(
    turn,
    operation,
    [{ key: loneKey, value: JSON.stringify(loneRun) }],
    [compareWith(loneKey, operation.lone), compareWith(ledgerKey, operation.ledger)],
  );
}

/**
 * A lone run that crashed, or whose sidecar is lost, is written into the ledger in the transaction
 * that gives its place away. Failure: its own report is late, or nobody was left to make it; it
 * shows as a culprit that runs once more. The guard holds because the next lone run reads both.
 */
function onProbe(turn: Turn, operation: Operation, probe: LoneProbe): void {
  const standing = parseLoneRun(operation.lone);
  if (standing === null || probe === LoneProbe.Running) {
    replyLater(turn, operation);
    return;
  }
  if (probe === LoneProbe.Over) {
    operation.mayReplace = true;
    claimLoneRun(turn, operation);
    return;
  }
  const { service } = operation.work;
  const { bodyHash, attemptId } = standing;
  const isCrash = probe === LoneProbe.Crashed;
  const end = isCrash ? LoneRunEnd.Crashed : LoneRunEnd.Lost;
  const id = `${operation.id}/${end}/${attemptId}`;
  begin(turn, id, { kind: PoisonWorkKind.Settle, service, bodyHash, attemptId, end });
  replyLater(turn, operation);
}

/** A run that ended well clears its content; any end makes room for the next lone run. */
function settle(turn: Turn, operation: Operation): void {
  const { work } = operation;
  if (work.kind !== PoisonWorkKind.Settle) return;
  const standing = parseLoneRun(operation.lone);
  if (standing?.attemptId !== work.attemptId) {
    succeed(turn, operation);
    return;
  }
  const loneKey = loneRunKeyOf(work.service);
  const ledgerKey = ledgerKeyOf(work.service, work.bodyHash);
  const writes: StoredWrite[] = [{ key: loneKey, value: null }];
  const compares = [compareWith(loneKey, operation.lone)];
  if (work.end === LoneRunEnd.Crashed || work.end === LoneRunEnd.Lost) {
    const before = parseLedgerEntry(operation.ledger);
    const add = work.end === LoneRunEnd.Crashed ? withCrash : withLoss;
    const entry = add(before, work.attemptId);
    writes.push({ key: ledgerKey, value: JSON.stringify(entry) });
    compares.push(compareWith(ledgerKey, operation.ledger));
  }
  const isInnocent = work.end === LoneRunEnd.Finished && operation.ledger !== null;
  if (isInnocent) {
    writes.push({ key: ledgerKey, value: null });
    compares.push(compareWith(ledgerKey, operation.ledger));
  }
  transact(turn, operation, writes, compares);
}

function succeed(turn: Turn, operation: Operation): void {
  const { work } = operation;
  switch (work.kind) {
    case PoisonWorkKind.AskLoneRun:
      reply(turn, operation, LoneRunOutcome.Granted, work.place);
      return;
    case PoisonWorkKind.ReportCrash: {
      const entry = withCrash(parseLedgerEntry(operation.ledger), work.attemptId);
      announce(turn, operation, entry.crashedAttemptIds);
      break;
    }
    case PoisonWorkKind.Settle:
      if (work.end === LoneRunEnd.Finished) announce(turn, operation, []);
  }
  turn.state.operations.delete(operation.id);
}

/**
 * Tells of a crash while its report is under way. Failure: the key-value service is out and the
 * same content comes with another key; it shows as one target lost after another through the
 * outage. The guard holds because the news need no service, and are repeated with each retry.
 */
function announceCrash(turn: Turn, operation: Operation): void {
  if (operation.work.kind !== PoisonWorkKind.ReportCrash) return;
  announce(turn, operation, [operation.work.attemptId]);
}

function announce(turn: Turn, operation: Operation, crashedAttemptIds: readonly string[]): void {
  const { service, bodyHash } = operation.work;
  turn.out.push({ kind: PoisonEffectKind.Announce, service, bodyHash, crashedAttemptIds });
}

function retryOrGiveUp(turn: Turn, operation: Operation): void {
  const { context } = turn;
  if (operation.work.kind === PoisonWorkKind.AskLoneRun) {
    replyLater(turn, operation);
    return;
  }
  if (context.nowMs - operation.startedAtMs > context.options.reportForMs) {
    turn.state.operations.delete(operation.id);
    return;
  }
  operation.retryAtMs = context.nowMs + context.options.retryMs * (0.5 + context.random());
}

function tick(turn: Turn): void {
  for (const operation of turn.state.operations.values()) {
    if (operation.retryAtMs === null || operation.retryAtMs > turn.context.nowMs) continue;
    operation.retryAtMs = null;
    announceCrash(turn, operation);
    read(turn, operation);
  }
}

function replyLater(turn: Turn, operation: Operation): void {
  reply(turn, operation, LoneRunOutcome.Later, null);
}

function reply(
  turn: Turn,
  operation: Operation,
  outcome: LoneRunOutcome,
  place: Place | null,
): void {
  turn.state.operations.delete(operation.id);
  turn.out.push({
    kind: PoisonEffectKind.LoneRunReplied,
    id: operation.id,
    outcome,
    place,
    sidecarIncarnation:
      operation.work.kind === PoisonWorkKind.AskLoneRun ? operation.work.sidecarIncarnation : '',
    crashes: parseLedgerEntry(operation.ledger).crashedAttemptIds.length,
    retryAfterMs: turn.context.options.laterMs,
  });
}

function transact(
  turn: Turn,
  operation: Operation,
  writes: readonly StoredWrite[],
  compares: readonly RevisionCompare[],
): void {
  turn.out.push({ kind: PoisonEffectKind.Transact, id: operation.id, compares, writes });
}

function compareWith(key: string, stored: StoredValue | null): RevisionCompare {
  return { key, modRevision: stored?.modRevision ?? 0 };
}
