/**
 * Decides when a content that is rejected is tried once more. Targets that crash at the same moment
 * for another reason can rule out a harmless content that many callers send, and nobody would find
 * out, as it never runs again. The trials of a content are noted like its crashes, so that all
 * gateways, and those started later, count them together.
 */
import {
  type CrashMemory,
  type CrashNote,
  TRIAL_NAMES,
  countsCrash,
  isQuarantinedContent,
} from './crash-memory.js';

/**
 * How long after the last crash or trial of a content it is tried, for its first trial and so on.
 * Each trial of a content that does crash targets costs one more, so there are few.
 */
const TRIAL_AFTER_MS = [30_000, 600_000];

/**
 * Returns the trial of a rejected content that is due, or null. It must be in the store before the
 * content is sent.
 */
export function dueTrial(memory: CrashMemory, content: string, nowMs: number): CrashNote | null {
  if (!isQuarantinedContent(memory, content)) return null;
  const crashes = [...(memory.crashesByContent.get(content)?.values() ?? [])];
  const lastMs = Math.max(...crashes.map(({ notedAtMs }) => notedAtMs));
  const next = TRIAL_NAMES.findIndex((target) => !countsCrash(memory, { content, target }));
  const target = TRIAL_NAMES[next];
  const afterMs = TRIAL_AFTER_MS[next] ?? Infinity;
  if (target === undefined || nowMs - lastMs < afterMs) return null;
  return { content, target };
}
