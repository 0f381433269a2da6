/** Tests of the aggregated fleet view, its rates, and watching. */
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { MemberKind } from '@cassiamast/coordination';
import { fleetView, ratesBetween } from '../../../src/core/fleet/fleet-view.js';
import { watchFleet, type Refresh } from '../../../src/core/fleet/watch-fleet.js';
import { UNKNOWN_MEMBER_ANSWER } from '../../../src/core/process/failures.js';
import { err, ok } from 'neverthrow';
import { processStatus, serviceStatus } from '../../fixtures/fleet.js';

const [A, B] = ['10.0.0.1:7000', '10.0.0.2:7000'];

function answeredView(answered: number) {
  const goodput = { ...serviceStatus().goodput, answered };
  return fleetView([processStatus(A, { services: [serviceStatus({ goodput })] })], [], []);
}

describe('the view of the fleet', () => {
  it('uses the most recent report of a target and the highest fence', () => {
    const [target] = serviceStatus().targets;
    assert.ok(target);
    const stale = { ...target, loadRatio: 0.9, reportAgeMs: 5_000 };
    const view = fleetView(
      [
        processStatus(A, {
          services: [serviceStatus({ targets: [stale], authority: { holder: A, fence: 4 } })],
        }),
        processStatus(B, { services: [serviceStatus({ authority: { holder: B, fence: 9 } })] }),
      ],
      [],
      [],
    );
    assert.equal(view.services[0]?.targets[0]?.loadRatio, 0.4);
    assert.equal(view.services[0]?.authority, B);
  });

  it('does not count a sidecar’s own view of its service', () => {
    const view = fleetView(
      [processStatus(A), processStatus(B, { kind: MemberKind.Sidecar })],
      [],
      [],
    );
    assert.equal(view.services[0]?.goodput.answered, 10);
  });

  it('reports how many entries see a service as not ready, and why', () => {
    const unready = serviceStatus({ ready: false, reason: 'no target' });
    const view = fleetView([processStatus(A), processStatus(B, { services: [unready] })], [], []);
    assert.deepEqual(
      [view.services[0]?.readyAt, view.services[0]?.seenBy, view.services[0]?.reason],
      [1, 2, 'no target'],
    );
  });

  describe('rates', () => {
    it('are counter differences divided by the elapsed time', () => {
      const [rates] = ratesBetween(answeredView(100), answeredView(150), 2_000);
      assert.equal(rates?.answeredPerS, 25);
    });

    it('count from zero after a process has restarted', () => {
      const [rates] = ratesBetween(answeredView(100), answeredView(30), 1_000);
      assert.equal(rates?.answeredPerS, 30);
    });
  });

  describe('watching', () => {
    /*
     * The entry that a live view polls is replaced and one refresh fails. Operators use the view
     * during such replacements, so the failed refresh must not end it.
     */
    it('continues when the entry is unavailable for one poll', async () => {
      const refreshes: Refresh[] = [];
      let round = 0;
      let clockMs = 0;
      await watchFleet({
        callMember: <Answer>() => {
          const failure = UNKNOWN_MEMBER_ANSWER.of({ member: A, cause: 'refused' });
          return Promise.resolve(round === 1 ? err(failure) : ok(processStatus(A) as Answer));
        },
        entries: [A],
        intervalMs: 1_000,
        count: 3,
        nowMs: () => clockMs,
        wallMs: () => clockMs,
        sleep: (delayMs) => {
          clockMs += delayMs;
          round += 1;
          return Promise.resolve();
        },
        onRefresh: (refresh) => refreshes.push(refresh),
      });
      assert.deepEqual(
        refreshes.map(({ atWallMs }) => atWallMs),
        [0, 2_000],
      );
    });
  });
});
