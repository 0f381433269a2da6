/**
 * Tracks which request contents crashed which targets, across all gateways. A request that crashes
 * every target that runs it would otherwise take down one target after another, because its caller
 * retries it through any gateway. Requests are identified by a hash of their content, since each
 * attempt has its own id.
 */

/** Records that a target crashed while it ran a request with this content. */
export interface CrashNote {
  /** Hash of the request content. */
  readonly content: string;
  /** Id of the target that crashed; each start of a target has its own id. */
  readonly target: string;
}

/** How a crash became known to a gateway. */
export enum CrashSource {
  /** This gateway saw the crash. */
  Observed = 'observed',
  /** Another gateway wrote it to the store. */
  Store = 'store',
}

/** The kinds of changes of a crash memory. */
export enum CrashChangeKind {
  /** A crash was recorded. */
  Noted = 'noted',
  /** The content has crashed so many targets that it is rejected from now on. */
  Convicted = 'convicted',
  /** A crash does not count, as a target has just run the content to completion. */
  Excused = 'excused',
  /** A crash was removed from the store. */
  Removed = 'removed',
}

/** A change of a crash memory. */
export interface CrashChange extends CrashNote {
  readonly kind: CrashChangeKind;
  /** How the crash became known; null if it was removed. */
  readonly source: CrashSource | null;
  /** The targets that have crashed on the content, after the change. */
  readonly targets: readonly string[];
}

/** Called with each change of a crash memory. */
export type OnCrashChange = (change: CrashChange) => void;

/** The crashes known to one gateway. */
export interface CrashMemory {
  readonly targetsByContent: Map<string, Set<string>>;
  /** When a target last ran a content to completion. */
  readonly completedAtMs: Map<string, number>;
  readonly onChange: OnCrashChange;
}

/**
 * Number of distinct targets that must crash on a content before it is rejected. One or two crashes
 * can be a coincidence while targets crash for other reasons.
 */
const CONVICTING_TARGETS = 3;
/** Most contents kept as harmless; the oldest are evicted first. */
const MAX_HARMLESS_CONTENTS = 1024;
/**
 * A crash that becomes known within this time after a target ran the content to completion had
 * another cause. It covers the time that a note takes to reach all gateways, and no more: a content
 * that was harmless may crash every target of a later release.
 */
export const HARMLESS_FOR_MS = 5000;

/** Creates an empty crash memory. */
export function createCrashMemory(onChange: OnCrashChange = () => undefined): CrashMemory {
  return { targetsByContent: new Map(), completedAtMs: new Map(), onChange };
}

/** Records a crash. Recording the same crash again has no effect. */
export function addCrash(
  memory: CrashMemory,
  { content, target }: CrashNote,
  source: CrashSource,
  nowMs: number,
): void {
  const targets = memory.targetsByContent.get(content) ?? new Set();
  if (targets.has(target)) return;
  const completedAtMs = memory.completedAtMs.get(content) ?? -Infinity;
  if (nowMs - completedAtMs < HARMLESS_FOR_MS) {
    const excused = { content, target, source, targets: [...targets] };
    memory.onChange({ ...excused, kind: CrashChangeKind.Excused });
    return;
  }
  targets.add(target);
  memory.targetsByContent.set(content, targets);
  const change = { content, target, source, targets: [...targets] };
  memory.onChange({ ...change, kind: CrashChangeKind.Noted });
  if (targets.size === CONVICTING_TARGETS) {
    memory.onChange({ ...change, kind: CrashChangeKind.Convicted });
  }
}

/** Removes a crash that has expired or was withdrawn. */
export function removeCrash(memory: CrashMemory, { content, target }: CrashNote): void {
  const targets = memory.targetsByContent.get(content);
  if (targets?.delete(target) !== true) return;
  if (targets.size === 0) memory.targetsByContent.delete(content);
  const change = { content, target, source: null, targets: [...targets] };
  memory.onChange({ ...change, kind: CrashChangeKind.Removed });
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
  const targets = memory.targetsByContent.get(content) ?? new Set();
  memory.targetsByContent.delete(content);
  memory.completedAtMs.delete(content);
  memory.completedAtMs.set(content, nowMs);
  const oldest = memory.completedAtMs.keys().next().value;
  if (memory.completedAtMs.size > MAX_HARMLESS_CONTENTS && oldest !== undefined) {
    memory.completedAtMs.delete(oldest);
  }
  return [...targets].map((target) => ({ content, target }));
}

/**
 * Returns whether requests with this content are rejected. Without this check, a request that
 * crashes its target would take down one target after another, along with all other requests that
 * run there. Crashes are counted by content and shared by all gateways, so it does not matter which
 * gateway receives the retry.
 */
export function isConvictedContent(memory: CrashMemory, content: string): boolean {
  return (memory.targetsByContent.get(content)?.size ?? 0) >= CONVICTING_TARGETS;
}
