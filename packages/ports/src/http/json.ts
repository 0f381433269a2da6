/**
 * Reading JSON that another system sent: never trusted to have the shape that was agreed on.
 */

/** A JSON object of unknown content. */
export type JsonObject = Readonly<Record<string, unknown>>;

/** Parses a JSON object, or gives null for anything else. */
export function parseJsonObject(text: string): JsonObject | null {
  try {
    return asObject(JSON.parse(text));
  } catch {
    return null;
  }
}

/** The value as an object, or null. */
export function asObject(value: unknown): JsonObject | null {
  if (typeof value !== 'object' || value === null || Array.isArray(value)) return null;
  return value as JsonObject;
}

/** The value as a list; an absent or wrong one is empty. */
export function asList(value: unknown): readonly unknown[] {
  return Array.isArray(value) ? (value as unknown[]) : [];
}

/** The value as text, or the fallback. */
export function asText(value: unknown, fallback = ''): string {
  return typeof value === 'string' ? value : fallback;
}

/** The value as a number; the protocol buffers' JSON form writes 64-bit ones as text. */
export function asNumber(value: unknown, fallback = 0): number {
  const number = typeof value === 'string' && value !== '' ? Number(value) : value;
  return typeof number === 'number' && Number.isFinite(number) ? number : fallback;
}

/** The member of a string enum that equals the value, or null. */
export function asMember<T extends string>(members: Record<string, T>, value: unknown): T | null {
  return Object.values(members).find((member) => member === value) ?? null;
}
