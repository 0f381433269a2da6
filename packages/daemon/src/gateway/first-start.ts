/**
 * Lets the gateways of a deployment that starts for the first time use common allowances soon after
 * their start. Otherwise each waits until what earlier processes may have used is a window ago.
 *
 * A key in the store that is never removed tells whether any gateway may have used an allowance. A
 * gateway that was announced before the key existed is seen by every gateway that has read the fleet
 * as of that key, so these may divide the allowance among them at once. Gateways that find the key
 * wait. A store that comes back from an older copy may have lost the key; gateways that know it write
 * it again.
 */
import { setTimeout as sleep } from 'node:timers/promises';
import { type Random, eraOf } from '@cassiamast/coordination';
import type { FleetPort } from '@cassiamast/ports';
import type { Child } from '../supervisor/supervisor.js';
import type { GatewayCount } from './gateway-count.js';
import type { GatewayLog } from './gateway-log.js';

const FIRST_START_KEY = 'allowances/first-start';
const FIRST_VALUE = '{}';
/** Tells that the first start was before the store came back from an older copy. */
const AGAIN_VALUE = '{"again":true}';
/** Time for gateways that start together to announce themselves before the key is written. */
const SETTLE_MS = 3000;
const POLL_MS = 200;
/** Gateways look for the lost key at different moments within this time. */
const REWRITE_SPREAD_MS = 1000;

/** Dependencies of the first start. */
export interface FirstStartOptions {
  readonly store: Pick<FleetPort, 'get' | 'transact'>;
  readonly gateways: Pick<GatewayCount, 'announcement' | 'joinFirstStart'>;
  /** Returns the revision of the store up to which the fleet was read. */
  readonly readRevision: () => number;
  /** Called when this gateway learns that it is one of the first start. */
  readonly onFirst: () => void;
  readonly random: Random;
  readonly log: GatewayLog;
}

/** The part of a gateway that takes part in the first start of its deployment. */
export interface FirstStart {
  readonly child: Child;
  /**
   * Returns whether no gateway ran before this one and those that started with it; false until the key
   * is written, and after the store has come back from an older copy.
   */
  readonly isFirst: () => boolean;
  /** Must be called when the store has come back from an older copy. */
  readonly noteRestored: () => Promise<void>;
}

/** Creates that part. */
export function createFirstStart(options: FirstStartOptions): FirstStart {
  const { store, gateways, readRevision, random, log } = options;
  let stopped = true;
  /** Whether the key was in the store. */
  let isKeyKnown = false;
  /** Whether this gateway is one of those that wrote the key for the first time. */
  let isFirst = false;
  /** Whether the store has come back from an older copy, which may have lost the key. */
  let isRestored = false;

  async function waitFor(isMet: () => boolean): Promise<void> {
    while (!stopped && !isMet()) await sleep(POLL_MS);
  }

  /**
   * Writes the key unless it is there. Returns the revision at which it was written for the first time,
   * or null if the store does not tell, or the first start was before.
   */
  async function writeKey(value: string): Promise<number | null> {
    const written = await store.transact(
      [{ key: FIRST_START_KEY, modRevision: 0 }],
      [{ key: FIRST_START_KEY, value }],
    );
    return written.match(
      ({ succeeded, revision, current: [found] }) => {
        isKeyKnown = true;
        if (succeeded) return revision;
        return found?.value === FIRST_VALUE ? found.modRevision : null;
      },
      ({ message }) => {
        log.warn('first start not recorded', { cause: message });
        return null;
      },
    );
  }

  /**
   * Reads the key until the store answers. Returns the announcement of this gateway that was before the
   * key, or null if there is none.
   */
  async function announcementBeforeKey(): Promise<number | null> {
    while (!stopped) {
      await waitFor(() => gateways.announcement() !== null);
      const announcement = gateways.announcement();
      const found = await store.get(FIRST_START_KEY);
      if (found.isOk()) {
        isKeyKnown = found.value !== null;
        return isKeyKnown ? null : announcement;
      }
      await sleep(POLL_MS);
    }
    return null;
  }

  async function join(): Promise<void> {
    const announcement = await announcementBeforeKey();
    if (stopped || announcement === null) return;
    await sleep(SETTLE_MS);
    if (stopped) return;
    const revision = await writeKey(FIRST_VALUE);
    if (revision === null) return;
    isFirst = true;
    options.onFirst();
    await waitFor(() => readRevision() >= revision);
    // In another era, announcements from before the key may be lost.
    const isSameEra = eraOf(readRevision()) === eraOf(revision);
    if (!stopped && isSameEra) gateways.joinFirstStart(announcement);
  }

  async function writeKeyAgain(): Promise<void> {
    isRestored = true;
    if (!isKeyKnown) return;
    await sleep(random() * REWRITE_SPREAD_MS);
    while (!stopped) {
      const found = await store.get(FIRST_START_KEY);
      if (found.isOk() && found.value !== null) return;
      // The answer to the write may be lost, so the key is read once more.
      if (found.isOk()) await writeKey(AGAIN_VALUE);
      await sleep(POLL_MS);
    }
  }

  const child: Child = {
    name: 'first-start',
    start: () => {
      stopped = false;
      void join();
      return Promise.resolve();
    },
    stop: () => {
      stopped = true;
      return Promise.resolve();
    },
  };
  return {
    child,
    isFirst: () => isFirst && !isRestored,
    noteRestored: writeKeyAgain,
  };
}
