/**
 * Reports requests during which a target's connection broke to all gateways, through the platform's
 * store, and determines which requests must not run again because they probably crash targets.
 */
import {
  AttemptEnd,
  CrashChangeKind,
  type CrashNote,
  CrashSource,
  type OnCrashChange,
  type TargetEntry,
  TargetTransition,
  crashesOf,
  evictCrashes,
  livesSinceMs,
  markContentHarmless,
  refuteCrashes,
  recordAnswerOf,
  isQuarantinedContent,
  isKnownHarmless,
  isPromptPart,
  isNearQuarantine,
  addCrash,
  countsCrash,
  dueTrial,
} from '@cassiamast/coordination';
import type { IsReachable } from '../node/reachable.js';
import { createPeriodic } from '../node/timers.js';
import type { Child } from '../supervisor/supervisor.js';
import {
  type CrashPublisherOptions,
  type ToldCrash,
  createCrashPublisher,
} from './crash-publisher.js';
import { createCrashSuspicions } from './crash-suspicions.js';
import { type Exchange, callerLeft, contentsOf } from './exchange.js';
import type { LogFields } from './gateway-log.js';
import { type SendOutcome, SendOutcomeKind } from './send-to-target.js';
import type { TargetActivity } from './target-activity.js';

/** Most contents remembered as rejected; beyond it, first rejections are logged again. */
const MAX_REJECTED_CONTENTS = 256;
/** Interval at which suspicions are decided. */
const TICK_MS = 250;
/** Interval at which crashes that count no more are removed. */
const CLEAN_UP_MS = 1000;

/** What is logged of an attempt that is not over while its target is silent. */
const SILENT = { kind: SendOutcomeKind.Silent, detail: 'not over' };

/** Dependencies of the crash reports. */
export interface CrashReportsOptions extends CrashPublisherOptions {
  readonly selfId: string;
  readonly pulse: Pick<TargetActivity, 'lastBytesAtMs'>;
  readonly isReachable: IsReachable;
  /** Whether a target has announced that it is shutting down. */
  readonly isLeaving: (target: string) => boolean;
}

/** Records crashes, shares them with other gateways and answers which requests they rule out. */
export interface CrashReports {
  /**
   * Records an attempt to have the prompt of a request read, if its target may have crashed. It does
   * not count against the parts of the prompt, which crash targets when they write the answer.
   */
  readonly recordPrefill: (exchange: Exchange, target: TargetEntry, outcome: SendOutcome) => void;
  /** Records what the end of an attempt says about its target, its content and its prompt. */
  readonly recordRun: (exchange: Exchange, target: TargetEntry, outcome: SendOutcome) => void;
  /**
   * Records that a target is silent while it has a request, which may go elsewhere meanwhile.
   *
   * @param readOnly - Whether the target only reads the prompt.
   */
  readonly recordSilence: (exchange: Exchange, target: TargetEntry, readOnly: boolean) => void;
  /** Records how a target's availability changed. */
  readonly noteTransition: (transition: TargetTransition, target: TargetEntry) => void;
  /** Records an answer of a target to a request that was sent `ageMs` ago. */
  readonly noteAnswer: (target: TargetEntry, ageMs: number) => void;
  /** Whether the request must not run again. Logs and counts the requests that must not. */
  readonly rejects: (exchange: Exchange) => boolean;
  /**
   * Whether a request that is rejected is the one that tries its content once more. It is noted in
   * the store first, and must be sent to one target only.
   */
  readonly tryAgain: (exchange: Exchange) => Promise<boolean>;
  /**
   * Resolves when it is known whether the last attempt of a request has crashed its target, if one
   * more crash rules the request out.
   */
  readonly whenDecided: (exchange: Exchange) => Promise<void>;
  /**
   * Records crashes that another gateway could not write to the store. Returns those that do not
   * count, as this gateway knows better.
   */
  readonly receiveCrashes: (crashes: readonly ToldCrash[]) => readonly CrashNote[];
  /** Must be called with each change of the view's crash memory. */
  readonly noteChange: OnCrashChange;
  /** Decide the suspicions whose time is over, and remove crashes that count no more. */
  readonly children: readonly Child[];
  /** Writes nothing more. */
  readonly stop: () => void;
}

/** Returns how an attempt ended during which the target may have crashed; null for any other end. */
function suspiciousEnd(
  exchange: Exchange,
  { kind, sent, brokeOff, endedWithConnection }: SendOutcome,
): AttemptEnd | null {
  if (endedWithConnection) return AttemptEnd.Closed;
  if (brokeOff) return AttemptEnd.Broken;
  if (!sent) return null;
  if (kind === SendOutcomeKind.Silent) return AttemptEnd.Unanswered;
  if (kind === SendOutcomeKind.Replaced) return AttemptEnd.Abandoned;
  if (kind !== SendOutcomeKind.Stopped) return null;
  return callerLeft(exchange) ? AttemptEnd.Abandoned : AttemptEnd.Unanswered;
}

/** Creates the crash reports. */
export function createCrashReports(options: CrashReportsOptions): CrashReports {
  const { fleet, selfId, view, isLeaving, nowMs, log, count } = options;
  /** Contents of which a request was rejected. */
  const rejected = new Set<string>();
  /** Contents whose trial is being noted. */
  const trialsBegun = new Set<string>();
  const publisher = createCrashPublisher(options);
  const suspicions = createCrashSuspicions({
    ...options,
    onCrash: recordCrash,
    onSurvived: ({ content, target }) => {
      clear(content, target, {});
    },
  });

  function recordCrash(note: CrashNote, reason: string): void {
    count('crashes_found_total');
    log.info('crash found', { ...note, reason });
    addCrash(view.crashes, note, CrashSource.Observed, nowMs());
    publisher.publish();
  }

  /** Removes the crashes that count no more, and those beyond the bounds of the memory. */
  function cleanUp(): void {
    const now = nowMs();
    const lives = (target: string): number | null => livesSinceMs(view, target, now);
    const outdated = [...refuteCrashes(view.crashes, lives, now), ...evictCrashes(view.crashes)];
    // One gateway deletes for all; the others would only repeat its call.
    if (isLongestAnnounced()) publisher.forget(outdated);
    publisher.publish();
  }

  /** Returns whether no gateway has been announced for longer than this one. */
  function isLongestAnnounced(): boolean {
    const own = view.gateways.get(selfId)?.announcedAtRevision ?? Infinity;
    return ![...view.gateways.values()].some((other) => other.announcedAtRevision < own);
  }

  function logSuspicion(
    { id, caller }: Exchange,
    content: string,
    target: TargetEntry,
    { kind, detail }: Pick<SendOutcome, 'kind' | 'detail'>,
  ): void {
    count('crashes_suspected_total');
    log.info('crash suspected', {
      request: id,
      caller,
      content,
      target: target.id,
      outcome: kind,
      detail,
    });
  }

  /** Suspects these contents of a request, if its target may have crashed. */
  function suspectAll(
    contents: readonly string[],
    exchange: Exchange,
    target: TargetEntry,
    outcome: SendOutcome,
  ): void {
    const end = suspiciousEnd(exchange, outcome);
    if (end === null) return;
    const isOrdinary = end === AttemptEnd.Abandoned || end === AttemptEnd.Closed;
    const mustProbe = end === AttemptEnd.Closed ? contents.some(isInDoubt) : !isOrdinary;
    for (const content of contents) {
      const isNew = suspicions.suspect(content, target, end, mustProbe);
      if (isNew && !isOrdinary) logSuspicion(exchange, content, target, outcome);
    }
  }

  /** Returns whether a content has crashed a target, or is a part that no target ran lately. */
  function isInDoubt(content: string): boolean {
    if (view.crashes.crashesByContent.has(content)) return true;
    return isPromptPart(content) && !isKnownHarmless(view.crashes, content, nowMs());
  }

  /** Withdraws the crashes of a content that a target ran to completion. */
  function clear(content: string, target: string, fields: LogFields): void {
    const notes = markContentHarmless(view.crashes, content, nowMs());
    if (notes.length === 0) return;
    const crashed = notes.map((note) => note.target);
    count('contents_cleared_total');
    log.info('content cleared', { ...fields, content, target, crashed });
    publisher.forget(notes);
  }

  function quarantinedOf(exchange: Exchange): readonly string[] {
    if (view.crashes.crashesByContent.size === 0) return [];
    return contentsOf(exchange).filter((content) => isQuarantinedContent(view.crashes, content));
  }

  /** The first rejection of each content is logged whatever the volume of the log. */
  function logRejection({ id }: Exchange, content: string, crashed: readonly string[]): void {
    const isFirst = !rejected.has(content);
    if (rejected.size >= MAX_REJECTED_CONTENTS) rejected.clear();
    rejected.add(content);
    const write = isFirst ? log.lifecycle : log.warn;
    write('request rejected, it crashes targets', { request: id, content, crashed });
  }

  /** Notes a trial and returns whether the store has it. */
  async function noteTrial(trial: CrashNote): Promise<boolean> {
    trialsBegun.add(trial.content);
    const written = await fleet.recordCrashes([trial]);
    trialsBegun.delete(trial.content);
    if (written.isErr()) {
      log.warn('trial not noted', { ...trial, cause: written.error.message });
      return false;
    }
    addCrash(view.crashes, trial, CrashSource.Store, nowMs());
    return true;
  }

  return {
    recordPrefill: (exchange, target, outcome) => {
      // A completed prefill doesn't prove the request harmless: it may still crash the decode engine.
      if (outcome.kind === SendOutcomeKind.Complete) return;
      suspectAll([exchange.content()], exchange, target, outcome);
    },
    recordRun: (exchange, target, outcome) => {
      if (!outcome.ranWhole) {
        suspectAll(contentsOf(exchange), exchange, target, outcome);
        return;
      }
      for (const content of contentsOf(exchange)) {
        clear(content, target.id, { request: exchange.id, detail: outcome.detail });
      }
    },
    recordSilence: (exchange, target, readOnly) => {
      for (const content of readOnly ? [exchange.content()] : contentsOf(exchange)) {
        const isNew = suspicions.suspect(content, target, AttemptEnd.Unanswered, true);
        if (isNew) logSuspicion(exchange, content, target, SILENT);
      }
    },
    noteTransition: (transition, target) => {
      if (transition === TargetTransition.Replaced) suspicions.noteReplaced(target);
      // A target that announced its departure has not crashed.
      const isGone = transition === TargetTransition.Removed && !target.draining;
      if (isGone && !isLeaving(target.id)) suspicions.noteGone(target);
    },
    noteAnswer: (target, ageMs) => {
      // An answer under a name that several starts share may be from the next start.
      if (target.bornAtMs !== 0) return;
      const sentAtMs = nowMs() - ageMs;
      suspicions.noteAnswer(target.id, sentAtMs);
      publisher.forget(recordAnswerOf(view.crashes, target.id, sentAtMs));
    },
    rejects: (exchange) => {
      const [content] = quarantinedOf(exchange);
      if (content === undefined) return false;
      const crashed = crashesOf(view.crashes, content).map(({ target }) => target);
      count('requests_convicted_total');
      logRejection(exchange, content, crashed);
      return true;
    },
    tryAgain: async (exchange) => {
      // With several, nobody could tell which of them a crash of the trial is due to.
      const [content, ...others] = quarantinedOf(exchange);
      if (content === undefined || others.length > 0) return false;
      const trial = dueTrial(view.crashes, content, nowMs());
      // One gateway tries for all, as each trial may cost a target.
      if (trial === null || !isLongestAnnounced() || trialsBegun.has(content)) return false;
      if (!(await noteTrial(trial))) return false;
      exchange.isTrial = true;
      count('crash_trials_total');
      log.lifecycle('rejected content tried once more', {
        request: exchange.id,
        content,
        trial: trial.target,
      });
      return true;
    },
    whenDecided: async (exchange) => {
      const { crashes } = view;
      if (crashes.crashesByContent.size === 0) return;
      if (!contentsOf(exchange).some((content) => isNearQuarantine(crashes, content))) return;
      await suspicions.whenProbed(exchange.lastTarget);
    },
    receiveCrashes: (crashes) => {
      for (const { ageMs, ...note } of crashes) {
        addCrash(view.crashes, note, CrashSource.Peer, nowMs(), ageMs);
      }
      const notes = crashes.map(({ content, target }) => ({ content, target }));
      return notes.filter((note) => !countsCrash(view.crashes, note));
    },
    noteChange: ({ kind, source, content, target }) => {
      const isExcused = kind === CrashChangeKind.Excused && source === CrashSource.Store;
      if (isExcused) publisher.forget([{ content, target }]);
    },
    children: [
      createPeriodic('crash-suspicions', () => TICK_MS, suspicions.tick),
      createPeriodic('crash-clean-up', () => CLEAN_UP_MS, cleanUp),
    ],
    stop: publisher.stop,
  };
}
