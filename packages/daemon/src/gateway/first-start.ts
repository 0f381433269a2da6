/**
 * Lets the gateways of a deployment that starts for the first time use common allowances soon after
 * their start. Otherwise each waits until what earlier processes may have used is a window ago.
 *
 * A key in the store that is never removed tells whether any gateway may have used an allowance. A
 * gateway that was announced before the key existed is seen by every gateway that has read the fleet
 * as of that key, so these may divide the allowance among them at once. Gateways that find the key
 * wait.
 */
import { setTimeout as sleep } from 'node:timers/promises';
import type { FleetPort } from '@cassiamast/ports';
import type { Child } from '../supervisor/supervisor.js';
import type { GatewayCount } from './gateway-count.js';
import type { GatewayLog } from './gateway-log.js';

const FIRST_START_KEY = 'allowances/first-start';
/** Time for gateways that start together to announce themselves before the key is written. */
const SETTLE_MS = 3000;
const POLL_MS = 200;

/** Dependencies of the first start. */
export interface FirstStartOptions {
  readonly store: Pick<FleetPort, 'get' | 'transact'>;
  readonly gateways: Pick<GatewayCount, 'announcement' | 'joinFirstStart'>;
  /** Returns the revision of the store up to which the fleet was read. */
  readonly readRevision: () => number;
  readonly log: GatewayLog;
}

/** Creates the part of a gateway that takes part in the first start of its deployment. */
export function createFirstStart(options: FirstStartOptions): Child {
  const { store, gateways, readRevision, log } = options;
  let stopped = true;

  async function waitFor(isMet: () => boolean): Promise<void> {
    while (!stopped && !isMet()) await sleep(POLL_MS);
  }

  /** Returns the revision at which the key was written, or null if the store does not tell. */
  async function writeKey(): Promise<number | null> {
    const written = await store.transact(
      [{ key: FIRST_START_KEY, modRevision: 0 }],
      [{ key: FIRST_START_KEY, value: '{}' }],
    );
    return written.match(
      ({ succeeded, revision, current }) =>
        succeeded ? revision : (current[0]?.modRevision ?? null),
      ({ message }) => {
        log.warn('first start not recorded', { cause: message });
        return null;
      },
    );
  }

  async function join(): Promise<void> {
    await waitFor(() => gateways.announcement() !== null);
    const announcement = gateways.announcement();
    const found = await store.get(FIRST_START_KEY);
    if (stopped || announcement === null || found.isErr() || found.value !== null) return;
    await sleep(SETTLE_MS);
    if (stopped) return;
    const revision = await writeKey();
    if (revision === null) return;
    await waitFor(() => readRevision() >= revision);
    if (!stopped) gateways.joinFirstStart(announcement);
  }

  return {
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
}
