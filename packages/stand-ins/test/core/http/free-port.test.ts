/** Ports that rigs reserve for the processes that they kill and start again. */
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { freePort, reservePortBlock } from '../../../src/core/http/free-port.js';

describe('a reserved block of ports', () => {
  // Story: a soak kills a gateway. While nothing holds its port, a demo beside it finds the port free
  // and takes it; the gateway that is started again can't bind and ends. Seen as `listen EADDRINUSE
  // 127.0.0.1:21506`. Cause: rigs shared a range and only looked whether a port was free.
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
