/**
 * Names what a target runs, so that its crashes can be counted: the whole request, and each part of
 * its prompt that other requests may share. The last part of a prompt is the request's own and is
 * covered by the whole request.
 */
import type { PromptPart } from './fleet.js';

/** Prefix of the names of prompt parts; the hash of a whole request has none. */
const PART_PREFIX = 'part-';
/** Part ids come from callers; others than these would not be valid in a key of the store. */
const PART_ID = /^[\w.-]{1,64}$/;
/**
 * Number of distinct targets that must crash on a content before it is quarantined. Fewer crashes can
 * be a coincidence while targets crash for other reasons. Parts need more, since many requests share
 * them.
 */
const CRASHES_OF_REQUEST = 3;
const CRASHES_OF_PART = 4;
/**
 * A crash that becomes known within this time after a target ran the content to completion had
 * another cause. It covers the time that a note takes to reach all gateways, and for parts the time
 * that engines take to return from a crash; a content that was harmless may crash every target of a
 * later release.
 */
export const HARMLESS_FOR_MS = 5000;
const HARMLESS_PART_FOR_MS = 10_000;

/** Returns the names of the parts of a prompt that other requests may share. */
export function sharedPartsOf(parts: readonly PromptPart[]): readonly string[] {
  const ids = new Set(parts.slice(0, -1).map(({ id }) => id));
  return [...ids].filter((id) => PART_ID.test(id)).map((id) => `${PART_PREFIX}${id}`);
}

/** Returns whether a content is a part of prompts, not a whole request. */
export function isPromptPart(content: string): boolean {
  return content.startsWith(PART_PREFIX);
}

/** Returns the number of distinct targets that must crash on a content before it is quarantined. */
export function crashesUntilQuarantine(content: string): number {
  return isPromptPart(content) ? CRASHES_OF_PART : CRASHES_OF_REQUEST;
}

/** Returns how long after a complete run of a content its crashes are excused. */
export function harmlessForMs(content: string): number {
  return isPromptPart(content) ? HARMLESS_PART_FOR_MS : HARMLESS_FOR_MS;
}
