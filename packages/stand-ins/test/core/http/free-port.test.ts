/** Tests the ports that test rigs reserve for processes that they kill and restart. */
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { freePort, reservePortBlock } from '../../../src/core/http/free-port.js';

describe('a reserved block of ports', () => {
  // Guards against a port conflict between test rigs. A soak test killed a gateway, and a demo on the
  // same machine took its free port. The restarted gateway failed with `listen EADDRINUSE
  // 127.0.0.1:21506`, because rigs shared a port range and only checked whether a port was free.
  it('is not given to another rig while none of its processes runs', async () => {
    const blocks = await Promise.all(Array.from({ length: 8 }, () => reservePortBlock()));
    const ports = blocks.flatMap(({ first, count }) =>
      Array.from({ length: count }, (_, at) => first + at),
    );
    assert.equal(new Set(ports).size, ports.length);
    const singles = await Promise.all(Array.from({ length: 20 }, () => freePort()));
    for (const port of singles) assert.equal(ports.includes(port), false);
    await Promise.all(blocks.map(({ release }) => release()));
  });
});
