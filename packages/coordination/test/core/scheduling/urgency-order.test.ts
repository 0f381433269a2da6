/** Tests which of two jobs goes first if jobs rank by urgency. */
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import type { ServiceEstimate, Standing } from '../../../src/core/scheduling/ranking.js';
import { compareUrgency } from '../../../src/core/scheduling/urgency-order.js';

/** Returns an estimate of a job of priority 1 that is on time by 200 ms. */
function estimate(
  standing: Partial<Standing> = {},
  { slackMs = 200, serviceMs = 50 } = {},
): ServiceEstimate {
  const ordinary = { value: 1, priority: 1, isRetry: false };
  return {
    standing: { ...ordinary, precedesNewJobs: false, isStarved: false, ...standing },
    serviceMs,
    copiedTokens: 0,
    firstEventAtMs: 1000,
    aimAtMs: 1000 + slackMs,
  };
}

function goesFirst(first: ServiceEstimate, second: ServiceEstimate): boolean {
  return compareUrgency(first, second) < 0 && compareUrgency(second, first) > 0;
}

describe('the order by urgency', () => {
  const ordinary = estimate();

  // During a long overload, the least urgent type would not be served at all.
  it('puts starved jobs first, even late ones', () => {
    assert.ok(goesFirst(estimate({ isStarved: true, priority: 9 }, { slackMs: -50 }), ordinary));
  });

  // Urgent jobs that are late anyway would make others late as well.
  it('puts jobs that can be on time before those that cannot', () => {
    assert.ok(goesFirst(estimate({ priority: 2 }), estimate({ priority: 0 }, { slackMs: -1 })));
  });

  it('puts urgent jobs first, whatever they cost', () => {
    assert.ok(goesFirst(estimate({ priority: 0 }, { serviceMs: 190 }), ordinary));
  });

  it('puts retries before new jobs of their priority only', () => {
    const retry = estimate({ precedesNewJobs: true }, { slackMs: 2000 });
    assert.ok(goesFirst(retry, ordinary));
    assert.ok(goesFirst(estimate({ priority: 0 }), retry));
  });

  it('puts the least slack first, and the cheaper job where it is the same', () => {
    assert.ok(goesFirst(estimate({}, { slackMs: 100 }), ordinary));
    assert.ok(goesFirst(estimate({}, { serviceMs: 10 }), ordinary));
  });

  describe('for a less urgent job that would become late behind a more urgent one', () => {
    const tight = estimate({ priority: 2 }, { slackMs: 40 });

    // It would be late although the urgent job can be on time behind it.
    it('lets it pass if the urgent job has slack to spare', () => {
      assert.ok(goesFirst(tight, estimate({ priority: 0 }, { slackMs: 60 })));
    });

    it('does not let it pass if the urgent job would be late behind it', () => {
      assert.ok(goesFirst(estimate({ priority: 0 }, { slackMs: 45 }), tight));
    });
  });
});
