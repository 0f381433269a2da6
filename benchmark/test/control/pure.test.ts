/** The pure control measurement on a virtual clock, with bounds that a change must not break. */
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { createHashing } from '@cassiamast/coordination';
import { measurePure } from '../../src/control/pure.js';

const hashing = await createHashing();

/** The target's bound for everything that a node spends on control. */
const BUDGET_BYTES_PER_S = 4_096;
/** An accepted edit is in force everywhere within this. */
const EDIT_MS = 9_000;

describe('control on a virtual clock', () => {
  for (const members of [14, 56]) {
    describe(`with ${String(members)} members and 1 % loss`, () => {
      const result = measurePure(members, 0.01, 1, hashing);

      it('costs a tenth of the budget in quiet time, whatever the size', () => {
        assert.ok(result.quiet.bytesPerS < BUDGET_BYTES_PER_S / 10);
        assert.equal(result.wrongDeaths, 0);
      });

      it('asks the key-value service from one member per failure domain', () => {
        assert.ok((result.keyValueCallsPerS['read'] ?? 0) <= result.domains / 2);
        assert.ok(result.waitingWatches <= 2 * result.domains);
      });

      it('puts an edit in force everywhere in time', () => {
        assert.ok(result.editSpreadMs.worst < EDIT_MS);
      });

      it('stops work for killed members within seconds, one alone or a failure domain', () => {
        assert.ok(result.allSuspectMs.worst < 6_000);
        assert.ok(result.domainLoss.allAvoidedMs !== null);
        assert.ok(result.domainLoss.allAvoidedMs < 10_000);
        assert.equal(result.domainLoss.wrongDeaths, 0);
        assert.ok(result.domainLoss.traffic.bytesPerS < BUDGET_BYTES_PER_S);
      });
    });
  }
});
