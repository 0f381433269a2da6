/**
 * Tells all gateways, through the platform's store, of requests during which targets broke off, and
 * knows which requests are therefore run no more.
 */
import { createHash } from 'node:crypto';
import {
  type CrashNote,
  type FleetView,
  clearContent,
  isConvictedContent,
  rememberCrash,
} from '@cassiamast/coordination';
import type { FleetPort } from '@cassiamast/ports';
import { type AskOutcome, AskOutcomeKind } from './ask-target.js';
import type { Exchange } from './exchange.js';
import type { GatewayLog } from './gateway-log.js';
import type { TargetPulse } from './target-pulse.js';

/**
 * A crash counts for so long: several times what a caller waits. Where all gateways lose their memory
 * at once, none knows what ran whole before, so it is no longer than callers can bear.
 */
export const CRASH_MEMORY_MS = 30_000;
/** A lease is used for new notes until half of its time is over. */
const LEASE_USE_MS = CRASH_MEMORY_MS / 2;
/**
 * A target that broke off is listened to for so long: one that answers anybody meanwhile has not
 * crashed, it lost an answer. Notes gather in that time as well, since each write is paid for.
 */
const CONFIRM_MS = 1000;
/** Entries that one write takes at the most. */
const MAX_NOTES_PER_WRITE = 32;
/** Notes that wait while the store is away; a crash of a full engine brings some sixty. */
const MAX_WAITING_NOTES = 256;
/** Hexadecimal digits of a content's hash: no two of a day's requests share so many. */
const CONTENT_DIGITS = 24;

/** What the reports need. */
export interface CrashReportsOptions {
  readonly fleet: FleetPort;
  readonly view: FleetView;
  readonly pulse: TargetPulse;
  readonly nowMs: () => number;
  readonly log: GatewayLog;
  readonly count: (name: string) => void;
}

/** Crashes as this gateway tells and knows them. */
export interface CrashReports {
  /** A target's connection broke while it may have run the request. */
  readonly noteCrash: (exchange: Exchange, target: string) => void;
  /** A target ran the request whole. */
  readonly noteWhole: (exchange: Exchange) => void;
  /** Whether the request is run no more. */
  readonly isConvicted: (exchange: Exchange) => boolean;
  readonly stop: () => void;
}

/** Draws from the end of one sending what it says about crashes. */
export function noteForCrashes(
  exchange: Exchange,
  { crashes }: { readonly crashes: CrashReports },
  target: string,
  outcome: AskOutcome,
): void {
  if (outcome.brokeOff) crashes.noteCrash(exchange, target);
  else if (outcome.kind === AskOutcomeKind.Complete) crashes.noteWhole(exchange);
}

/** A target that broke off, and when. */
interface Suspicion {
  readonly note: CrashNote;
  readonly atMs: number;
}

/** Makes the reports. */
export function createCrashReports(options: CrashReportsOptions): CrashReports {
  const { fleet, view, pulse, nowMs, log, count } = options;
  let waiting: Suspicion[] = [];
  let timer: NodeJS.Timeout | null = null;
  let lease: { readonly id: string; readonly grantedAtMs: number } | null = null;

  async function leaseId(): Promise<string | null> {
    if (lease !== null && nowMs() - lease.grantedAtMs < LEASE_USE_MS) return lease.id;
    const grantedAtMs = nowMs();
    const granted = await fleet.grantLease(CRASH_MEMORY_MS);
    if (granted.isErr()) return null;
    lease = { id: granted.value.leaseId, grantedAtMs };
    return lease.id;
  }

  /** Takes the suspicions that are old enough; gives those that nothing speaks against. */
  function takeConfirmed(): readonly CrashNote[] {
    const now = nowMs();
    const notes: CrashNote[] = [];
    while (notes.length < MAX_NOTES_PER_WRITE) {
      const [oldest] = waiting;
      if (oldest === undefined || now - oldest.atMs < CONFIRM_MS) break;
      waiting.shift();
      const { note, atMs } = oldest;
      if (pulse.isSilent(note.target, now - atMs)) notes.push(note);
    }
    return notes;
  }

  async function write(): Promise<void> {
    timer = null;
    const notes = takeConfirmed();
    if (waiting.length > 0) schedule();
    if (notes.length === 0) return;
    for (const note of notes) rememberCrash(view.crashes, note);
    const id = await leaseId();
    const written = id === null ? null : await fleet.recordCrashes(notes, id);
    // Own knowledge stands; that the others do not hear of it costs at most some crashes more.
    if (written === null || written.isErr()) {
      const cause = written?.isErr() === true ? written.error.message : 'no lease';
      count('crash_notes_lost_total');
      log.warn('crashes not told', { notes: notes.length, cause });
    }
  }

  /**
   * Guards against a content that one gateway has seen run whole and another one still refuses: it
   * shows as callers who are served or refused by the gateway that they reach.
   */
  async function acquit(notes: readonly CrashNote[]): Promise<void> {
    const forgotten = await fleet.forgetCrashes(notes);
    // They lapse by themselves a little later.
    if (forgotten.isErr()) {
      log.warn('crashes not taken back', { cause: forgotten.error.message });
    }
  }

  function schedule(): void {
    timer ??= setTimeout(() => void write(), CONFIRM_MS);
  }

  return {
    noteCrash: (exchange, target) => {
      const note = { content: contentOf(exchange), target };
      count('crashes_noted_total');
      if (waiting.length >= MAX_WAITING_NOTES) {
        count('crash_notes_lost_total');
        return;
      }
      waiting.push({ note, atMs: nowMs() });
      schedule();
    },
    noteWhole: (exchange) => {
      const notes = clearContent(view.crashes, contentOf(exchange));
      if (notes.length > 0) void acquit(notes);
    },
    isConvicted: (exchange) =>
      view.crashes.targetsByContent.size > 0 &&
      isConvictedContent(view.crashes, contentOf(exchange)),
    stop: () => {
      if (timer !== null) clearTimeout(timer);
      waiting = [];
    },
  };
}

/** What a request is, and whose: many callers may send the same without harm. */
function contentOf({ caller, method, path, body }: Exchange): string {
  const hash = createHash('sha256').update(`${caller}\n${method}\n${path}\n`);
  return hash.update(body).digest('hex').slice(0, CONTENT_DIGITS);
}
