/** Tests a fleet that starts while the key-value service responds slowly. */
import assert from 'node:assert/strict';
import { after, before, describe, it } from 'node:test';
import { requestCompletion } from '../fixtures/callers.js';
import { type Fleet, startFleet } from '../fixtures/fleet.js';

const SLOW_MS = 3_000;

describe('a fleet that starts while the key-value service is slow', () => {
  let fleet: Fleet;

  before(async () => {
    fleet = await startFleet({ entries: 2, engines: 2, keyValueSlowMs: SLOW_MS });
  });
  after(() => fleet.stop());

  // Reads of the configuration must not time out before a slow key-value service responds. Otherwise
  // no entry ever serves.
  it('serves callers', async () => {
    const prompt = 'History with a late page.';
    const answer = await requestCompletion({
      url: fleet.url(0),
      prompt,
      maxTokens: 4,
      key: 'slow-1',
    });
    assert.equal(answer.status, 200, JSON.stringify(answer.problem));
  });
});
