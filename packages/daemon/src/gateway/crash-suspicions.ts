/**
 * Finds out which targets have crashed. An attempt that ended without a complete answer makes its
 * content suspect; opening a connection to the target, its answers to later requests and its entry in
 * the store decide the suspicion.
 */
import { setTimeout as sleep } from 'node:timers/promises';
import {
  AttemptEnd,
  type CrashNote,
  type FleetView,
  type CrashSuspicion,
  type TargetEntry,
  createCrashEvidence,
  decideSuspicions,
  isSuspected,
  recordDown,
  recordLife,
  recordReached,
  suspect,
  takeSurvivedAnswers,
} from '@cassiamast/coordination';
import type { IsReachable } from '../node/reachable.js';
import type { GatewayLog } from './gateway-log.js';
import type { TargetActivity } from './target-activity.js';

/** Attempts at one target that fail together are decided by one connection to it. */
const PROBE_DELAY_MS = 10;
/** A live VM accepts a connection within this time. */
const PROBE_TIMEOUT_MS = 300;
/** Pause between two connections to a target. */
const PROBE_PAUSE_MS = 500;
/** Attempts that fail this soon after a target was found down have failed for that reason. */
const DOWN_FOR_MS = 2000;

/** Dependencies of the suspicions. */
export interface CrashSuspicionsOptions {
  readonly view: FleetView;
  readonly pulse: Pick<TargetActivity, 'lastBytesAtMs'>;
  readonly isReachable: IsReachable;
  readonly nowMs: () => number;
  readonly log: GatewayLog;
  readonly count: (name: string) => void;
  /** Called for each crash that is found. */
  readonly onCrash: (note: CrashNote, reason: string) => void;
  /** Called for each answer without a known end whose target has lived on. */
  readonly onSurvived: (note: CrashNote) => void;
}

/** Decides suspicions. */
export interface CrashSuspicions {
  /**
   * Records that an attempt at a target ended without an answer that is known to be complete. Returns
   * whether no like attempt was suspected before.
   *
   * @param mustProbe - Whether a connection is opened to find out whether the target is down.
   */
  readonly suspect: (
    content: string,
    target: TargetEntry,
    end: AttemptEnd,
    mustProbe: boolean,
  ) => boolean;
  /** Records an answer of a target to a request that was sent at a time. */
  readonly noteAnswer: (target: string, sentAtMs: number) => void;
  /** Records that a target's entry disappeared although it did not announce its departure. */
  readonly noteGone: (target: TargetEntry) => void;
  /** Records that another start of a target has taken its name. */
  readonly noteReplaced: (target: TargetEntry) => void;
  /** Resolves when it is known whether a target accepts connections, if that is being found out. */
  readonly whenProbed: (target: string) => Promise<void>;
  /** Decides the suspicions whose time is over. */
  readonly tick: () => void;
}

/** Connections to one target that find out whether it is down. */
interface Probes {
  isWaiting: boolean;
  /** Resolves when the latest one is over. */
  latest: Promise<void>;
  /** Until when its attempts count as failed by a crash. */
  downUntilMs: number;
}

const NO_PROBES: Probes = { isWaiting: false, latest: Promise.resolve(), downUntilMs: 0 };

/** Creates the suspicions. */
export function createCrashSuspicions(options: CrashSuspicionsOptions): CrashSuspicions {
  const { view, pulse, isReachable, nowMs, log, count, onCrash, onSurvived } = options;
  const evidence = createCrashEvidence();
  const probes = new Map<string, Probes>();

  function confirm(suspicions: readonly CrashSuspicion[], reason: string): void {
    for (const { content, target } of suspicions) onCrash({ content, target }, reason);
  }

  function survive(suspicions: readonly CrashSuspicion[]): void {
    for (const { content, target, end } of suspicions) {
      if (end === AttemptEnd.Closed) onSurvived({ content, target });
    }
  }

  function drop(suspicions: readonly CrashSuspicion[], reason: string): void {
    for (const { content, target, end } of suspicions) {
      // These ends are ordinary and only of interest if the target crashes.
      if (end === AttemptEnd.Abandoned || end === AttemptEnd.Closed) continue;
      count('crash_suspicions_dropped_total');
      log.info('crash suspicion dropped', { content, target, reason });
    }
  }

  function probe(target: TargetEntry, pauseMs: number): void {
    const known = probes.get(target.id) ?? { ...NO_PROBES };
    if (known.isWaiting) return;
    known.isWaiting = true;
    probes.set(target.id, known);
    known.latest = sleep(pauseMs).then(() => runProbe(target, known));
  }

  async function runProbe(target: TargetEntry, known: Probes): Promise<void> {
    const startedAtMs = nowMs();
    const isUp = await isReachable(target.address, PROBE_TIMEOUT_MS);
    known.isWaiting = false;
    if (isUp) {
      if (hasSuccessor(target)) noteReplaced(target);
      else recordReached(evidence, target.id, nowMs());
    } else {
      known.downUntilMs = nowMs() + DOWN_FOR_MS;
      confirm(recordDown(evidence, target.id, startedAtMs), 'accepts no connection');
    }
    if (isSuspected(evidence, target.id, startedAtMs)) probe(target, PROBE_PAUSE_MS);
    else if (isUp) probes.delete(target.id);
  }

  /** Returns whether another target serves at the address of a target that has gone. */
  function hasSuccessor({ id, address }: TargetEntry): boolean {
    if (view.targets.has(id)) return false;
    return [...view.targets.values()].some(({ entry }) => entry.address === address);
  }

  function noteReplaced({ id }: TargetEntry): void {
    confirm(recordDown(evidence, id, nowMs()), 'was replaced');
  }

  function forgetProbes(): void {
    for (const [id, { isWaiting, downUntilMs }] of probes) {
      if (!isWaiting && downUntilMs < nowMs()) probes.delete(id);
    }
  }

  return {
    suspect: (content, target, end, mustProbe) => {
      const endedAtMs = nowMs();
      if (endedAtMs < (probes.get(target.id)?.downUntilMs ?? 0)) {
        onCrash({ content, target: target.id }, 'accepts no connection');
        return true;
      }
      const { isNew, dropped } = suspect(evidence, { content, target: target.id, end, endedAtMs });
      if (dropped !== null) count('crash_suspicions_lost_total');
      if (mustProbe || !view.targets.has(target.id)) probe(target, PROBE_DELAY_MS);
      return isNew;
    },
    noteAnswer: (target, sentAtMs) => {
      if (evidence.suspicions.length === 0) return;
      const outlived = recordLife(evidence, target, sentAtMs);
      survive(outlived);
      drop(outlived, 'the target answers');
    },
    noteGone: (target) => {
      if (isSuspected(evidence, target.id, -Infinity)) probe(target, PROBE_DELAY_MS);
    },
    noteReplaced,
    whenProbed: async (target) => {
      await probes.get(target)?.latest;
    },
    tick: () => {
      const { lastBytesAtMs } = pulse;
      survive(takeSurvivedAnswers(evidence, lastBytesAtMs, nowMs()));
      const { confirmed, refuted } = decideSuspicions(evidence, lastBytesAtMs, nowMs());
      confirm(confirmed, 'sends nothing');
      drop(refuted, 'the target sent something, or its entry is still there');
      forgetProbes();
    },
  };
}
