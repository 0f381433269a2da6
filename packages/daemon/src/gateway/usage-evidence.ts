/**
 * Collects what this gateway and others know about the usage reports that were made before, to decide
 * whether the counts of a window may be fixed that the store does not have.
 */
import {
  type ReportHistory,
  type ReportTimes,
  type UsageEvidence,
  type UsageWitness,
  completeSinceMs,
  eraSeenFirstMs,
  isUnreported,
} from '@cassiamast/coordination';
import type { RecentGateways } from './recent-gateways.js';

/** What a gateway tells the one that reports about itself. */
export interface UsageTestimony {
  /** How long its process has run. */
  readonly runsForMs: number;
  /** The store's era, and for how long it has known it. */
  readonly era: number;
  readonly eraSeenForMs: number;
  /** How many gateways it knew lately, itself included. */
  readonly gatewayCount: number;
}

/** When a question was asked and answered, on the monotonic clock. */
export interface AnswerTimes {
  readonly askedAtMs: number;
  readonly answeredAtMs: number;
}

/** Dependencies of the evidence. */
export interface UsageEvidenceOptions {
  readonly recent: Pick<RecentGateways, 'others'>;
  readonly times: ReportTimes;
  /** Whether nobody else can have fixed counts since this gateway gained the lease. */
  readonly isOnlyFixer: () => boolean;
  readonly nowMs: () => number;
}

/** The evidence that a gateway has collected. */
export interface UsageEvidenceCollector {
  /** The highest era of the store that this gateway knows. */
  readonly era: () => number;
  /**
   * Records an era of the store; returns whether the store has come back from an older copy since.
   *
   * @param isOnlyFixer - Whether nobody else can have fixed counts since this gateway gained the lease.
   */
  readonly noteEra: (era: number, isOnlyFixer?: boolean) => boolean;
  /**
   * Called when the lease was gained.
   *
   * @param earlierSendsUntilMs - The time until which the holder before may send.
   * @param isRegained - Whether nobody else can have had the lease since this gateway lost it.
   */
  readonly noteGained: (earlierSendsUntilMs: number, isRegained: boolean) => void;
  readonly testimony: () => UsageTestimony;
  readonly noteTestimony: (id: string, testimony: UsageTestimony, times: AnswerTimes) => void;
  /** Records the history that is in the store. */
  readonly noteHistory: (history: ReportHistory) => void;
  /** The first window of the record in the store; null if it has none of this era. */
  readonly recordedSinceWindow: () => number | null;
  /** Whether the record in the store is known, or none is needed. */
  readonly isHistoryKnown: () => boolean;
  /**
   * When this gateway gained the lease that it held until the era began: it knows all counts that were
   * fixed of windows that ended later. Null if it had none.
   */
  readonly heldSinceMs: () => number | null;
  /** Returns the earliest end of windows whose counts can only have been fixed in this era. */
  readonly completeSinceMs: () => number;
  /** Returns what decides about windows, for a log line. */
  readonly describe: () => Readonly<Record<string, number | null>>;
  /** Returns whether a window was not reported, given that the store lacks its counts. */
  readonly isUnreported: (window: number, endMs: number) => boolean;
}

/** Creates the evidence of a process that starts. */
export function createUsageEvidence(options: UsageEvidenceOptions): UsageEvidenceCollector {
  const { recent, nowMs } = options;
  const startedAtMs = nowMs();
  let era = 0;
  let isEraSeen = false;
  let eraSeenAtMs = startedAtMs;
  let gainedAtMs = Infinity;
  /** When the lease was gained that this gateway held as the era began; null if it held none. */
  let heldSinceMs: number | null = null;
  let earlierSendsUntilMs = Infinity;
  let history: ReportHistory | null = null;
  const others = new Map<string, UsageWitness>();

  function noteEra(seen: number, isOnlyFixer?: boolean): boolean {
    const isFirst = !isEraSeen;
    isEraSeen = true;
    if (seen <= era) return false;
    era = seen;
    eraSeenAtMs = nowMs();
    heldSinceMs = (isOnlyFixer ?? options.isOnlyFixer()) ? gainedAtMs : null;
    history = null;
    return !isFirst;
  }

  const gatewayCount = (): number => recent.others().length + 1;
  const ownWitness = (): UsageWitness => ({
    startedAtMs,
    era,
    eraSeenAtMs,
    gatewayCount: gatewayCount(),
  });

  const evidence = (): UsageEvidence => ({
    era,
    completeSinceWindow: history?.sinceWindow ?? null,
    heldSinceMs,
    witnesses: [ownWitness(), ...others.values()],
  });

  return {
    era: () => era,
    noteEra,
    noteGained: (untilMs, isRegained) => {
      others.clear();
      if (!isRegained) gainedAtMs = nowMs();
      earlierSendsUntilMs = untilMs;
    },
    testimony: () => {
      const now = nowMs();
      return {
        runsForMs: now - startedAtMs,
        era,
        eraSeenForMs: now - eraSeenAtMs,
        gatewayCount: gatewayCount(),
      };
    },
    noteTestimony: (id, testimony, { askedAtMs, answeredAtMs }) => {
      // An earlier answer may come from before what the holder before has told since.
      if (askedAtMs < earlierSendsUntilMs) return;
      others.set(id, {
        startedAtMs: answeredAtMs - testimony.runsForMs,
        era: testimony.era,
        eraSeenAtMs: answeredAtMs - testimony.eraSeenForMs,
        gatewayCount: testimony.gatewayCount,
      });
    },
    noteHistory: (stored) => {
      if (stored.completeInEra === era) history = stored;
    },
    recordedSinceWindow: () => history?.sinceWindow ?? null,
    heldSinceMs: () => heldSinceMs,
    isHistoryKnown: () => era === 0 || history !== null,
    completeSinceMs: () => completeSinceMs(evidence()),
    describe: () => ({
      era,
      sinceWindow: history?.sinceWindow ?? null,
      eraSeenForMs: Math.round(nowMs() - eraSeenFirstMs(evidence())),
      witnesses: others.size + 1,
    }),
    isUnreported: (window, endMs) => isUnreported(window, endMs, evidence(), options.times),
  };
}
