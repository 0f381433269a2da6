/** Checks whose connection yields when clients hold too much. */
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import fc from 'fast-check';
import {
  type ClientLimits,
  ConnectionPhase,
  type ConnectionUse,
  clientLimits,
  yieldsBytes,
  yieldsDescriptor,
} from '../../../src/core/client-limits/client-limits.js';

const LIMITS: ClientLimits = { maxBytes: 1_000_000, maxConnections: 10, maxRunning: 10 };
const MIB = 1024 * 1024;

function use(change: Partial<ConnectionUse> = {}): ConnectionUse {
  return {
    phase: ConnectionPhase.Receiving,
    bytes: 10_000,
    isRunning: false,
    hasBeenServed: false,
    activeAtMs: 0,
    ...change,
  };
}

const uses = fc.array(
  fc.record({
    phase: fc.constantFrom(...Object.values(ConnectionPhase)),
    bytes: fc.nat(600_000),
    isRunning: fc.boolean(),
    hasBeenServed: fc.boolean(),
    activeAtMs: fc.nat(1000),
  }),
  { maxLength: 20 },
);
const sum = (all: readonly ConnectionUse[]): number => all.reduce((to, { bytes }) => to + bytes, 0);

describe('clients that hold too many bytes', () => {
  it('yield by size, the oldest first of equal ones', () => {
    const old = use({ bytes: 400_000, activeAtMs: 1 });
    const all = [use({ bytes: 400_000, activeAtMs: 2 }), old, use({ bytes: 300_000 })];
    assert.equal(yieldsBytes(all, sum(all), LIMITS), old);
  });

  // Guards against refusing a small ordinary request while others hold much.
  it('leave a reserve to small requests', () => {
    const small = use({ bytes: 5000 });
    const running = use({ phase: ConnectionPhase.Running, bytes: 900_000 });
    assert.equal(yieldsBytes([small, running], 905_000, LIMITS), null);
    const large = use({ bytes: 20_000 });
    assert.equal(yieldsBytes([small, running, large], 925_000, LIMITS), large);
  });

  // Guards against cutting an accepted request off.
  it('never yield while all their requests run', () => {
    fc.assert(
      fc.property(uses, (all) => {
        const phase = yieldsBytes(all, sum(all), LIMITS)?.phase;
        assert.notEqual(phase, ConnectionPhase.Running);
        assert.notEqual(phase, ConnectionPhase.Idle);
      }),
    );
  });

  it('do not yield below three quarters of the limit', () => {
    fc.assert(
      fc.property(uses, (all) => {
        const yielding = yieldsBytes(all, sum(all), LIMITS);
        assert.ok(yielding === null || sum(all) > 750_000);
      }),
    );
  });
});

describe('clients with too many connections', () => {
  it('yield the one that has been silent for longest', () => {
    const silent = use({ phase: ConnectionPhase.Idle, activeAtMs: 1 });
    const all = [use({ activeAtMs: 5 }), silent, use({ activeAtMs: 3 })];
    assert.equal(yieldsDescriptor(all, 11, LIMITS), silent);
    assert.equal(yieldsDescriptor(all, 10, LIMITS), null);
  });

  // Guards against closing the kept connections of ordinary callers for a crowd that sends nothing.
  it('yield those that were never served first', () => {
    const kept = use({ phase: ConnectionPhase.Idle, hasBeenServed: true, activeAtMs: 1 });
    const silent = use({ phase: ConnectionPhase.Idle, activeAtMs: 5 });
    assert.equal(yieldsDescriptor([kept, silent], 11, LIMITS), silent);
    assert.equal(yieldsDescriptor([kept], 11, LIMITS), kept);
  });

  // Guards against closing the stream of a slow reader while others keep silent connections.
  it('yield one with an unread answer after all that await nothing', () => {
    const slow = use({ phase: ConnectionPhase.Unread, isRunning: true, activeAtMs: 1 });
    const kept = use({ phase: ConnectionPhase.Idle, hasBeenServed: true, activeAtMs: 5 });
    assert.equal(yieldsDescriptor([slow, kept], 11, LIMITS), kept);
    assert.equal(yieldsDescriptor([slow], 11, LIMITS), slow);
  });

  it('never yield one whose answers are awaited', () => {
    fc.assert(
      fc.property(uses, (all) => {
        const yielding = yieldsDescriptor(all, 11, LIMITS);
        assert.ok(yielding?.isRunning !== true || yielding.phase === ConnectionPhase.Unread);
      }),
    );
  });
});

describe('the limits of a machine', () => {
  // Guards against a limit that a single request within the operators' limits meets.
  it('have room for the longest body beside the reserve', () => {
    fc.assert(
      fc.property(
        fc.integer({ min: 64, max: 4000 }),
        fc.integer({ min: 1, max: 512 }),
        (mb, body) => {
          const limits = clientLimits({ memoryMb: mb, maxFds: 4096 }, body * MIB);
          const bytes = body * MIB + 100_000;
          assert.equal(yieldsBytes([use({ bytes })], bytes, limits), null);
        },
      ),
    );
  });

  it('allow a part of the descriptors, and at least one connection', () => {
    assert.equal(clientLimits({ memoryMb: 350, maxFds: 4100 }, MIB).maxConnections, 1950);
    assert.equal(clientLimits({ memoryMb: 350, maxFds: 100 }, MIB).maxConnections, 1);
  });
});
