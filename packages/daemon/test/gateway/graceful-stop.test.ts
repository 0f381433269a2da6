/** The steps of a graceful stop, in their order. */
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import type { FrontServer } from '../../src/gateway/front-server.js';
import { stopGracefully } from '../../src/gateway/graceful-stop.js';
import { StopReason } from '../../src/node/run-process.js';

const GRACE_MS = 8000;
/** All of it is needed for the end, so that the drain is over at once. */
const SHORT_GRACE_MS = 700;

/** Looks at open requests until some time after the notice. */
const LOOKS_BUSY = 60;

/** A port whose requests are over after so many looks, and what happens to it. */
function fakeFront(
  looksBusy: number,
  steps: string[],
): { readonly front: FrontServer; readonly tookAfterDrain: () => boolean } {
  let looks = 0;
  let refuses = false;
  let tookAfterDrain = false;
  const front: FrontServer = {
    child: { name: 'front', start: () => Promise.resolve(), stop: () => Promise.resolve() },
    open: () => {
      looks += 1;
      if (looks <= looksBusy) return 1;
      // The first moment at which a request could be read after none was counted.
      queueMicrotask(() => {
        tookAfterDrain ||= !refuses && steps.includes('gateway drained');
      });
      return 0;
    },
    received: () => 0,
    follow: () => undefined,
    disableKeepAlive: () => steps.push('disable keep-alive'),
    takeOnlyUntil: () => steps.push('limit'),
    refuseAll: () => {
      refuses = true;
      steps.push('refuse');
    },
    endAll: () => steps.push('end all'),
    close: () => {
      steps.push('close');
      return Promise.resolve(0);
    },
  };
  return { front, tookAfterDrain: () => tookAfterDrain };
}

async function stop(front: FrontServer, graceMs: number, steps: string[]): Promise<void> {
  const note = (message: string): void => {
    steps.push(message);
  };
  await stopGracefully(
    {
      front,
      graceMs,
      nowMs: () => performance.now(),
      signalledSinceMs: performance.now(),
      log: { info: note, warn: note, lifecycle: note },
      announceLeaving: () => steps.push('announce'),
      stopChildren: () => Promise.resolve(note('stop parts')),
      writeLog: () => Promise.resolve(note('write log')),
    },
    StopReason.Requested,
  );
}

const END = ['gateway drained', 'close', 'gateway ends', 'stop parts', 'write log'];

describe('a graceful stop', () => {
  // Guards against a request that is read, passed on and cut after none was counted.
  it('refuses requests in the step that counts none, before anything else ends', async () => {
    const steps: string[] = [];
    const { front, tookAfterDrain } = fakeFront(LOOKS_BUSY, steps);
    await stop(front, GRACE_MS, steps);
    assert.equal(tookAfterDrain(), false);
    assert.deepEqual(steps, [
      'gateway stops',
      'disable keep-alive',
      'announce',
      'limit',
      'refuse',
      ...END,
    ]);
  });

  it('tells what is still open before it closes the port', async () => {
    const steps: string[] = [];
    const { front } = fakeFront(Infinity, steps);
    await stop(front, SHORT_GRACE_MS, steps);
    const over = ['refuse', 'grace is over', 'end all'];
    assert.deepEqual(steps, [
      'gateway stops',
      'disable keep-alive',
      'announce',
      'limit',
      ...over,
      ...END,
    ]);
  });
});
