/**
 * Requests during which targets broke off, by their content, over all gateways. The load pattern: one
 * request crashes each target that runs it, and its caller sends it again and again, through any
 * gateway. A request is known by its content, since each sending has an id of its own.
 */

/** A target broke off while it ran a content. */
export interface CrashNote {
  /** Hash of what the request is. */
  readonly content: string;
  /** The start of the target that broke off. */
  readonly target: string;
}

/** What is known of crashes. */
export interface CrashMemory {
  readonly targetsByContent: Map<string, Set<string>>;
  /** Contents that a target ran whole lately: what broke off around them was not their doing. */
  readonly cleared: Set<string>;
}

/**
 * Targets that a content must have broken off to be run no more: one or two are bad luck on a day on
 * which targets crash by themselves.
 */
const CONVICTING_TARGETS = 3;
/** Contents that are remembered as harmless; the oldest are forgotten first. */
const MAX_CLEARED = 1024;

/** Nothing known. */
export function createCrashMemory(): CrashMemory {
  return { targetsByContent: new Map(), cleared: new Set() };
}

/** Takes in a crash; the same one again changes nothing. */
export function rememberCrash(memory: CrashMemory, { content, target }: CrashNote): void {
  const targets = memory.targetsByContent.get(content) ?? new Set();
  targets.add(target);
  memory.targetsByContent.set(content, targets);
}

/** A crash is so old that it counts no more. */
export function forgetCrash(memory: CrashMemory, { content, target }: CrashNote): void {
  const targets = memory.targetsByContent.get(content);
  targets?.delete(target);
  if (targets?.size === 0) memory.targetsByContent.delete(content);
}

/**
 * A target ran a content whole. Remembered also of contents that nothing is known against yet: many
 * callers may send the same content, and targets that crash by themselves break off some of it.
 * Gives what was noted against it, which counts no more for anybody.
 */
export function clearContent(memory: CrashMemory, content: string): readonly CrashNote[] {
  const targets = memory.targetsByContent.get(content) ?? new Set();
  memory.targetsByContent.delete(content);
  memory.cleared.delete(content);
  memory.cleared.add(content);
  const oldest = memory.cleared.values().next().value;
  if (memory.cleared.size > MAX_CLEARED && oldest !== undefined) memory.cleared.delete(oldest);
  return [...targets].map((target) => ({ content, target }));
}

/**
 * Whether a content is run no more. Guards the fleet against a request that crashes what runs it: it
 * shows as one target lost after another, and with each all that ran beside it. The guard holds
 * because crashes are counted by content and shared by all gateways.
 */
export function isConvictedContent(memory: CrashMemory, content: string): boolean {
  const targets = memory.targetsByContent.get(content)?.size ?? 0;
  return targets >= CONVICTING_TARGETS && !memory.cleared.has(content);
}
