/** New work for a target stops with the first sign of its leaving. */
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { LeavingSign, MemberState, combineLeavingSigns } from '../../../src/index.js';

const healthy = { listedLeaving: false, withdrawn: false, sidecar: MemberState.Alive };

describe('signs of leaving', () => {
  describe('alone', () => {
    it('allows new work without any sign, also when the list is unknown', () => {
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
      it(`stops new work by ${sign}`, () => {
        assert.deepEqual(combineLeavingSigns(sources), [sign]);
      });
    }
  });

  describe('together', () => {
    /** The list lags and still says live: it cannot take back what the process itself announced. */
    it('lets no source take back what another says', () => {
      const sources = { listedLeaving: false, withdrawn: true, sidecar: MemberState.Leaving };
      const expected = [LeavingSign.Withdrawn, LeavingSign.OwnSignal];
      assert.deepEqual(combineLeavingSigns(sources), expected);
    });
  });
});
