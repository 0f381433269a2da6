/**
 * Reads JSON from other systems. The input is not trusted to have the expected shape: each function
 * checks the type of a value and falls back to a default or null.
 */

/** A JSON object of unknown content. */
export type JsonObject = Readonly<Record<string, unknown>>;

/** Parses a JSON object; returns null for invalid JSON and for any other type. */
export function parseJsonObject(text: string): JsonObject | null {
  try {
    return asObject(JSON.parse(text));
  } catch {
    return null;
  }
}

/** Returns the value if it is a JSON object, otherwise null. */
export function asObject(value: unknown): JsonObject | null {
  if (typeof value !== 'object' || value === null || Array.isArray(value)) return null;
  return value as JsonObject;
}

/** Returns the value if it is an array, otherwise an empty array. */
export function asList(value: unknown): readonly unknown[] {
  return Array.isArray(value) ? (value as unknown[]) : [];
}

/** Returns the value if it is a string, otherwise the fallback. */
export function asText(value: unknown, fallback = ''): string {
  return typeof value === 'string' ? value : fallback;
}

/**
 * Returns the value as a finite number, otherwise the fallback. Accepts numeric strings, because
 * the JSON encoding of Protocol Buffers writes 64-bit integers as strings.
 */
export function asNumber(value: unknown, fallback = 0): number {
  const number = typeof value === 'string' && value !== '' ? Number(value) : value;
  return typeof number === 'number' && Number.isFinite(number) ? number : fallback;
}

/** Returns the member of a string enum that equals the value, or null. */
export function asMember<T extends string>(members: Record<string, T>, value: unknown): T | null {
  return Object.values(members).find((member) => member === value) ?? null;
}
