/**
 * Performs operations on the crash ledger: reports crashes, and requests and settles lone runs. Each
 * operation is a loop of reads and compare-and-swap writes. An outage of the key-value service only
 * delays crash reports and settlements, as they are retried; a suspect does not run meanwhile. A
 * lone run has no lease: it ends when it is settled, or when a probe of its sidecar shows that the
 * run is over or will never begin, or that the sidecar is dead.
 */
import type { RevisionCompare, StoredValue, StoredWrite } from '../claims/key-value.js';
import { LoneRunEnd, LoneRunOutcome } from '../records/request-types.js';
import type { Place } from '../records/place.js';
import { LoneRunStatus } from '../records/messages.js';
import { PoisonEffectKind, PoisonEventKind, PoisonWorkKind } from './poison-client-types.js';
import type {
  MayBeginLoneRun,
  Operation,
  PoisonContext,
  PoisonEffect,
  PoisonEvent,
  PoisonState,
  PoisonWork,
} from './poison-client-types.js';
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
 * Allows one lone run per service, which is stored before it begins. Otherwise two suspects could
 * run at the same time and crash two targets at once, which can be half of a small service.
 */
export const allowOneLoneRun: MayBeginLoneRun = (storedLoneRun, attemptId) =>
  storedLoneRun === null || storedLoneRun.attemptId === attemptId;

/** Handling of one event: collects its effects. */
interface Turn {
  readonly state: PoisonState;
  readonly context: PoisonContext;
  readonly out: PoisonEffect[];
}

/** Creates a client without pending operations. */
export function createPoisonClient(): PoisonState {
  return { operations: new Map() };
}

/** Handles one event and returns the effects to perform. */
export function handlePoisonEvent(
  state: PoisonState,
  event: PoisonEvent,
  context: PoisonContext,
): readonly PoisonEffect[] {
  const turn: Turn = { state, context, out: [] };
  if (event.kind === PoisonEventKind.Requested) startOperation(turn, event.id, event.work);
  else if (event.kind === PoisonEventKind.Tick) tick(turn);
  else {
    const operation = state.operations.get(event.id);
    if (operation !== undefined) handleStep(turn, operation, event);
  }
  return turn.out;
}

function startOperation(turn: Turn, id: string, work: PoisonWork): void {
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
    if (work.kind === PoisonWorkKind.RequestLoneRun) replyLater(turn, operation);
    return;
  }
  state.operations.set(id, operation);
  announceCrash(turn, operation);
  read(turn, operation);
}

type StepEvent = Exclude<PoisonEvent, { kind: PoisonEventKind.Requested | PoisonEventKind.Tick }>;

function handleStep(turn: Turn, operation: Operation, event: StepEvent): void {
  switch (event.kind) {
    case PoisonEventKind.Read:
      operation.ledger = event.ledger;
      operation.lone = event.lone;
      act(turn, operation);
      return;
    case PoisonEventKind.Transacted:
      if (event.outcome.succeeded) completeOperation(turn, operation);
      else read(turn, operation);
      return;
    case PoisonEventKind.CallFailed:
      retryOrGiveUp(turn, operation);
      return;
    case PoisonEventKind.Probed:
      handleProbe(turn, operation, event.probe);
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
      writeCrash(turn, operation);
      return;
    case PoisonWorkKind.RequestLoneRun:
      claimLoneRun(turn, operation);
      return;
    case PoisonWorkKind.Settle:
      settle(turn, operation);
  }
}

function writeCrash(turn: Turn, operation: Operation): void {
  const { work } = operation;
  const entry = parseLedgerEntry(operation.ledger);
  if (entry.crashedAttemptIds.includes(work.attemptId)) {
    completeOperation(turn, operation);
    return;
  }
  const key = ledgerKeyOf(work.service, work.bodyHash);
  const value = JSON.stringify(withCrash(entry, work.attemptId));
  transact(turn, operation, [{ key, value }], [compareWith(key, operation.ledger)]);
}

function claimLoneRun(turn: Turn, operation: Operation): void {
  const { work } = operation;
  if (work.kind !== PoisonWorkKind.RequestLoneRun) return;
  const entry = parseLedgerEntry(operation.ledger);
  if (turn.context.options.isConvicted(entry)) {
    reply(turn, operation, LoneRunOutcome.Convicted, null);
    return;
  }
  const storedLoneRun = parseLoneRun(operation.lone);
  if (
    !operation.mayReplace &&
    !turn.context.options.mayBeginLoneRun(storedLoneRun, work.attemptId)
  ) {
    if (storedLoneRun === null) return;
    turn.out.push({ kind: PoisonEffectKind.Probe, id: operation.id, loneRun: storedLoneRun });
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
 * Handles the status of the stored lone run. A lone run that crashed, or whose sidecar was lost, is
 * added to the ledger in the same transaction that frees the slot; the next lone run reads both. The
 * run's own crash report may be late, or its reporter may be gone, and the content that caused the
 * crash would otherwise run once more.
 */
function handleProbe(turn: Turn, operation: Operation, probe: LoneRunStatus): void {
  const storedLoneRun = parseLoneRun(operation.lone);
  if (storedLoneRun === null || probe === LoneRunStatus.Running) {
    replyLater(turn, operation);
    return;
  }
  if (probe === LoneRunStatus.Over) {
    operation.mayReplace = true;
    claimLoneRun(turn, operation);
    return;
  }
  const { service } = operation.work;
  const { bodyHash, attemptId } = storedLoneRun;
  const isCrash = probe === LoneRunStatus.Crashed;
  const end = isCrash ? LoneRunEnd.Crashed : LoneRunEnd.Lost;
  const id = `${operation.id}/${end}/${attemptId}`;
  startOperation(turn, id, { kind: PoisonWorkKind.Settle, service, bodyHash, attemptId, end });
  replyLater(turn, operation);
}

/** Removes an ended lone run, and clears or extends the ledger entry of its content. */
function settle(turn: Turn, operation: Operation): void {
  const { work } = operation;
  if (work.kind !== PoisonWorkKind.Settle) return;
  const storedLoneRun = parseLoneRun(operation.lone);
  if (storedLoneRun?.attemptId !== work.attemptId) {
    completeOperation(turn, operation);
    return;
  }
  const loneKey = loneRunKeyOf(work.service);
  const ledgerKey = ledgerKeyOf(work.service, work.bodyHash);
  const writes: StoredWrite[] = [{ key: loneKey, value: null }];
  const compares = [compareWith(loneKey, operation.lone)];
  if (work.end === LoneRunEnd.Crashed || work.end === LoneRunEnd.Lost) {
    const previousEntry = parseLedgerEntry(operation.ledger);
    const addAttempt = work.end === LoneRunEnd.Crashed ? withCrash : withLoss;
    const entry = addAttempt(previousEntry, work.attemptId);
    writes.push({ key: ledgerKey, value: JSON.stringify(entry) });
    compares.push(compareWith(ledgerKey, operation.ledger));
  }
  const clearsEntry = work.end === LoneRunEnd.Finished && operation.ledger !== null;
  if (clearsEntry) {
    writes.push({ key: ledgerKey, value: null });
    compares.push(compareWith(ledgerKey, operation.ledger));
  }
  transact(turn, operation, writes, compares);
}

function completeOperation(turn: Turn, operation: Operation): void {
  const { work } = operation;
  switch (work.kind) {
    case PoisonWorkKind.RequestLoneRun:
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
 * Announces a crash while its report is pending. Announcements don't need the key-value service and
 * are repeated with each retry. Otherwise, while that service is out, the same content could arrive
 * with another idempotency key and crash one target after another.
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
  if (operation.work.kind === PoisonWorkKind.RequestLoneRun) {
    replyLater(turn, operation);
    return;
  }
  if (context.nowMs - operation.startedAtMs > context.options.reportRetryWindowMs) {
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
      operation.work.kind === PoisonWorkKind.RequestLoneRun
        ? operation.work.sidecarIncarnation
        : '',
    crashes: parseLedgerEntry(operation.ledger).crashedAttemptIds.length,
    retryAfterMs: turn.context.options.loneRunRetryMs,
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
