/** Events of a target's prefix cache, as the target's sidecar forwards them from the engine. */

/** What happened to cached blocks. */
export enum CacheChange {
  Stored = 'stored',
  Evicted = 'evicted',
  Cleared = 'cleared',
}

/** One cache event. A gap in `sequence` means that events were lost. */
export interface CacheEvent {
  readonly epoch: string;
  readonly sequence: number;
  readonly change: CacheChange;
  /** Fingerprints of the affected blocks; each covers all text before it. */
  readonly blocks: readonly string[];
}
