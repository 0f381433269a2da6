/** Tests the patches between versions of the configuration. */
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import fc from 'fast-check';
import type { Configuration, MemberConfiguration } from '../../../src/index.js';
import { applyPatch, diffConfigurations } from '../../../src/index.js';
import { configuration, held, targetSpec } from '../../fixtures/configuration.js';
import { testHash32 } from '../../fixtures/fleet.js';

const compiledArbitrary: fc.Arbitrary<Configuration> = fc
  .tuple(
    fc.uniqueArray(fc.integer({ min: 0, max: 4 }), { maxLength: 4 }),
    fc.array(fc.uniqueArray(fc.integer({ min: 0, max: 20 }), { maxLength: 6 }), {
      minLength: 5,
      maxLength: 5,
    }),
    fc.nat({ max: 3 }),
    fc.uniqueArray(fc.integer({ min: 0, max: 5 })),
  )
  .map(([names, targets, variant, workspaces]) => {
    const [service] = configuration(0).services;
    const { limits } = configuration(0);
    return {
      services: names.flatMap((name) =>
        service === undefined
          ? []
          : {
              ...service,
              name: `service-${String(name)}`,
              priority: variant,
              targets: (targets[name] ?? []).map((index) => ({
                ...targetSpec(index),
                withdrawn: (index + variant) % 4 === 0,
              })),
            },
      ),
      workspaces: workspaces.map((index) => ({
        name: `workspace-${String(index)}`,
        share: variant + 1,
        apiKeySha256: [],
        maxTokensPerS: null,
      })),
      limits: { ...limits, drainMs: variant },
    };
  });

function documentAt(version: number, compiled: Configuration): MemberConfiguration {
  return { ...held(version), compiled };
}

describe('configuration patches', () => {
  describe('applied to their base version', () => {
    it('produce the later document', () => {
      fc.assert(
        fc.property(compiledArbitrary, compiledArbitrary, (before, after) => {
          const patch = diffConfigurations(documentAt(1, before), documentAt(2, after), testHash32);
          const sent: unknown = JSON.parse(JSON.stringify(patch));
          const patched = applyPatch(documentAt(1, before), sent as typeof patch, testHash32);
          assert.deepEqual(patched._unsafeUnwrap(), documentAt(2, after));
        }),
        { seed: 1 },
      );
    });

    it('take less than 1,000 bytes when one target of 730 is withdrawn', () => {
      const before = configuration(730);
      const services = before.services.map((service) => ({
        ...service,
        targets: service.targets.map((target, index) => ({ ...target, withdrawn: index === 7 })),
      }));
      const patch = diffConfigurations(
        documentAt(1, before),
        documentAt(2, { ...before, services }),
        testHash32,
      );
      assert.ok(JSON.stringify(patch).length < 1_000);
    });
  });

  describe('applied to another document', () => {
    it('are rejected by version and by hash', () => {
      const patch = diffConfigurations(held(1), held(2), testHash32);
      const wrongVersion = applyPatch(held(3), patch, testHash32);
      assert.equal(wrongVersion._unsafeUnwrapErr().name, 'configuration-patch-mismatch');
      const wrongContent = applyPatch(documentAt(1, configuration(9)), patch, testHash32);
      assert.equal(wrongContent._unsafeUnwrapErr().name, 'configuration-patch-mismatch');
    });
  });
});
