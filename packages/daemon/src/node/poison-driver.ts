/**
 * Runs the work on the ledger of contents that crash targets, and keeps what this process knows of
 * suspects. News of a suspect goes to every member at once: crashes are rare, and a second target
 * must not be lost to the same content while the news travels.
 */
import {
  DEFAULT_POISON_OPTIONS,
  LoneProbe,
  type Member,
  type PoisonEffect,
  PoisonEffectKind,
  type PoisonEvent,
  PoisonEventKind,
  type PoisonWork,
  type ProbeMessage,
  type Random,
  type Suspicion,
  createPoisonClient,
  createSuspicionTable,
  handlePoisonEvent,
  ledgerPrefixOf,
  noteSuspicion,
  parseLedgerEntry,
  suspicionOf,
} from '@cassiamast/coordination';
import type { KeyValuePort } from '@cassiamast/platform';
import { RpcMethod } from '../protocol/methods.js';
import type { Child } from '../supervisor/supervisor.js';
import type { RpcClient } from './rpc-client.js';
import type { Telemetry } from './telemetry.js';
import { createPeriodic } from './timers.js';

const TICK_MS = 100;
const PROBE_TIMEOUT_MS = 1_000;
const MAX_SUSPICIONS = 4_096;

/** A reply to a request for a lone run. */
export type LoneRunReply = Extract<PoisonEffect, { kind: PoisonEffectKind.LoneRunReplied }>;

/** What the driver needs. */
export interface PoisonDriverOptions {
  readonly nowMs: () => number;
  readonly random: Random;
  readonly keyValue: KeyValuePort;
  readonly rpc: RpcClient;
  readonly telemetry: Telemetry;
  readonly present: () => readonly Member[];
  readonly isLive: (memberId: string) => boolean;
  readonly sendDatagram: (member: string, method: RpcMethod, params: unknown) => void;
  readonly onLoneRunReply: (reply: LoneRunReply) => void;
  /** Called when a content becomes suspect (crashes above 0) or is cleared. */
  readonly onSuspicion: (bodyHash: string, crashes: number) => void;
}

/** Work on the ledger. */
export interface PoisonDriver {
  readonly child: Child;
  readonly ask: (id: string, work: PoisonWork) => void;
  readonly suspicionOf: (bodyHash: string) => Suspicion;
  /** Takes in news that came in a datagram. */
  readonly heard: (params: unknown) => void;
  /** Reads the ledger of these services: a fresh process must not run a known suspect in a batch. */
  readonly readLedger: (services: readonly string[]) => Promise<void>;
}

/** Makes the driver. */
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
        announce(effect.bodyHash, effect.crashes);
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
    const answer = await rpc.call<LoneProbe>(place.sidecar, RpcMethod.LoneRunProbe, message, {
      timeoutMs: PROBE_TIMEOUT_MS,
    });
    // A silent sidecar that membership still believes alive may be paused with the run in it.
    const silent = options.isLive(place.sidecar) ? LoneProbe.Running : LoneProbe.Gone;
    handle({ kind: PoisonEventKind.Probed, id, probe: answer.unwrapOr(silent) });
  }

  function take(bodyHash: string, crashes: number): void {
    noteSuspicion(suspicions, bodyHash, crashes);
    options.onSuspicion(bodyHash, crashes);
  }

  function announce(bodyHash: string, crashes: number): void {
    take(bodyHash, crashes);
    for (const member of options.present()) {
      options.sendDatagram(member.id, RpcMethod.SuspicionNote, [bodyHash, crashes]);
    }
  }

  return {
    ask: (id, work) => {
      handle({ kind: PoisonEventKind.Asked, id, work });
    },
    suspicionOf: (bodyHash) => suspicionOf(suspicions, bodyHash),
    heard: (params) => {
      const [bodyHash, crashes] = Array.isArray(params) ? (params as unknown[]) : [];
      if (typeof bodyHash !== 'string' || typeof crashes !== 'number') return;
      take(bodyHash, crashes);
    },
    readLedger: async (services) => {
      for (const service of services) {
        telemetry.count('key_value_reads_total');
        const prefix = ledgerPrefixOf(service);
        const entries = await keyValue.list(prefix, MAX_SUSPICIONS);
        for (const entry of entries.unwrapOr([])) {
          const { crashedAttemptIds } = parseLedgerEntry(entry);
          take(entry.key.slice(prefix.length), crashedAttemptIds.length);
        }
      }
    },
    child: createPeriodic(
      'poison-ledger',
      () => TICK_MS,
      () => {
        handle({ kind: PoisonEventKind.Tick });
      },
    ),
  };
}
