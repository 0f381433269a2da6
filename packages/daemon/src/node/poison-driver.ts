/**
 * Maintains the ledger of request contents that crash targets, and the suspicions known to this
 * process. A new suspicion is sent to every member at once: crashes are rare, and the same content
 * must not crash a second target before the suspicion has spread.
 */
import {
  DEFAULT_POISON_OPTIONS,
  type LedgerSnapshot,
  LoneRunStatus,
  type Member,
  type PoisonEffect,
  PoisonEffectKind,
  type PoisonEvent,
  PoisonEventKind,
  type PoisonWork,
  PoisonWorkKind,
  type ProbeMessage,
  type Random,
  type Suspicion,
  snapshotOf,
  mergeLedger,
  clearSuspicion,
  createPoisonClient,
  createSuspicionTable,
  handlePoisonEvent,
  ledgerPrefixOf,
  recordCrashes,
  parseLedgerEntry,
  suspicionOf,
} from '@cassiamast/coordination';
import type { KeyValuePort } from '@cassiamast/ports';
import { RpcMethod } from '../protocol/methods.js';
import type { Child } from '../supervisor/supervisor.js';
import type { RpcClient } from './rpc-client.js';
import type { Telemetry } from './telemetry.js';
import { createPeriodic } from './timers.js';

const TICK_MS = 100;
const PROBE_TIMEOUT_MS = 1_000;
const MAX_SUSPICIONS = 4_096;
const MAX_PEERS_CALLED = 5;

/** A reply to a request for a lone run. */
export type LoneRunReply = Extract<PoisonEffect, { kind: PoisonEffectKind.LoneRunReplied }>;

/** The answer to `suspicion.read`. */
export interface SuspicionAnswer {
  readonly isRead: boolean;
  /** The ids of crashed attempts by content hash. */
  readonly contents: readonly (readonly [string, readonly string[]])[];
}

/** Dependencies of the driver. */
export interface PoisonDriverOptions {
  readonly nowMs: () => number;
  readonly random: Random;
  readonly keyValue: KeyValuePort;
  readonly rpc: RpcClient;
  readonly telemetry: Telemetry;
  readonly present: () => readonly Member[];
  readonly mayBeAlive: (memberId: string) => boolean;
  readonly sendDatagram: (member: string, method: RpcMethod, params: unknown) => void;
  readonly onLoneRunReply: (reply: LoneRunReply) => void;
  /** Called when a content becomes suspect or is cleared. */
  readonly onSuspicion: (bodyHash: string, isSuspect: boolean) => void;
}

/** Access to the ledger and to the suspicions of this process. */
export interface PoisonDriver {
  readonly child: Child;
  readonly submitWork: (id: string, work: PoisonWork) => void;
  readonly suspicionOf: (bodyHash: string) => Suspicion;
  /** Records a crash that this process observed, before the ledger contains it. */
  readonly noteCrash: (bodyHash: string, attemptId: string) => void;
  /** Applies a suspicion that arrived in a datagram. */
  readonly receiveSuspicion: (params: unknown) => void;
  /** Returns the known suspicions for a peer that can't read the ledger. */
  readonly answerRead: () => SuspicionAnswer;
  /** Reads the ledger of these services, so that a new process runs no known suspect in a batch. */
  readonly readLedger: (services: readonly string[]) => Promise<void>;
  readonly isRead: () => boolean;
}

/** Creates the driver. */
export function createPoisonDriver(options: PoisonDriverOptions): PoisonDriver {
  const { keyValue, rpc, telemetry } = options;
  const state = createPoisonClient();
  const suspicions = createSuspicionTable(MAX_SUSPICIONS);

  function handle(event: PoisonEvent): void {
    const { random } = options;
    const context = { nowMs: options.nowMs(), random, options: DEFAULT_POISON_OPTIONS };
    for (const effect of handlePoisonEvent(state, event, context)) perform(effect);
  }

  function perform(effect: PoisonEffect): void {
    switch (effect.kind) {
      case PoisonEffectKind.Read:
        void read(effect.id, effect.ledgerKey, effect.loneKey);
        return;
      case PoisonEffectKind.Transact:
        void transact(effect);
        return;
      case PoisonEffectKind.Probe:
        void probe(effect);
        return;
      case PoisonEffectKind.LoneRunReplied:
        options.onLoneRunReply(effect);
        return;
      case PoisonEffectKind.Announce:
        announce(effect.bodyHash, effect.crashedAttemptIds);
    }
  }

  async function read(id: string, ledgerKey: string, loneKey: string): Promise<void> {
    telemetry.count('key_value_reads_total', 2);
    const [ledger, lone] = await Promise.all([keyValue.get(ledgerKey), keyValue.get(loneKey)]);
    if (ledger.isErr() || lone.isErr()) handle({ kind: PoisonEventKind.CallFailed, id });
    else handle({ kind: PoisonEventKind.Read, id, ledger: ledger.value, lone: lone.value });
  }

  async function transact(
    effect: Extract<PoisonEffect, { kind: PoisonEffectKind.Transact }>,
  ): Promise<void> {
    telemetry.count('key_value_writes_total');
    const result = await keyValue.transact(effect.compares, effect.writes);
    const { id } = effect;
    handle(
      result.match<PoisonEvent>(
        (outcome) => ({ kind: PoisonEventKind.Transacted, id, outcome }),
        () => ({ kind: PoisonEventKind.CallFailed, id }),
      ),
    );
  }

  async function probe(
    effect: Extract<PoisonEffect, { kind: PoisonEffectKind.Probe }>,
  ): Promise<void> {
    const { loneRun, id } = effect;
    const { attemptId, sidecarIncarnation, place } = loneRun;
    const message: ProbeMessage = { attemptId, sidecarIncarnation };
    const answer = await rpc.call<LoneRunStatus>(place.sidecar, RpcMethod.LoneRunProbe, message, {
      timeoutMs: PROBE_TIMEOUT_MS,
    });
    // A sidecar that does not answer but is not known to be dead may be paused during the run.
    const unansweredProbe = options.mayBeAlive(place.sidecar)
      ? LoneRunStatus.Running
      : LoneRunStatus.Gone;
    handle({ kind: PoisonEventKind.Probed, id, probe: answer.unwrapOr(unansweredProbe) });
  }

  function applySuspicion(bodyHash: string, crashedAttemptIds: readonly string[]): void {
    const isSuspect = crashedAttemptIds.length > 0;
    if (isSuspect) recordCrashes(suspicions, bodyHash, crashedAttemptIds, false);
    else clearSuspicion(suspicions, bodyHash);
    options.onSuspicion(bodyHash, isSuspect);
  }

  function announce(bodyHash: string, crashedAttemptIds: readonly string[]): void {
    applySuspicion(bodyHash, crashedAttemptIds);
    for (const member of options.present()) {
      options.sendDatagram(member.id, RpcMethod.SuspicionNote, [bodyHash, crashedAttemptIds]);
    }
  }

  /** Returns the ledger of the services, or null if the key-value service is unavailable. */
  async function listLedger(services: readonly string[]): Promise<LedgerSnapshot | null> {
    const ledger = new Map<string, readonly string[]>();
    for (const service of services) {
      telemetry.count('key_value_reads_total');
      const prefix = ledgerPrefixOf(service);
      const entries = await keyValue.listWithLongTimeout(prefix, MAX_SUSPICIONS);
      if (entries.isErr()) return null;
      for (const entry of entries.value) {
        ledger.set(entry.key.slice(prefix.length), parseLedgerEntry(entry).crashedAttemptIds);
      }
    }
    return ledger;
  }

  /** During an outage, copies the suspicions of a peer that has read the ledger. */
  async function readFromPeer(): Promise<void> {
    if (suspicions.isRead) return;
    for (const peer of options.present().slice(0, MAX_PEERS_CALLED)) {
      const answer = await rpc.call<SuspicionAnswer>(
        peer.id,
        RpcMethod.SuspicionRead,
        {},
        {
          timeoutMs: PROBE_TIMEOUT_MS,
        },
      );
      if (answer.isErr() || !answer.value.isRead) continue;
      applyLedger(new Map(answer.value.contents), null);
      return;
    }
  }

  function applyLedger(ledger: LedgerSnapshot, service: string | null): void {
    const { cleared, unwritten } = mergeLedger(suspicions, ledger);
    for (const [bodyHash] of ledger) options.onSuspicion(bodyHash, true);
    for (const bodyHash of cleared) options.onSuspicion(bodyHash, false);
    if (service === null) return;
    for (const [bodyHash, attemptIds] of unwritten) {
      for (const attemptId of attemptIds) {
        const kind = PoisonWorkKind.ReportCrash;
        const work: PoisonWork = { kind, service, bodyHash, attemptId };
        handle({ kind: PoisonEventKind.Requested, id: `${attemptId}|again`, work });
      }
    }
  }

  return {
    submitWork: (id, work) => {
      handle({ kind: PoisonEventKind.Requested, id, work });
    },
    suspicionOf: (bodyHash) =>
      suspicionOf(suspicions, bodyHash, DEFAULT_POISON_OPTIONS.isConvicted),
    noteCrash: (bodyHash, attemptId) => {
      applySuspicion(bodyHash, [attemptId]);
    },
    receiveSuspicion: (params) => {
      const [bodyHash, attemptIds] = Array.isArray(params) ? (params as unknown[]) : [];
      if (typeof bodyHash !== 'string' || !Array.isArray(attemptIds)) return;
      applySuspicion(bodyHash, attemptIds.map(String));
    },
    answerRead: () => ({ isRead: suspicions.isRead, contents: [...snapshotOf(suspicions)] }),
    readLedger: async (services) => {
      const [first] = services;
      if (first === undefined) return;
      const ledger = await listLedger(services);
      if (ledger === null) await readFromPeer();
      else applyLedger(ledger, first);
    },
    isRead: () => suspicions.isRead,
    child: createPeriodic(
      'poison-ledger',
      () => TICK_MS,
      () => {
        handle({ kind: PoisonEventKind.Tick });
      },
    ),
  };
}
