/** Checks that reachability depends on accepted connections, not on what the process answers. */
import assert from 'node:assert/strict';
import { type AddressInfo, createServer } from 'node:net';
import { describe, it } from 'node:test';
import { isReachable } from '../../src/node/reachable.js';

const WITHIN_MS = 2000;

describe('a VM', () => {
  it('is reachable while a process listens, even if it sends nothing', async () => {
    const server = createServer(() => undefined);
    await new Promise<void>((resolve) => {
      server.listen(0, '127.0.0.1', resolve);
    });
    const address = `127.0.0.1:${String((server.address() as AddressInfo).port)}`;
    assert.equal(await isReachable(address, WITHIN_MS), true);
    server.close();
  });

  it('is not reachable once no process listens', async () => {
    const server = createServer();
    await new Promise<void>((resolve) => {
      server.listen(0, '127.0.0.1', resolve);
    });
    const { port } = server.address() as AddressInfo;
    await new Promise((resolve) => server.close(resolve));
    assert.equal(await isReachable(`127.0.0.1:${String(port)}`, WITHIN_MS), false);
  });
});
