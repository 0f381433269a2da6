/** Tests how much work leaves a failure domain, with two domains simulated on a virtual clock. */
import assert from 'node:assert/strict';
import { beforeEach, describe, it } from 'node:test';
import {
  type LeavingShare,
  type LocalityDecision,
  LocalityReason,
  type PlainTargets,
  choosePlainTarget,
  createLeavingShare,
  createPlainTargets,
  decideLocality,
  localityOptions,
  notePlainDone,
  notePlainSent,
  seededRandom,
} from '../../../src/index.js';

const OPTIONS = localityOptions();
const SERVICE_MS = 40;
const SLOTS = 6;
const GATEWAYS_PER_DOMAIN = 3;
const PHASE_MS = 20_000;
const PHASES = 8;
/** Callers give up after this time. */
const TIMEOUT_MS = 600;
const DOMAINS = [0, 1] as const;

/** Demand of both domains at a time, relative to the capacity of each. */
type Demand = (nowMs: number) => readonly [number, number];

interface Figures {
  /** Share of each gateway, one per millisecond. */
  readonly histories: readonly (readonly number[])[];
  readonly requests: number;
  readonly left: number;
  readonly timedOut: number;
}

/** Plays two domains, each with one target of several slots, and gateways that learn by themselves. */
function play(demand: Demand, durationMs: number, mayLeaveAtAll = true): Figures {
  const random = seededRandom(7);
  const entries = DOMAINS.map((domain) => ({
    id: `target-${String(domain)}`,
    failureDomain: String(domain),
    slots: SLOTS,
  }));
  const freeAtMs = DOMAINS.map(() => Array.from({ length: SLOTS }, () => 0));
  const gateways = DOMAINS.map(() =>
    Array.from({ length: GATEWAYS_PER_DOMAIN }, createPlainTargets),
  );
  const ends = new Map<number, (() => void)[]>();
  const histories = gateways.flat().map((): number[] => []);
  const figures = { histories, requests: 0, left: 0, timedOut: 0 };

  function send(domain: number, targets: PlainTargets, nowMs: number): void {
    const own = String(domain);
    const usable = entries.filter((entry) => mayLeaveAtAll || entry.failureDomain === own);
    const decision = choosePlainTarget(targets, usable, own, OPTIONS, random, nowMs);
    assert.ok(decision !== null);
    const { target, isLocal } = decision.candidate;
    const sent = notePlainSent(targets, target, own, nowMs);
    const slots = freeAtMs[Number(target.failureDomain)] ?? [];
    const slot = slots.indexOf(Math.min(...slots));
    const networkMs = isLocal ? 0 : OPTIONS.roundTripMs;
    const serviceMs = SERVICE_MS * (0.5 + random());
    const endAtMs = Math.max(slots[slot] ?? 0, nowMs) + serviceMs;
    const isTimedOut = endAtMs + networkMs > nowMs + TIMEOUT_MS;
    if (!isTimedOut) slots[slot] = endAtMs;
    figures.requests += 1;
    figures.left += isLocal ? 0 : 1;
    figures.timedOut += isTimedOut ? 1 : 0;
    const doneAtMs = Math.ceil(isTimedOut ? nowMs + TIMEOUT_MS : endAtMs + networkMs);
    const atEnd = ends.get(doneAtMs) ?? [];
    ends.set(doneAtMs, atEnd);
    atEnd.push(() => {
      notePlainDone(targets, sent, true, OPTIONS, doneAtMs);
    });
  }

  for (let nowMs = 0; nowMs < durationMs; nowMs += 1) {
    for (const done of ends.get(nowMs) ?? []) done();
    ends.delete(nowMs);
    for (const domain of DOMAINS) {
      for (const targets of gateways[domain] ?? []) {
        const perMs = (demand(nowMs)[domain] * SLOTS) / SERVICE_MS / GATEWAYS_PER_DOMAIN;
        if (random() < perMs) send(domain, targets, nowMs);
      }
    }
    gateways.flat().forEach(({ leaving }, index) => histories[index]?.push(leaving.share));
  }
  return figures;
}

/** Returns how often a series changes between rising and falling. */
function countTurns(values: readonly number[]): number {
  let turns = 0;
  let lastSign = 0;
  values.forEach((value, index) => {
    const sign = Math.sign(value - (values[index - 1] ?? value));
    if (sign === 0) return;
    if (lastSign !== 0 && sign !== lastSign) turns += 1;
    lastSign = sign;
  });
  return turns;
}

describe('the share that leaves a failure domain', () => {
  // Two domains that are overloaded in turn sent their excess back and forth several times a phase.
  for (const { high, todo } of [
    { high: 1.1, todo: false },
    { high: 1.3, todo: false },
    // KNOWN-RED.txt: both domains together are at 95% of their capacity.
    { high: 1.5, todo: 'KNOWN-RED.txt, locality' },
  ]) {
    const alternating: Demand = (nowMs) =>
      Math.floor(nowMs / PHASE_MS) % 2 === 0 ? [high, 0.4] : [0.4, high];

    it(`changes direction at most once per phase at ${String(high)} of capacity`, { todo }, () => {
      const { histories } = play(alternating, PHASES * PHASE_MS);
      for (const history of histories) {
        assert.ok(history.some((share) => share > 0));
        for (let phase = 0; phase < PHASES; phase += 1) {
          // Includes the end of the phase before, whose direction the first change is relative to.
          const from = Math.max(0, phase * PHASE_MS - PHASE_MS / 2);
          const turns = countTurns(history.slice(from, (phase + 1) * PHASE_MS));
          assert.ok(turns <= 1, `${String(turns)} changes in phase ${String(phase)}`);
        }
      }
    });

    it(`relieves a domain with a demand of ${String(high)} of its capacity`, () => {
      const { timedOut } = play(alternating, PHASES * PHASE_MS);
      const alone = play(alternating, PHASES * PHASE_MS, false);
      assert.ok(timedOut < alone.timedOut / 2, `${String(timedOut)} of ${String(alone.timedOut)}`);
    });
  }

  // Where both domains are short, leaving only costs traffic.
  it('stays small if the neighbour is short of capacity too', () => {
    const { left, requests } = play(() => [1.3, 1.3], 20_000);
    assert.ok(left / requests <= 0.05, `${String(left)} of ${String(requests)} left`);
  });

  it('is not used while the own domain suffices', () => {
    assert.equal(play(() => [0.6, 0.3], 20_000).left, 0);
  });
});

describe('the decision for one request', () => {
  let share: LeavingShare;
  const local = { id: 'local', isLocal: true, expectedMs: 40, balanceMs: 0, isKnown: true };
  const remote = { id: 'remote', isLocal: false, expectedMs: 40, balanceMs: 0, isKnown: true };
  const decide = (
    candidates: readonly (typeof local)[],
    nowMs = 0,
  ): LocalityDecision<typeof local> | null => decideLocality(candidates, share, OPTIONS, nowMs);

  beforeEach(() => {
    share = createLeavingShare();
    share.share = 1;
    share.credit = 1;
    share.intervalStartedAtMs = 0;
  });

  it('returns null without candidates', () => {
    assert.equal(decide([]), null);
  });

  // A gateway must not wait for the controller if its own domain has lost all targets.
  it('leaves at once without a local candidate', () => {
    share = createLeavingShare();
    const reason = LocalityReason.NoLocalTarget;
    assert.deepEqual(decide([remote]), { candidate: remote, reason });
  });

  it('leaves only if it saves more than the round trip, the price and the error', () => {
    const neededMs = OPTIONS.roundTripMs + OPTIONS.leavePriceMs;
    const limitMs = (40 + neededMs) / (1 - OPTIONS.minGainRatio) - 0.5;
    const equal = { ...local, expectedMs: limitMs };
    assert.equal(decide([equal, remote])?.reason, LocalityReason.Local);
    const slower = { ...local, expectedMs: limitMs + 1 };
    assert.equal(decide([slower, remote])?.reason, LocalityReason.Sooner);
    share.credit = 0;
    share.share = 0;
    assert.equal(decide([slower, remote])?.reason, LocalityReason.ShareUsedUp);
  });

  it('starts again after a time without decisions', () => {
    const slow = { ...local, expectedMs: 400 };
    const reason = decide([slow, remote], OPTIONS.forgetAfterMs + 1)?.reason;
    assert.equal(reason, LocalityReason.ShareUsedUp);
    assert.equal(share.share, 0);
  });
});
