/**
 * Types of the poison client: the operations on the crash ledger, the events that the client handles
 * and the effects that it returns.
 */
import type {
  RevisionCompare,
  StoredValue,
  StoredWrite,
  TransactionOutcome,
} from '../claims/key-value.js';
import type { Random } from '../random/random.js';
import type { LoneRunEnd, LoneRunOutcome } from '../records/request-types.js';
import type { Place } from '../records/place.js';
import type { LoneRunStatus } from '../records/messages.js';
import type { IsConvicted, LoneRun } from './ledger.js';

/** Limits and decision functions of the poison client. */
export interface PoisonOptions {
  readonly maxOperations: number;
  /** Average delay before a failed read or transaction is retried. */
  readonly retryMs: number;
  /** How long a crash report is retried through an outage before it is dropped. */
  readonly reportRetryWindowMs: number;
  /** Delay after which a suspect that got no lone run should request one again. */
  readonly loneRunRetryMs: number;
  readonly isConvicted: IsConvicted;
  readonly mayBeginLoneRun: MayBeginLoneRun;
}

/** Decides from the stored lone run of a service whether the lone run of an attempt may begin. */
export type MayBeginLoneRun = (storedLoneRun: LoneRun | null, attemptId: string) => boolean;

/** Kinds of operations on the ledger. */
export enum PoisonWorkKind {
  /** Adds a crash to the ledger. */
  ReportCrash = 'report-crash',
  /** Requests the lone run of a service for a suspect. */
  RequestLoneRun = 'ask-lone-run',
  /** Records how a lone run ended, and removes it. */
  Settle = 'settle',
}

/** An operation on the ledger, as requested. */
export type PoisonWork =
  | {
      readonly kind: PoisonWorkKind.ReportCrash;
      readonly service: string;
      readonly bodyHash: string;
      readonly attemptId: string;
    }
  | {
      readonly kind: PoisonWorkKind.RequestLoneRun;
      readonly service: string;
      readonly bodyHash: string;
      readonly attemptId: string;
      readonly place: Place;
      /** Incarnation of the sidecar in `place`, according to membership. */
      readonly sidecarIncarnation: string;
    }
  | {
      readonly kind: PoisonWorkKind.Settle;
      readonly service: string;
      readonly bodyHash: string;
      readonly attemptId: string;
      readonly end: LoneRunEnd;
    };

/** A pending operation. */
export interface Operation {
  readonly id: string;
  readonly work: PoisonWork;
  readonly startedAtMs: number;
  /** Ledger entry of the content, as last read. */
  ledger: StoredValue | null;
  /** Lone run of the service, as last read. */
  lone: StoredValue | null;
  /** True once the stored lone run is known to be over: it may be replaced at its revision. */
  mayReplace: boolean;
  retryAtMs: number | null;
}

/** State of the poison client: its pending operations, by id. */
export interface PoisonState {
  readonly operations: Map<string, Operation>;
}

/** Kinds of events that the client handles. */
export enum PoisonEventKind {
  Requested = 'asked',
  Read = 'read',
  Transacted = 'transacted',
  /** A read or transaction got no answer. */
  CallFailed = 'call-failed',
  Probed = 'probed',
  Tick = 'tick',
}

/** An event that the client handles. */
export type PoisonEvent =
  | { readonly kind: PoisonEventKind.Requested; readonly id: string; readonly work: PoisonWork }
  | {
      readonly kind: PoisonEventKind.Read;
      readonly id: string;
      readonly ledger: StoredValue | null;
      readonly lone: StoredValue | null;
    }
  | {
      readonly kind: PoisonEventKind.Transacted;
      readonly id: string;
      readonly outcome: TransactionOutcome;
    }
  | { readonly kind: PoisonEventKind.CallFailed; readonly id: string }
  | { readonly kind: PoisonEventKind.Probed; readonly id: string; readonly probe: LoneRunStatus }
  | { readonly kind: PoisonEventKind.Tick };

/** Kinds of effects that the client requests. */
export enum PoisonEffectKind {
  /** Read both keys; the result is delivered as one `Read` event. */
  Read = 'read',
  Transact = 'transact',
  /** Ask the sidecar of a lone run for its status. */
  Probe = 'probe',
  LoneRunReplied = 'lone-run-replied',
  /** Notify every sidecar and entry of the service immediately, without the key-value service. */
  Announce = 'announce',
}

/** An effect for the caller to perform. */
export type PoisonEffect =
  | {
      readonly kind: PoisonEffectKind.Read;
      readonly id: string;
      readonly ledgerKey: string;
      readonly loneKey: string;
    }
  | {
      readonly kind: PoisonEffectKind.Transact;
      readonly id: string;
      readonly compares: readonly RevisionCompare[];
      readonly writes: readonly StoredWrite[];
    }
  | { readonly kind: PoisonEffectKind.Probe; readonly id: string; readonly loneRun: LoneRun }
  | {
      readonly kind: PoisonEffectKind.LoneRunReplied;
      readonly id: string;
      readonly outcome: LoneRunOutcome;
      readonly place: Place | null;
      /** Incarnation of the sidecar that the lone run is stored for. */
      readonly sidecarIncarnation: string;
      readonly crashes: number;
      readonly retryAfterMs: number;
    }
  | {
      readonly kind: PoisonEffectKind.Announce;
      readonly service: string;
      readonly bodyHash: string;
      /** Attempts that crashed; empty when the content is cleared of suspicion. */
      readonly crashedAttemptIds: readonly string[];
    };

/** Inputs of one call to the client. */
export interface PoisonContext {
  readonly nowMs: number;
  readonly random: Random;
  readonly options: PoisonOptions;
}
