/**
 * Running watches of the key-value stand-in, and the ways in which they misbehave.
 */
import type { ServerResponse } from 'node:http';
import type { KeyValueFaults } from './faults.js';
import { takeOne } from './faults.js';
import type { Store, StoredChange } from './store.js';
import { changesSince } from './store.js';
import { eventBody, header } from './wire.js';

/** Bytes that may wait for one watcher; one that reads too slowly is cut off. */
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
  readonly tell: (changes: readonly StoredChange[]) => void;
  readonly breakAll: () => void;
  readonly count: () => number;
}

/** Makes an empty set of watches on a store. */
export function createWatches(store: Store, faults: KeyValueFaults): Watches {
  const running = new Set<Watch>();

  const send = (watch: Watch, changes: readonly StoredChange[]): void => {
    const mine = changes.filter((change) => watch.watched(change.key));
    if (mine.length === 0) return;
    write(watch.response, {
      header: header(store),
      watch_id: '0',
      events: mine.map(eventBody),
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
    tell: (changes) => {
      if (changes.length === 0) return;
      if (takeOne(faults, 'dropWatchEvents')) return;
      const told = [...changes];
      if (takeOne(faults, 'repeatWatchEvents')) told.push(...changes);
      if (takeOne(faults, 'staleWatchEvents')) told.push(...oldest(store, changes));
      for (const watch of running) send(watch, told);
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
