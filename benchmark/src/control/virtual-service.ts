/**
 * The key-value service of the pure measurement: the configuration's two keys, watches, and a count
 * of calls by kind, a waiting watch counted as one.
 */
import type { ConfigurationDocument, ConfigurationHead } from '@cassiamast/coordination';
import { headAfter } from '@cassiamast/coordination';

/** Milliseconds until the service answers. */
export const SERVICE_MS = 3;

/** The service; callers schedule the answers. */
export class VirtualService {
  head: ConfigurationHead | null = null;
  document: ConfigurationDocument | null = null;
  readonly watchers = new Set<number>();
  readonly calls: Record<string, number> = {};

  /** Counts a call. */
  count(kind: string): void {
    this.calls[kind] = (this.calls[kind] ?? 0) + 1;
  }

  /** Forgets the counts. */
  resetCounts(): void {
    for (const kind of Object.keys(this.calls)) this.calls[kind] = 0;
  }

  /** Accepts an edit. */
  accept(document: ConfigurationDocument): void {
    this.document = document;
    this.head = headAfter(this.head, document);
    this.count('transact');
  }
}
