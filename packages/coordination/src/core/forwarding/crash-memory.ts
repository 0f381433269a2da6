/**
 * Tracks which request contents crashed which targets, across all gateways. A request that crashes
 * every target that runs it would otherwise take down one target after another, because its caller
 * retries it through any gateway. Requests are identified by a hash of their content, since each
 * attempt has its own id, and by the parts of their prompts, since requests that are not alike may
 * share the part that crashes targets.
 */
import { eraOf } from '../model/store-revision.js';
import { crashesUntilQuarantine, harmlessForMs } from './crash-content.js';

/** Records that a target crashed while it ran a request with this content. */
export interface CrashNote {
  /** Name of what was run: a hash of the whole request, or a part of its prompt. */
  readonly content: string;
  /** Id of the target that crashed; each start of a target has its own id. */
  readonly target: string;
}

/** How a crash became known to a gateway. */
export enum CrashSource {
  /** This gateway saw the crash. */
  Observed = 'observed',
  /** Another gateway told of it, as it could not write it to the store. */
  Peer = 'peer',
  /** Another gateway wrote it to the store. */
  Store = 'store',
}

/** The kinds of changes of a crash memory. */
export enum CrashChangeKind {
  /** A crash was recorded. */
  Noted = 'noted',
  /** The content has crashed so many targets that it is rejected from now on. */
  Quarantined = 'convicted',
  /** A crash does not count, as a target has just run the content to completion. */
  Excused = 'excused',
  /** A crash counts no more. */
  Removed = 'removed',
}

/** Why a crash counts no more. */
export enum CrashRemoval {
  /** It was removed from the store. */
  Store = 'removed from the store',
  /** Another gateway has seen the content run to completion, or its target answer. */
  Excused = 'another gateway excuses it',
  /** Its target has not crashed: its entry is still there. */
  Refuted = 'the target lives',
  /** The memory is full. */
  Evicted = 'the memory is full',
}

/** A change of a crash memory. */
export interface CrashChange extends CrashNote {
  readonly kind: CrashChangeKind;
  /** How the crash became known; null if it was removed. */
  readonly source: CrashSource | null;
  /** Why the crash counts no more; null if it was not removed. */
  readonly removal: CrashRemoval | null;
  /** The targets that have crashed on the content, after the change. */
  readonly targets: readonly string[];
}

/** Called with each change of a crash memory. */
export type OnCrashChange = (change: CrashChange) => void;

/** A crash that counts against a content. */
interface KnownCrash {
  readonly notedAtMs: number;
  /** When this gateway writes it to the store unless the store has it by then. */
  writeAtMs: number;
  /** Whether the store has it. Only then does its absence from the store withdraw it. */
  isStored: boolean;
}

/** The crashes known to one gateway. */
export interface CrashMemory {
  /** Crashes by target, by content; the content whose crash was noted last is at the end. */
  readonly crashesByContent: Map<string, Map<string, KnownCrash>>;
  /** When the last crash of a target was noted; targets without crashes may remain for a while. */
  readonly notedAtMsByTarget: Map<string, number>;
  /** When the last request was sent that a target answered. */
  readonly answeredAtMsByTarget: Map<string, number>;
  /** When a target last ran a content to completion. */
  readonly completedAtMs: Map<string, number>;
  /** Crashes that count no more whoever tells of them again, oldest first. */
  readonly excused: Set<string>;
  /** Crashes that count no more unless they are found again, oldest first. */
  readonly withdrawn: Set<string>;
  readonly onChange: OnCrashChange;
}

/** Names under which the trials of a rejected content are noted; no target has such a name. */
export const TRIAL_NAMES: readonly string[] = ['~trial-1', '~trial-2'];
/**
 * A crash that another gateway told of is written after this time, as that gateway goes on trying to
 * write it.
 */
const WRITE_FOR_PEER_AFTER_MS = 1000;
/** Most contents kept that crashed fewer targets than that, and most kept that are rejected. */
const MAX_SUSPECT_CONTENTS = 1024;
const MAX_QUARANTINED_CONTENTS = 256;
/**
 * A target whose entry has been in the store for this long after a crash was noted has not crashed.
 * Entries disappear a few seconds after the last sign of life of their target.
 */
const SURVIVAL_MS = 10_000;
/** Most targets whose last answered request is known, far more than a gateway uses in a minute. */
const MAX_ANSWERING_TARGETS = 1024;
/** Most contents kept as harmless; the oldest are evicted first. */
const MAX_HARMLESS_CONTENTS = 1024;
/** Most crashes kept as excused, and most kept as withdrawn; the oldest are evicted first. */
const MAX_EXCUSED = 4096;
/** Creates an empty crash memory. */
export function createCrashMemory(onChange: OnCrashChange = () => undefined): CrashMemory {
  return {
    crashesByContent: new Map(),
    notedAtMsByTarget: new Map(),
    answeredAtMsByTarget: new Map(),
    completedAtMs: new Map(),
    excused: new Set(),
    withdrawn: new Set(),
    onChange,
  };
}

/**
 * Records a crash. Recording the same crash again has no effect.
 *
 * @param ageMs - How long ago the gateway that tells of the crash noted it. A target that has answered
 * a request since then has not crashed.
 */
export function addCrash(
  memory: CrashMemory,
  note: CrashNote,
  source: CrashSource,
  nowMs: number,
  ageMs = 0,
): void {
  const { content, target } = note;
  const notedAtMs = nowMs - ageMs;
  if ((memory.answeredAtMsByTarget.get(target) ?? -Infinity) > notedAtMs) return;
  const isStored = source === CrashSource.Store;
  const crashes = memory.crashesByContent.get(content) ?? new Map<string, KnownCrash>();
  const known = crashes.get(target);
  if (known !== undefined) {
    known.isStored ||= isStored;
    return;
  }
  if (memory.excused.has(keyOf(note)) || isKnownHarmless(memory, content, nowMs)) {
    excuse(memory, note);
    const excused = { ...note, source, removal: null, targets: [...crashes.keys()] };
    memory.onChange({ ...excused, kind: CrashChangeKind.Excused });
    return;
  }
  memory.withdrawn.delete(keyOf(note));
  const writeAtMs = nowMs + (source === CrashSource.Peer ? WRITE_FOR_PEER_AFTER_MS : 0);
  crashes.set(target, { notedAtMs, writeAtMs, isStored });
  memory.notedAtMsByTarget.set(target, notedAtMs);
  memory.crashesByContent.delete(content);
  memory.crashesByContent.set(content, crashes);
  const change = { ...note, source, removal: null, targets: [...crashes.keys()] };
  memory.onChange({ ...change, kind: CrashChangeKind.Noted });
  if (countTargets(crashes) === crashesUntilQuarantine(content) && !TRIAL_NAMES.includes(target)) {
    memory.onChange({ ...change, kind: CrashChangeKind.Quarantined });
  }
}

/**
 * Records that a crash must not count again. Gateways that have not heard of the excuse still write it
 * to the store and tell others, long after the content ran to completion.
 */
function excuse({ excused }: CrashMemory, note: CrashNote): void {
  if (!TRIAL_NAMES.includes(note.target)) rememberKey(excused, note);
}

function rememberKey(keys: Set<string>, note: CrashNote): void {
  const key = keyOf(note);
  keys.delete(key);
  keys.add(key);
  const [oldest] = keys;
  if (keys.size > MAX_EXCUSED && oldest !== undefined) keys.delete(oldest);
}

/** Removes a crash that counts no more. */
export function removeCrash(memory: CrashMemory, note: CrashNote, removal: CrashRemoval): void {
  const { content, target } = note;
  const crashes = memory.crashesByContent.get(content);
  if (removal === CrashRemoval.Excused) excuse(memory, note);
  if (crashes?.delete(target) !== true) return;
  if (crashes.size === 0) memory.crashesByContent.delete(content);
  if (removal !== CrashRemoval.Evicted) rememberKey(memory.withdrawn, note);
  const change = { ...note, source: null, removal, targets: [...crashes.keys()] };
  memory.onChange({ ...change, kind: CrashChangeKind.Removed });
}

/**
 * Removes the crashes that were in the store and are missing from a complete listing of it. Without
 * this, a gateway that missed the change would reject a content that was cleared for all others.
 */
export function retainListedCrashes(memory: CrashMemory, listed: readonly CrashNote[]): void {
  const present = new Set(listed.map(keyOf));
  for (const [content, crashes] of [...memory.crashesByContent]) {
    for (const [target, { isStored }] of [...crashes]) {
      const note = { content, target };
      if (isStored && !present.has(keyOf(note))) removeCrash(memory, note, CrashRemoval.Store);
    }
  }
}

/**
 * Returns whether a crash counted no more before the store came back from an older copy, which lists
 * it; has it removed there again.
 */
export function rejectWithdrawnCrash(memory: CrashMemory, note: CrashNote): boolean {
  if (!memory.withdrawn.has(keyOf(note))) return false;
  const targets = crashesOf(memory, note.content).map(({ target }) => target);
  const change = { ...note, source: CrashSource.Store, removal: null, targets };
  memory.onChange({ ...change, kind: CrashChangeKind.Excused });
  return true;
}

/**
 * Plans to write the crashes again that a store which came back from an older copy has lost. Every
 * gateway that knows them does so, unless another one was earlier.
 *
 * @param listed - The crashes in a complete listing of that store.
 * @param writeAtMs - When this gateway writes them.
 */
export function rewriteLostCrashes(
  memory: CrashMemory,
  listed: readonly CrashNote[],
  writeAtMs: number,
): void {
  const present = new Set(listed.map(keyOf));
  for (const [content, crashes] of memory.crashesByContent) {
    for (const [target, known] of crashes) {
      if (!known.isStored || present.has(keyOf({ content, target }))) continue;
      known.isStored = false;
      known.writeAtMs = writeAtMs;
    }
  }
}

/**
 * Records that a target ran a content to completion and returns the crashes recorded for it, so
 * that the caller can delete them for all gateways. Contents without crashes are recorded too: many
 * callers may send the same content, and targets that crash for other reasons interrupt some of
 * these requests.
 */
export function markContentHarmless(
  memory: CrashMemory,
  content: string,
  nowMs: number,
): readonly CrashNote[] {
  const notes = crashesOf(memory, content);
  for (const note of notes) excuse(memory, note);
  memory.crashesByContent.delete(content);
  memory.completedAtMs.delete(content);
  memory.completedAtMs.set(content, nowMs);
  const oldest = memory.completedAtMs.keys().next().value;
  if (memory.completedAtMs.size > MAX_HARMLESS_CONTENTS && oldest !== undefined) {
    memory.completedAtMs.delete(oldest);
  }
  return notes;
}

/** Returns whether a target ran a content to completion lately, so that a crash now is excused. */
export function isKnownHarmless(memory: CrashMemory, content: string, nowMs: number): boolean {
  return nowMs - (memory.completedAtMs.get(content) ?? -Infinity) < harmlessForMs(content);
}

/** Returns whether a crash counts against its content. */
export function countsCrash(memory: CrashMemory, { content, target }: CrashNote): boolean {
  return memory.crashesByContent.get(content)?.has(target) === true;
}

/** Returns the crashes that count against a content. */
export function crashesOf(memory: CrashMemory, content: string): readonly CrashNote[] {
  const targets = memory.crashesByContent.get(content)?.keys() ?? [];
  return [...targets].map((target) => ({ content, target }));
}

/** Returns how long ago a crash was noted, wherever that was. */
export function crashAgeMs(
  memory: CrashMemory,
  { content, target }: CrashNote,
  nowMs: number,
): number {
  return nowMs - (memory.crashesByContent.get(content)?.get(target)?.notedAtMs ?? nowMs);
}

/** Returns the crashes that this gateway must write to the store now, oldest content first. */
export function unstoredCrashes(memory: CrashMemory, nowMs: number): readonly CrashNote[] {
  const notes: CrashNote[] = [];
  for (const [content, crashes] of memory.crashesByContent) {
    for (const [target, { isStored, writeAtMs }] of crashes) {
      if (!isStored && writeAtMs <= nowMs) notes.push({ content, target });
    }
  }
  return notes;
}

/**
 * Records that the store had these crashes at a revision. Returns those that do not count any more
 * and have to be deleted.
 *
 * @param readRevision - Revision up to which this gateway has read the store. A crash that was not
 * there then, although it had been written, was deleted meanwhile.
 */
export function markCrashesStored(
  memory: CrashMemory,
  notes: readonly CrashNote[],
  revision: number,
  readRevision: number,
): readonly CrashNote[] {
  const outdated: CrashNote[] = [];
  for (const note of notes) {
    const known = memory.crashesByContent.get(note.content)?.get(note.target);
    if (known === undefined) outdated.push(note);
    // The store came back from an older copy after this write, so it may have lost it.
    else if (eraOf(revision) < eraOf(readRevision)) continue;
    else if (known.isStored || revision > readRevision) known.isStored = true;
    else removeCrash(memory, note, CrashRemoval.Store);
  }
  return outdated;
}

/**
 * Returns whether requests with this content are rejected. Without this check, a request that
 * crashes its target would take down one target after another, along with all other requests that
 * run there. Crashes are counted by content and shared by all gateways, so it does not matter which
 * gateway receives the retry.
 */
export function isQuarantinedContent(memory: CrashMemory, content: string): boolean {
  return countTargets(memory.crashesByContent.get(content)) >= crashesUntilQuarantine(content);
}

/** Returns whether one more crash rules a content out. */
export function isNearQuarantine(memory: CrashMemory, content: string): boolean {
  return countTargets(memory.crashesByContent.get(content)) === crashesUntilQuarantine(content) - 1;
}

/**
 * Removes and returns the crashes of targets that live on. An attempt may break off or go unanswered
 * for other reasons; without this, such attempts would add up over days and quarantine a harmless
 * content.
 *
 * @param livesSinceMs - Time since which a target has been listed in the store without a gap, or
 * null if it isn't.
 */
export function refuteCrashes(
  memory: CrashMemory,
  livesSinceMs: (target: string) => number | null,
  nowMs: number,
): readonly CrashNote[] {
  const refuted: CrashNote[] = [];
  for (const [content, crashes] of memory.crashesByContent) {
    for (const [target, { notedAtMs }] of crashes) {
      const sinceMs = livesSinceMs(target);
      if (sinceMs === null || nowMs - Math.max(sinceMs, notedAtMs) < SURVIVAL_MS) continue;
      refuted.push({ content, target });
    }
  }
  for (const note of refuted) removeCrash(memory, note, CrashRemoval.Refuted);
  return refuted;
}

/**
 * Records that a target answered a request; removes and returns its crashes that were noted before
 * that request was sent: it has not crashed. This tells sooner than the store, and also while the
 * store is away.
 */
export function recordAnswerOf(
  memory: CrashMemory,
  target: string,
  sentAtMs: number,
): readonly CrashNote[] {
  const { answeredAtMsByTarget, notedAtMsByTarget } = memory;
  const answeredAtMs = Math.max(sentAtMs, answeredAtMsByTarget.get(target) ?? -Infinity);
  answeredAtMsByTarget.delete(target);
  answeredAtMsByTarget.set(target, answeredAtMs);
  const oldest = answeredAtMsByTarget.keys().next().value;
  if (answeredAtMsByTarget.size > MAX_ANSWERING_TARGETS && oldest !== undefined) {
    answeredAtMsByTarget.delete(oldest);
  }
  if ((notedAtMsByTarget.get(target) ?? Infinity) >= sentAtMs) return [];
  notedAtMsByTarget.delete(target);
  const refuted = [...memory.crashesByContent]
    .filter(([, crashes]) => crashes.has(target))
    .map(([content]) => ({ content, target }));
  for (const note of refuted) removeCrash(memory, note, CrashRemoval.Refuted);
  return refuted;
}

/**
 * Removes and returns the crashes beyond the bounds of the memory: those of the contents whose last
 * crash is the longest ago. Contents that are rejected have a bound of their own, so that crashes of
 * harmless contents can't push them out.
 */
export function evictCrashes(memory: CrashMemory): readonly CrashNote[] {
  let quarantined = 0;
  for (const content of memory.crashesByContent.keys()) {
    if (isQuarantinedContent(memory, content)) quarantined += 1;
  }
  let surplusQuarantined = quarantined - MAX_QUARANTINED_CONTENTS;
  let surplusSuspects = memory.crashesByContent.size - quarantined - MAX_SUSPECT_CONTENTS;
  const evicted: CrashNote[] = [];
  for (const content of [...memory.crashesByContent.keys()]) {
    const isQuarantined = isQuarantinedContent(memory, content);
    if ((isQuarantined ? surplusQuarantined : surplusSuspects) <= 0) continue;
    if (isQuarantined) surplusQuarantined -= 1;
    else surplusSuspects -= 1;
    evicted.push(...crashesOf(memory, content));
  }
  for (const note of evicted) removeCrash(memory, note, CrashRemoval.Evicted);
  forgetTargetsWithoutCrashes(memory);
  return evicted;
}

function forgetTargetsWithoutCrashes({ crashesByContent, notedAtMsByTarget }: CrashMemory): void {
  const crashed = new Set([...crashesByContent.values()].flatMap((crashes) => [...crashes.keys()]));
  for (const target of notedAtMsByTarget.keys()) {
    if (!crashed.has(target)) notedAtMsByTarget.delete(target);
  }
}

/** Counts the targets that crashed; trials are noted among them. */
function countTargets(crashes: ReadonlyMap<string, unknown> = new Map()): number {
  return crashes.size - TRIAL_NAMES.filter((name) => crashes.has(name)).length;
}

function keyOf({ content, target }: CrashNote): string {
  return `${content}/${target}`;
}
