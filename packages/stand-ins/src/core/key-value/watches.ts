/**
 * Running watches of the key-value stand-in, and their injected faults.
 */
import type { ServerResponse } from 'node:http';
import type { KeyValueFaults } from './faults.js';
import { consumeFault } from './faults.js';
import type { Store, StoredChange } from './store.js';
import { changesSince } from './store.js';
import { eventBody, header } from './wire.js';

/** Maximum number of buffered bytes per watch. A watch whose client reads too slowly is closed. */
const MAX_WAITING_BYTES = 16 * 1024 * 1024;

interface Watch {
  readonly response: ServerResponse;
  readonly watched: (key: string) => boolean;
}

/** The running watches. */
export interface Watches {
  readonly add: (
    response: ServerResponse,
    watched: (key: string) => boolean,
    startRevision: number,
  ) => void;
  readonly notify: (changes: readonly StoredChange[]) => void;
  readonly breakAll: () => void;
  readonly count: () => number;
}

/** Creates an empty set of watches on a store. */
export function createWatches(store: Store, faults: KeyValueFaults): Watches {
  const running = new Set<Watch>();

  const send = (watch: Watch, changes: readonly StoredChange[]): void => {
    const relevant = changes.filter((change) => watch.watched(change.key));
    if (relevant.length === 0) return;
    write(watch.response, {
      header: header(store),
      watch_id: '0',
      events: relevant.map(eventBody),
    });
    if (watch.response.writableLength > MAX_WAITING_BYTES) watch.response.destroy();
  };

  return {
    add: (response, watched, startRevision) => {
      const watch = { response, watched };
      running.add(watch);
      response.on('close', () => running.delete(watch));
      response.writeHead(200, { 'content-type': 'application/json' });
      write(response, { header: header(store), watch_id: '0', created: true });
      if (startRevision > 0) send(watch, changesSince(store, startRevision, watched));
    },
    notify: (changes) => {
      if (changes.length === 0) return;
      if (consumeFault(faults, 'dropWatchEvents')) return;
      const delivered = [...changes];
      if (consumeFault(faults, 'repeatWatchEvents')) delivered.push(...changes);
      if (consumeFault(faults, 'staleWatchEvents')) delivered.push(...oldest(store, changes));
      for (const watch of running) send(watch, delivered);
    },
    breakAll: () => {
      for (const watch of running) watch.response.destroy();
      running.clear();
    },
    count: () => running.size,
  };
}

function oldest(store: Store, changes: readonly StoredChange[]): readonly StoredChange[] {
  const keys = new Set(changes.map((change) => change.key));
  return [...keys].flatMap((key) => {
    const first = store.history.find((change) => change.key === key);
    return first === undefined ? [] : [first];
  });
}

function write(response: ServerResponse, result: unknown): void {
  response.write(`${JSON.stringify({ result })}\n`);
}
