/**
 * The types of the crashes world: gateways with their memory of crashes, the store that they share,
 * targets that crash, and what was seen of each content.
 */
import type {
  AttemptEnd,
  CrashEvidence,
  CrashMemory,
  CrashNote,
  Random,
  addCrash,
  refuteCrashes,
  recordAnswerOf,
  retainListedCrashes,
  rewriteLostCrashes,
} from '@cassiamast/coordination';
import type { FaultCounts } from '../../kit/faults.js';
import type { Scheduler } from '../../kit/scheduler.js';

export const GATEWAYS = 5;
export const TARGETS = 5;
/** Crashes every target that runs it. */
export const CULPRIT = 'culprit';
/** Sent by many callers all the time; harmless. */
export const POPULAR = 'popular';
/** Sent now and then, and always answered with a failure; harmless. */
export const SELDOM = 'seldom';

/** One crash of the culprit. */
export interface CulpritCrash {
  readonly target: string;
  readonly atMs: number;
  /** Whether it closed the connections of its target. */
  readonly closedConnections: boolean;
  /** Index of the place whose gateway sent it. */
  readonly witness: number;
  /** The gateways that lived then. */
  readonly gateways: readonly SimulatedGateway[];
  /** Whether nobody can know of it any more, so that it does not count. */
  isLost: boolean;
}

/** The guards of the gateways. */
export interface CrashesOptions {
  readonly addCrash: typeof addCrash;
  readonly refuteCrashes: typeof refuteCrashes;
  readonly recordAnswerOf: typeof recordAnswerOf;
  readonly retainListedCrashes: typeof retainListedCrashes;
  readonly rewriteLostCrashes: typeof rewriteLostCrashes;
  /** The ends of attempts that make their content suspect. */
  readonly suspiciousEnds: readonly AttemptEnd[];
  /** Whether an answer clears its content. */
  readonly clears: (isSuccess: boolean) => boolean;
  /** Time that a crash is kept before it is written. */
  readonly writeDelayMs: number;
  /** Whether a write that failed is repeated. */
  readonly repeatsWrites: boolean;
  /** Whether other gateways are told of what can't be written. */
  readonly tellsPeers: boolean;
  /** Time after which a crash is removed from the store; Infinity to keep it. */
  readonly storedForMs: number;
}

/** A running gateway. */
export interface SimulatedGateway {
  readonly index: number;
  isAlive: boolean;
  pausedUntilMs: number;
  readonly memory: CrashMemory;
  readonly evidence: CrashEvidence;
  /** Crashes that it no longer tries to write. */
  readonly givenUp: Set<string>;
  /** When it tells others of a crash again. */
  readonly tellAgain: Map<string, { readonly pauseMs: number; readonly atMs: number }>;
  /** Deletions that the store has not done yet. */
  deletions: readonly CrashNote[];
  readRevision: number;
  isWriting: boolean;
}

/** The place of a gateway, whose process is replaced. */
export interface Place {
  readonly index: number;
  gateway: SimulatedGateway;
  /** Whether the store rejects this gateway. */
  isCut: boolean;
  /** Whether it reaches no target. */
  isCutFromTargets: boolean;
  /** Since when it has been in touch with the store, or Infinity. */
  inTouchSinceMs: number;
}

/** An attempt of a gateway at a target. */
export interface AttemptInFlight {
  /** Index of the gateway's place. */
  readonly place: number;
  readonly end: (how: AttemptEnd) => void;
}

/** One start of a target. */
export interface SimulatedTarget {
  readonly id: string;
  isUp: boolean;
  /** Whether its entry is in the store. */
  isListed: boolean;
  listedSinceMs: number;
  lastBytesAtMs: number;
  /** The attempts in flight there. */
  readonly attempts: Set<AttemptInFlight>;
}

/** A change of the crashes in the store. */
export interface StoredChange extends CrashNote {
  readonly revision: number;
  readonly isRemoved: boolean;
}

/** The store. */
export interface SimulatedStore {
  /** Continues over the eras of the store. */
  revision: number;
  readonly crashes: Map<string, CrashNote>;
  changes: StoredChange[];
  /** Changes up to this revision are gone. */
  droppedRevision: number;
  isDown: boolean;
  delayMs: number;
  /** Since when it has answered fast, or Infinity. */
  steadySinceMs: number;
}

/** The whole world. */
export interface Simulation {
  readonly scheduler: Scheduler;
  readonly random: Random;
  readonly counts: FaultCounts;
  readonly options: CrashesOptions;
  readonly store: SimulatedStore;
  readonly places: Place[];
  targets: SimulatedTarget[];
  startedTargets: number;
  readonly crashedTargets: Set<string>;
  /** Whether the culprit's caller sends it. */
  isCulpritAbout: boolean;
  /** Whether many callers send requests. */
  isBusy: boolean;
  /** Whether crashes close the connections of their targets. */
  closesConnections: boolean;
  /** Share of the requests that targets answer with a failure of their own. */
  ownFailureShare: number;
  /** Share of the answers that are lost although the target lives. */
  lostAnswerShare: number;
  culpritCrashes: CulpritCrash[];
  /** Arrivals of the culprit from gateways in touch. */
  culpritArrivalsAtMs: number[];
  /** Rejections of harmless requests since the last check. */
  wronglyRejected: string[];
}
