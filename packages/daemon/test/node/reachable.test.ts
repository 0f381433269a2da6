/** Whether a VM lets a connection in, whatever its process does. */
import assert from 'node:assert/strict';
import { type AddressInfo, createServer } from 'node:net';
import { describe, it } from 'node:test';
import { isReachable } from '../../src/node/reachable.js';

const WITHIN_MS = 2000;

describe('a VM', () => {
  it('is reached while a process listens, though it says nothing', async () => {
    const server = createServer(() => undefined);
    await new Promise<void>((resolve) => {
      server.listen(0, '127.0.0.1', resolve);
    });
    const address = `127.0.0.1:${String((server.address() as AddressInfo).port)}`;
    assert.equal(await isReachable(address, WITHIN_MS), true);
    server.close();
  });

  it('is not reached where nothing listens any more', async () => {
    const server = createServer();
    await new Promise<void>((resolve) => {
      server.listen(0, '127.0.0.1', resolve);
    });
    const { port } = server.address() as AddressInfo;
    await new Promise((resolve) => server.close(resolve));
    assert.equal(await isReachable(`127.0.0.1:${String(port)}`, WITHIN_MS), false);
  });
});
