/** Tests which share of a common allowance a gateway uses without asking the others. */
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import {
  type ClockReading,
  type ShareKnowledge,
  ShareState,
  allowanceShare,
  createShareKnowledge,
  currentAnnouncement,
  gatewayCount,
  recordAnnouncement,
  recordFirstStart,
  recordFleetRead,
  recordGateways,
  recordRenewal,
} from '../../../src/index.js';

const OPTIONS = { windowMs: 10_000, leaseTtlMs: 3_000 };
const SETTLED_MS = 15_000;
const STEP_MS = 500;
const IDS = ['a', 'b', 'c', 'd'];

const at = (ms: number): ClockReading => ({ monotonicMs: ms, elapsedMs: ms });

/** Announces a gateway at 0 and lets it renew, read, see `IDS` and use its share until `untilMs`. */
function settled(untilMs: number): ShareKnowledge {
  const knowledge = createShareKnowledge(OPTIONS);
  recordAnnouncement(knowledge, 0, at(0));
  recordFleetRead(knowledge, 0, at(0));
  for (let ms = STEP_MS; ms <= untilMs; ms += STEP_MS) {
    recordRenewal(knowledge, ms);
    recordFleetRead(knowledge, ms, at(ms));
    recordGateways(knowledge, IDS, at(ms));
    allowanceShare(knowledge, at(ms));
  }
  return knowledge;
}

describe('the share of a common allowance', () => {
  it('is an equal part once all others must have counted the gateway', () => {
    assert.equal(allowanceShare(settled(SETTLED_MS), at(SETTLED_MS)).state, ShareState.Recent);
    const later = SETTLED_MS + STEP_MS;
    assert.deepEqual(allowanceShare(settled(later), at(later)), {
      state: ShareState.Counted,
      gateways: IDS.length,
      fraction: 1 / IDS.length,
    });
  });

  // A gateway whose announcements never last counts itself alone, as do all others.
  it('is nothing for a gateway that is never announced for long', () => {
    const knowledge = createShareKnowledge(OPTIONS);
    for (let ms = 0; ms < 10 * SETTLED_MS; ms += 7_000) {
      recordAnnouncement(knowledge, ms, at(ms + 6_900));
      recordFleetRead(knowledge, ms + 6_800, at(ms + 6_900));
      assert.equal(allowanceShare(knowledge, at(ms + 6_900)).fraction, 0);
    }
  });

  it('still counts gateways that have disappeared, for two windows', () => {
    const knowledge = settled(20_000);
    const shareAt = (ms: number): number => {
      recordRenewal(knowledge, ms);
      recordFleetRead(knowledge, ms, at(ms));
      recordGateways(knowledge, ['a'], at(ms));
      return allowanceShare(knowledge, at(ms)).gateways;
    };
    assert.equal(shareAt(30_000), IDS.length);
    assert.equal(shareAt(39_999), IDS.length);
    assert.equal(shareAt(40_001), 1);
  });

  // All announcements lapse while a store is slower than a lease, and all gateways still serve.
  it('still counts the others for as long as its own announcement may have lapsed as well', () => {
    const knowledge = settled(20_000);
    for (let ms = 20_500; ms < 120_000; ms += STEP_MS) recordGateways(knowledge, ['a'], at(ms));
    assert.equal(gatewayCount(knowledge), IDS.length);
  });

  it('is divided by an unknown number until the gateway was announced', () => {
    const knowledge = createShareKnowledge(OPTIONS);
    recordFleetRead(knowledge, 0, at(0));
    recordGateways(knowledge, ['a'], at(0));
    assert.equal(gatewayCount(knowledge), Infinity);
    recordAnnouncement(knowledge, 0, at(0));
    assert.equal(gatewayCount(knowledge), 1);
  });

  it('ends when the announcement or the fleet is not heard of for half a window', () => {
    const knowledge = settled(20_000);
    recordFleetRead(knowledge, 25_001, at(25_001));
    assert.equal(allowanceShare(knowledge, at(25_001)).state, ShareState.Unconfirmed);
    recordRenewal(knowledge, 30_002);
    assert.equal(allowanceShare(knowledge, at(30_002)).state, ShareState.Outdated);
  });

  it('returns at once after a gap in which the others still counted the gateway', () => {
    const knowledge = settled(20_000);
    recordAnnouncement(knowledge, 28_000, at(29_000));
    recordFleetRead(knowledge, 28_000, at(29_000));
    assert.equal(allowanceShare(knowledge, at(29_000)).state, ShareState.Counted);
  });

  // After a longer gap, the others may have divided the allowance without the gateway.
  it('has to be earned again after a longer gap', () => {
    const announced = settled(20_000);
    recordAnnouncement(announced, 30_001, at(30_001));
    recordFleetRead(announced, 30_001, at(30_001));
    assert.equal(allowanceShare(announced, at(30_001)).state, ShareState.Recent);
    const read = settled(20_000);
    recordRenewal(read, 30_001);
    recordFleetRead(read, 30_001, at(30_001));
    assert.equal(allowanceShare(read, at(30_001)).state, ShareState.Recent);
  });

  it('is used at once by a gateway that was announced before any other used one', () => {
    const knowledge = settled(3_000);
    recordFirstStart(knowledge, currentAnnouncement(knowledge) ?? NaN, at(3_000));
    assert.equal(allowanceShare(knowledge, at(3_000)).state, ShareState.Counted);
  });

  // Gateways that used a share meanwhile may not have counted a gateway whose announcement lapsed.
  it('is not used at once after the announcement has changed or may have lapsed', () => {
    const renewed = settled(2_000);
    const before = currentAnnouncement(renewed) ?? NaN;
    recordAnnouncement(renewed, 3_000, at(3_000));
    recordFirstStart(renewed, before, at(3_000));
    assert.equal(allowanceShare(renewed, at(3_000)).fraction, 0);
    const unconfirmed = settled(2_000);
    recordFirstStart(unconfirmed, before, at(5_000));
    recordFleetRead(unconfirmed, 5_000, at(5_000));
    assert.equal(allowanceShare(unconfirmed, at(5_000)).fraction, 0);
  });

  // A clock that is set forward must not make the gateway settle earlier.
  it('is not earned by a clock that runs too fast', () => {
    const knowledge = settled(5_000);
    const now: ClockReading = { monotonicMs: 5_000, elapsedMs: 50_000 };
    recordRenewal(knowledge, 50_000);
    recordFleetRead(knowledge, 50_000, now);
    assert.equal(allowanceShare(knowledge, now).fraction, 0);
  });
});
