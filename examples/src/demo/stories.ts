/**
 * What each caller met, in the order of its attempts: the half of a request's story that no process
 * of the fleet can tell. The other half is the time line's events of the same key.
 */

/** More attempts of one request than this tell nothing further. */
const MAX_LINES_PER_KEY = 100;

/** The attempts of all callers, by idempotency key. */
export interface Stories {
  readonly note: (idempotencyKey: string, text: string) => void;
  readonly of: (idempotencyKey: string) => readonly string[];
}

/** Nothing noted yet; lines begin with the wall clock, as the time line's events do. */
export function createStories(wallMs: () => number): Stories {
  const lines = new Map<string, string[]>();
  return {
    note: (idempotencyKey, text) => {
      const known = lines.get(idempotencyKey) ?? [];
      if (known.length >= MAX_LINES_PER_KEY) return;
      const at = new Date(wallMs()).toISOString().slice('yyyy-mm-ddT'.length);
      known.push(`${at} caller | ${text}`);
      lines.set(idempotencyKey, known);
    },
    of: (idempotencyKey) => lines.get(idempotencyKey) ?? [],
  };
}

/** Two halves of a story as one, by the time that each line begins with. */
export function mergeStory(first: readonly string[], second: readonly string[]): readonly string[] {
  return [...first, ...second].sort((a, b) => (a < b ? -1 : a > b ? 1 : 0));
}
