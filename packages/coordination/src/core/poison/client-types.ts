/**
 * Types of the work on the ledger.
 */
import type {
  RevisionCompare,
  StoredValue,
  StoredWrite,
  TransactionOutcome,
} from '../claims/key-value.js';
import type { Random } from '../random/random.js';
import type { LoneRunEnd, LoneRunOutcome } from '../records/drive-types.js';
import type { Place } from '../records/place.js';
import type { LoneProbe } from '../records/messages.js';
import type { IsConvicted, LoneRun } from './ledger.js';

/** Bounds and guards. */
export interface PoisonOptions {
  readonly maxOperations: number;
  readonly retryMs: number;
  /** Time for which a crash is reported again and again through an outage. */
  readonly reportForMs: number;
  /** What a suspect waits before it asks again. */
  readonly laterMs: number;
  readonly isConvicted: IsConvicted;
  readonly mayBegin: MayBegin;
}

/** Decides from the lone run that is written whether another one may begin. */
export type MayBegin = (standing: LoneRun | null, attemptId: string) => boolean;

/** Kinds of work. */
export enum PoisonWorkKind {
  ReportCrash = 'report-crash',
  AskLoneRun = 'ask-lone-run',
  Settle = 'settle',
}

/** One piece of work. */
export type PoisonWork =
  | {
      readonly kind: PoisonWorkKind.ReportCrash;
      readonly service: string;
      readonly bodyHash: string;
      readonly attemptId: string;
    }
  | {
      readonly kind: PoisonWorkKind.AskLoneRun;
      readonly service: string;
      readonly bodyHash: string;
      readonly attemptId: string;
      readonly place: Place;
      /** Incarnation of the place's sidecar, as membership has it. */
      readonly sidecarIncarnation: string;
    }
  | {
      readonly kind: PoisonWorkKind.Settle;
      readonly service: string;
      readonly bodyHash: string;
      readonly attemptId: string;
      readonly end: LoneRunEnd;
    };

/** Work under way. */
export interface Operation {
  readonly id: string;
  readonly work: PoisonWork;
  readonly startedAtMs: number;
  ledger: StoredValue | null;
  lone: StoredValue | null;
  /** Set once the standing lone run is known to be over: it may be replaced at its revision. */
  mayReplace: boolean;
  retryAtMs: number | null;
}

/** All work under way, by its id. */
export interface PoisonState {
  readonly operations: Map<string, Operation>;
}

/** What the machine is told. */
export enum PoisonEventKind {
  Asked = 'asked',
  Read = 'read',
  Transacted = 'transacted',
  /** A read or transaction without an answer. */
  CallFailed = 'call-failed',
  Probed = 'probed',
  Tick = 'tick',
}

/** One thing that the machine is told. */
export type PoisonEvent =
  | { readonly kind: PoisonEventKind.Asked; readonly id: string; readonly work: PoisonWork }
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
  | { readonly kind: PoisonEventKind.Probed; readonly id: string; readonly probe: LoneProbe }
  | { readonly kind: PoisonEventKind.Tick };

/** What the machine asks to be done. */
export enum PoisonEffectKind {
  /** Read both keys; comes back in one `Read`. */
  Read = 'read',
  Transact = 'transact',
  Probe = 'probe',
  LoneRunReplied = 'lone-run-replied',
  /** Tell every sidecar and entry of the service, at once and without the key-value service. */
  Announce = 'announce',
}

/** One thing to be done. */
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
      /** Incarnation of the place's sidecar that the lone run is written for. */
      readonly sidecarIncarnation: string;
      readonly crashes: number;
      readonly retryAfterMs: number;
    }
  | {
      readonly kind: PoisonEffectKind.Announce;
      readonly service: string;
      readonly bodyHash: string;
      /** Crashed attempts; none when the content is cleared. */
      readonly crashedAttemptIds: readonly string[];
    };

/** What varies from call to call. */
export interface PoisonContext {
  readonly nowMs: number;
  readonly random: Random;
  readonly options: PoisonOptions;
}
