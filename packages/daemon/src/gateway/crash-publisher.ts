/**
 * Publishes the crashes that this gateway knows of: it writes them to the platform's store until it
 * has them, and tells other gateways while it can't, so that the crash is not forgotten with this
 * process. Deletes crashes from the store that count no more.
 */
import { setTimeout as sleep } from 'node:timers/promises';
import {
  type CrashNote,
  CrashRemoval,
  type Failure,
  type FleetView,
  type Random,
  crashAgeMs,
  markCrashesStored,
  removeCrash,
  unstoredCrashes,
  waitAfterFailuresMs,
} from '@cassiamast/coordination';
import type { FleetPort } from '@cassiamast/ports';
import { type Result, err, ok } from 'neverthrow';
import type { RecentGateways } from './recent-gateways.js';
import type { RpcClient } from '../node/rpc-client.js';
import { RpcMethod } from '../protocol/methods.js';
import type { GatewayLog } from './gateway-log.js';

/** Crashes that are seen at the same moment are written together. */
const BATCH_DELAY_MS = 5;
/** Maximum number of entries in one write. */
const MAX_NOTES_PER_WRITE = 32;
/** A crash that the store does not have by then is told to other gateways meanwhile. */
const TELL_AFTER_MS = 150;
/** Gateways that are told at once; each of them writes the crash too, or tells others in turn. */
const PEERS_TOLD = 3;
/** Pause until others are told of a crash again, which doubles: those that were told may have ended. */
const TELL_AGAIN = { initialMs: 300, maxMs: 10_000 };
const TELL_TIMEOUT_MS = 500;
const RETRY_BACKOFF = { initialMs: 300, maxMs: 1200 };
/** Most deletions that wait for the store; the oldest are dropped first. */
const MAX_DELETIONS = 1024;

/** A crash as sent between gateways. Times are relative because clocks differ between VMs. */
export interface ToldCrash extends CrashNote {
  readonly ageMs: number;
}

/** Dependencies of the publisher. */
export interface CrashPublisherOptions {
  readonly fleet: Pick<FleetPort, 'recordCrashes' | 'deleteCrashes'>;
  /** The view whose crash memory is published. */
  readonly view: FleetView;
  readonly rpc: RpcClient;
  readonly recent: RecentGateways;
  readonly random: Random;
  readonly nowMs: () => number;
  readonly log: GatewayLog;
  readonly count: (name: string) => void;
}

/** Publishes crashes. */
export interface CrashPublisher {
  /** Writes the crashes that the store does not have yet. */
  readonly publish: () => void;
  /** Deletes crashes from the store. */
  readonly forget: (notes: readonly CrashNote[]) => void;
  /** Writes nothing more. */
  readonly stop: () => void;
}

/** Creates the publisher. */
export function createCrashPublisher(options: CrashPublisherOptions): CrashPublisher {
  const { fleet, view, rpc, recent, random, nowMs, log, count } = options;
  const memory = view.crashes;
  const deletions = new Map<string, CrashNote>();
  /** When others are told of a crash again, by its key; for crashes that are not written yet. */
  const tellAgain = new Map<string, { readonly pauseMs: number; readonly atMs: number }>();
  let isRunning = false;
  let isStopped = false;

  function start(): void {
    if (isStopped || !hasWork()) return;
    setTimeout(tellOfUnstored, TELL_AFTER_MS);
    if (isRunning) return;
    isRunning = true;
    void run().finally(() => {
      isRunning = false;
    });
  }

  async function run(): Promise<void> {
    await sleep(BATCH_DELAY_MS);
    let failures = 0;
    while (hasWork() && !isStopped) {
      const written = await writeBatch();
      failures = written.isOk() ? 0 : failures + 1;
      if (written.isOk()) continue;
      count('crash_writes_failed_total');
      if (failures === 1) log.warn('crash notes not written', { cause: written.error.message });
      await sleep(waitAfterFailuresMs(failures, RETRY_BACKOFF, random));
    }
  }

  function hasWork(): boolean {
    return deletions.size > 0 || unstoredCrashes(memory, nowMs()).length > 0;
  }

  /** Writes or deletes as much as fits into one write. */
  function writeBatch(): Promise<Result<null, Failure>> {
    const notes = unstoredCrashes(memory, nowMs()).slice(0, MAX_NOTES_PER_WRITE);
    if (notes.length > 0) return record(notes);
    return deleteStored([...deletions.values()].slice(0, MAX_NOTES_PER_WRITE));
  }

  async function record(notes: readonly CrashNote[]): Promise<Result<null, Failure>> {
    const written = await fleet.recordCrashes(notes);
    // A content may have been cleared while its crashes were written.
    if (written.isOk()) {
      for (const note of notes) tellAgain.delete(keyOf(note));
      forget(markCrashesStored(memory, notes, written.value, view.revision));
      return ok(null);
    }
    tellPeers(notes);
    return err(written.error);
  }

  async function deleteStored(notes: readonly CrashNote[]): Promise<Result<null, Failure>> {
    const deleted = await fleet.deleteCrashes(notes);
    if (deleted.isOk()) for (const note of notes) deletions.delete(keyOf(note));
    return deleted;
  }

  /** Includes crashes that wait for an earlier write, which may take seconds. */
  function tellOfUnstored(): void {
    if (!isStopped) tellPeers(unstoredCrashes(memory, nowMs()));
  }

  /** Tells some other gateways, which keep the crashes if this process ends before it can write them. */
  function tellPeers(notes: readonly CrashNote[]): void {
    const crashes = notes
      .filter((note) => isTellingDue(keyOf(note)))
      .map((note) => ({ ...note, ageMs: Math.round(crashAgeMs(memory, note, nowMs())) }));
    if (crashes.length === 0) return;
    const others = [...recent.others()];
    let announced = others.filter((id) => view.gateways.has(id)).length;
    for (let told = 0; told < PEERS_TOLD && others.length > 0; told += 1) {
      const choices = announced > 0 ? announced : others.length;
      const [peer = ''] = others.splice(Math.floor(random() * choices), 1);
      announced -= 1;
      void tell(peer, crashes);
    }
  }

  /** Returns whether others are to be told of a crash now, and plans when to tell them again. */
  function isTellingDue(key: string): boolean {
    const now = nowMs();
    const planned = tellAgain.get(key) ?? { pauseMs: TELL_AGAIN.initialMs, atMs: now };
    if (now < planned.atMs) return false;
    const pauseMs = Math.min(TELL_AGAIN.maxMs, planned.pauseMs * 2);
    tellAgain.set(key, { pauseMs, atMs: now + planned.pauseMs });
    return true;
  }

  async function tell(peer: string, crashes: readonly ToldCrash[]): Promise<void> {
    const told = await rpc.call(peer, RpcMethod.CrashesTell, [crashes], {
      timeoutMs: TELL_TIMEOUT_MS,
    });
    count(told.isOk() ? 'crash_peers_told_total' : 'crash_peers_unreached_total');
    // A gateway of the last release returns null.
    if (told.isOk()) excuse((told.value as readonly CrashNote[] | null) ?? []);
  }

  /** Removes crashes that do not count, as another gateway knows. */
  function excuse(notes: readonly CrashNote[]): void {
    for (const note of notes) removeCrash(memory, note, CrashRemoval.Excused);
    forget(notes);
  }

  function forget(notes: readonly CrashNote[]): void {
    if (notes.length === 0) return;
    for (const note of notes) {
      deletions.set(keyOf(note), note);
      const oldest = deletions.keys().next().value;
      if (deletions.size <= MAX_DELETIONS || oldest === undefined) continue;
      deletions.delete(oldest);
      count('crash_deletions_lost_total');
    }
    start();
  }

  return {
    publish: start,
    forget,
    stop: () => {
      isStopped = true;
    },
  };
}

function keyOf({ content, target }: CrashNote): string {
  return `${content}/${target}`;
}
