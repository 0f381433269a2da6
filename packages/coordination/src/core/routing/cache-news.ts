/** News of a target's prefix cache, as its sidecar passes the engine's cache events on. */

/** What happened to cached blocks. */
export enum CacheChange {
  Stored = 'stored',
  Evicted = 'evicted',
  Cleared = 'cleared',
}

/** One event; a hole in `sequence` means that events were lost. */
export interface CacheNews {
  readonly epoch: string;
  readonly sequence: number;
  readonly change: CacheChange;
  /** Fingerprints of the blocks concerned; each covers all text before it. */
  readonly blocks: readonly string[];
}
