/** Checks that any single sign that a target is leaving stops new work for it. */
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { LeavingSign, MemberState, combineLeavingSigns } from '../../../src/index.js';

const healthy = { listedLeaving: false, withdrawn: false, sidecar: MemberState.Alive };

describe('signs of leaving', () => {
  describe('alone', () => {
    it('allows new work without any sign, also when the VM list is unknown', () => {
      assert.deepEqual(combineLeavingSigns(healthy), []);
      assert.deepEqual(combineLeavingSigns({ ...healthy, listedLeaving: null }), []);
    });

    const cases = [
      [{ ...healthy, listedLeaving: true }, LeavingSign.VmList],
      [{ ...healthy, withdrawn: true }, LeavingSign.Withdrawn],
      [{ ...healthy, sidecar: MemberState.Leaving }, LeavingSign.OwnSignal],
      [{ ...healthy, sidecar: MemberState.Suspect }, LeavingSign.Failure],
      [{ ...healthy, sidecar: MemberState.Dead }, LeavingSign.Failure],
      [{ ...healthy, sidecar: null }, LeavingSign.NeverSeen],
    ] as const;
    for (const [sources, sign] of cases) {
      it(`stops new work for the sign ${sign}`, () => {
        assert.deepEqual(combineLeavingSigns(sources), [sign]);
      });
    }
  });

  describe('together', () => {
    /**
     * The VM list lags and still shows the VM as live, but it cannot override the target's own
     * signal.
     */
    it('lets no source override another', () => {
      const sources = { listedLeaving: false, withdrawn: true, sidecar: MemberState.Leaving };
      const expected = [LeavingSign.Withdrawn, LeavingSign.OwnSignal];
      assert.deepEqual(combineLeavingSigns(sources), expected);
    });
  });
});
