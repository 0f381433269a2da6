/** The embedding example keeps what its page says. */
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { seededRandom } from '@cassiamast/coordination';
import { createKeyValueClient } from '@cassiamast/ports';
import { startKeyValue } from '@cassiamast/stand-ins';
import { playTwoWorkers } from '../../src/embedding/two-workers.js';

describe('embedding the fenced lease', () => {
  describe('a pause past the lease', () => {
    it('ends the first one’s authority and gives the second a higher fence', async () => {
      // Two workers settle invoices, one at a time. The first is paused past its lease; the second
      // takes over. If the first went on when it wakes up, invoices would be settled twice.
      const service = await startKeyValue();
      const client = createKeyValueClient({ endpoints: [service.address] });
      const result = await playTwoWorkers(client, seededRandom(1), () => undefined);
      await client.close();
      await service.stop();
      assert.equal(result.firstStillActs, false);
      assert.ok(result.secondFence > result.firstFence);
    });
  });
});
