/** The member's side of the configuration: adoption, spreading, freshness, the cut-off. */
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import type { ConfigContext, ConfigEffect, ConfigState } from '../../../src/index.js';
import {
  CONFIG_OPTIONS,
  ConfigEffectKind,
  configAnnounced,
  configDocumentRead,
  configFetchAnswered,
  configFetchFailed,
  configHeadChanged,
  configHeadRead,
  configHeadReadFailed,
  configHints,
  configHintsHeard,
  configWatchEnded,
  createConfigState,
  diffConfigurations,
  headAfter,
  serveConfigFetch,
  tickConfig,
  versionInForce,
} from '../../../src/index.js';
import { document, held } from '../../fixtures/configuration.js';
import { testHash32 } from '../../fixtures/fleet.js';

function context(nowMs: number, changes: Partial<ConfigContext> = {}): ConfigContext {
  return {
    nowMs,
    random: () => 0.5,
    hash32: testHash32,
    selfId: '10.0.0.0:7000',
    isWatcher: () => false,
    pickPeer: () => 'peer:1',
    sees: () => true,
    answeredRatio: () => 1,
    ...changes,
  };
}

const blind = { sees: () => false };

function kinds(effects: readonly ConfigEffect[]): ConfigEffectKind[] {
  return effects.map((effect) => effect.kind);
}

function headOf(version: number): ReturnType<typeof headAfter> {
  return headAfter(null, document(version));
}

/** A process that holds a version that it read from the service at a moment. */
function holding(version: number, nowMs: number): ConfigState {
  const state = createConfigState(CONFIG_OPTIONS, context(nowMs));
  tickConfig(state, context(nowMs + 500));
  configHeadRead(state, headOf(version), context(nowMs + 500));
  configDocumentRead(state, document(version), context(nowMs + 500));
  assert.equal(versionInForce(state), version);
  return state;
}

describe('keeping the configuration', () => {
  describe('a new version', () => {
    it('is read by a watcher, put in force and announced to a few peers', () => {
      const state = holding(1, 0);
      const watcher = context(2_000, { isWatcher: () => true });
      assert.ok(kinds(tickConfig(state, watcher)).includes(ConfigEffectKind.Watch));
      assert.deepEqual(kinds(configHeadChanged(state, headOf(2), watcher)), [
        ConfigEffectKind.ReadDocument,
      ]);
      const effects = kinds(configDocumentRead(state, document(2), watcher));
      assert.ok(effects.includes(ConfigEffectKind.PutInForce));
      assert.ok(effects.includes(ConfigEffectKind.Announce));
      assert.equal(versionInForce(state), 2);
    });

    it('is fetched by others from whoever announced it, as a patch', () => {
      const holder = holding(1, 0);
      configDocumentRead(holder, document(1), context(1_000));
      configHeadChanged(holder, headOf(2), context(1_000));
      configDocumentRead(holder, document(2), context(1_000));
      const other = holding(1, 0);
      const [fetch] = configAnnounced(other, 'holder:1', 2, context(1_100));
      assert.ok(fetch?.kind === ConfigEffectKind.Fetch && fetch.to === 'holder:1');
      const answer = serveConfigFetch(holder, fetch.request)._unsafeUnwrap();
      assert.equal(answer.whole, null);
      configFetchAnswered(other, answer, context(1_200));
      assert.deepEqual(other.inForce, holder.inForce);
    });

    it('is fetched whole when the patch does not fit', () => {
      const other = holding(1, 0);
      configAnnounced(other, 'holder:1', 3, context(1_100));
      const holder = holding(2, 0);
      configHeadChanged(holder, headOf(3), context(1_000));
      configDocumentRead(holder, document(3), context(1_000));
      const foreign = serveConfigFetch(holder, { haveVersion: 2 })._unsafeUnwrap();
      const [again] = configFetchAnswered(other, foreign, context(1_200));
      assert.ok(again?.kind === ConfigEffectKind.Fetch && again.request.haveVersion === 0);
      const whole = serveConfigFetch(holder, again.request)._unsafeUnwrap();
      configFetchAnswered(other, whole, context(1_300));
      assert.equal(versionInForce(other), 3);
    });

    /** Guards against a version that is in force while the process still acts on the one before. */
    it('is told of when it is in force and the patch after it does not fit', () => {
      const other = holding(1, 0);
      configAnnounced(other, 'holder:1', 3, context(1_100));
      const fitting = diffConfigurations(held(1), held(2), testHash32);
      const foreign = { ...diffConfigurations(held(2), held(3), testHash32), resultHash: 0 };
      const answer = { patches: [fitting, foreign], whole: null };
      const effects = configFetchAnswered(other, answer, context(1_200));
      assert.equal(versionInForce(other), 2);
      const told = effects.filter((effect) => effect.kind === ConfigEffectKind.PutInForce);
      assert.deepEqual(
        told.map(({ configuration }) => configuration.version),
        [2],
      );
    });

    it('is fetched from another holder when the first does not answer', () => {
      const state = holding(1, 0);
      configAnnounced(state, 'first:1', 2, context(1_000));
      configAnnounced(state, 'second:1', 2, context(1_000));
      configFetchFailed(state, context(1_100));
      const fetch = tickConfig(state, context(2_000)).find(
        (effect) => effect.kind === ConfigEffectKind.Fetch,
      );
      assert.ok(fetch?.kind === ConfigEffectKind.Fetch && fetch.to === 'second:1');
    });
  });

  /**
   * An operator's withdrawal is in force as version 2. A fetch answer of version 1 that was delayed
   * arrives, or the service itself answers from the past after a restore. A process that took it
   * would give new work to the withdrawn target again.
   */
  describe('an old version', () => {
    it('changes nothing, by whichever way it comes', () => {
      const state = holding(2, 0);
      const now = context(1_000);
      configAnnounced(state, 'old:1', 1, now);
      configFetchAnswered(state, { patches: null, whole: held(1) }, now);
      configHeadChanged(state, headOf(1), now);
      state.documentReadSentAtMs = 900;
      configDocumentRead(state, document(1), now);
      assert.equal(versionInForce(state), 2);
    });

    it('shown by the service is told of and proves no freshness', () => {
      const state = holding(2, 0);
      const freshAtMs = state.freshAtMs;
      state.headReadSentAtMs = 5_000;
      const effects = configHeadRead(state, headOf(1), context(5_010));
      assert.deepEqual(kinds(effects), [ConfigEffectKind.Emit]);
      assert.equal(state.freshAtMs, freshAtMs);
    });
  });

  describe('freshness', () => {
    it('counts from the moment of the own question, less the age in the answer', () => {
      const state = holding(1, 0);
      configHintsHeard(state, 'peer:1', [1, 2_000], 10_000, context(10_200));
      assert.equal(state.freshAtMs, 8_000);
      assert.deepEqual(configHints(state, 10_500), [1, 2_500]);
    });

    it('of a version that is not held yet counts once it is', () => {
      const state = holding(1, 0);
      configHintsHeard(state, 'peer:1', [2, 0], 10_000, context(10_200));
      assert.equal(state.freshAtMs, 500);
      configFetchAnswered(state, { patches: null, whole: held(2) }, context(10_300));
      assert.equal(state.freshAtMs, 10_000);
    });

    /** A datagram was delayed for an hour and says "fresh half a second ago". */
    it('is not taken from what came unasked', () => {
      const state = holding(1, 0);
      configHintsHeard(state, 'peer:1', [1, 500], null, context(3_600_000));
      assert.equal(state.freshAtMs, 500);
    });
  });

  describe('the cut-off', () => {
    function judge(state: ConfigState, fromMs: number, toMs: number, changes = {}): boolean {
      for (let nowMs = fromMs; nowMs <= toMs; nowMs += 1_000) {
        state.headReadSentAtMs = null;
        tickConfig(state, context(nowMs, changes));
      }
      return state.newWorkAllowed;
    }

    it('leaves a process at work through an outage of the service', () => {
      assert.equal(judge(holding(1, 0), 1_000, 3_600_000), true);
    });

    it('stops a process that is cut off from all news, after the time set', () => {
      const state = holding(1, 0);
      assert.equal(judge(state, 1_000, CONFIG_OPTIONS.cutOffMs, blind), true);
      assert.equal(judge(state, CONFIG_OPTIONS.cutOffMs, 60_000, blind), false);
    });

    /**
     * One process of a thousand is cut off. To doubt half of the others one by one takes it a quarter
     * of an hour, in which it would serve by an old configuration; its own probes tell at once.
     */
    it('stops a process whose probes fail although it still believes in the others', () => {
      const state = holding(1, 0);
      assert.equal(judge(state, 1_000, 120_000, { answeredRatio: () => 0.4 }), false);
    });

    it('stops nobody who sees exactly half of the targets', () => {
      const sees = (id: string): boolean => id === '10.0.0.1:7000';
      assert.equal(judge(holding(1, 0), 1_000, 120_000, { sees }), true);
    });

    it('lets a process that hears fresh news again go on', () => {
      const state = holding(1, 0);
      assert.equal(judge(state, 1_000, 60_000, blind), false);
      configHintsHeard(state, 'peer:1', [1, 1_000], 60_500, context(60_600));
      assert.equal(judge(state, 61_000, 62_000, blind), true);
    });

    /**
     * The service is down, and a process starts whose only peer was cut off before the last edit. It
     * must not serve by that peer's old document: it sees too few of the targets named there.
     */
    it('keeps a starting process idle that finds only a peer that is behind', () => {
      const state = createConfigState(CONFIG_OPTIONS, context(0));
      configAnnounced(state, 'behind:1', 1, context(100));
      configFetchAnswered(state, { patches: null, whole: held(1, 8) }, context(200));
      assert.equal(versionInForce(state), 1);
      const sees = (id: string): boolean => id === '10.0.0.1:7000';
      assert.equal(judge(state, 1_000, 200_000, { sees }), false);
    });
  });

  describe('an outage of the service', () => {
    it('is answered by waits that grow, up to the longest', () => {
      const state = holding(1, 0);
      const waits: number[] = [];
      for (let failure = 0; failure < 12; failure += 1) {
        configHeadReadFailed(state, context(0));
        waits.push(state.headReadAtMs);
      }
      assert.ok(waits.every((wait, index) => index === 0 || wait >= (waits[index - 1] ?? 0)));
      assert.ok(Math.max(...waits) <= CONFIG_OPTIONS.maxBackOffMs);
    });

    it('makes only watchers ask, while the others see half of the targets', () => {
      const state = holding(1, 0);
      const effects = tickConfig(state, context(40_000));
      assert.ok(!kinds(effects).includes(ConfigEffectKind.ReadHead));
    });

    it('takes a watch that ended up again', () => {
      const state = holding(1, 0);
      const isWatcher = (): boolean => true;
      tickConfig(state, context(1_000, { isWatcher }));
      configWatchEnded(state, context(2_000, { isWatcher }));
      const effects = tickConfig(state, context(4_000, { isWatcher }));
      assert.ok(kinds(effects).includes(ConfigEffectKind.Watch));
    });
  });

  describe('bounds', () => {
    it('keeps few holders and few patches, and answers a peer that lags too far with everything', () => {
      const state = holding(1, 0);
      for (let holder = 0; holder < 100; holder += 1) {
        configAnnounced(state, `holder-${String(holder)}:1`, 99, context(1_000));
      }
      assert.ok((state.wanted?.holders.length ?? 0) <= 8);
      for (let version = 2; version < 60; version += 1) {
        state.documentReadSentAtMs = 1_000;
        configDocumentRead(state, document(version), context(1_000));
      }
      assert.equal(state.patches.length, CONFIG_OPTIONS.keptPatches);
      assert.equal(serveConfigFetch(state, { haveVersion: 2 })._unsafeUnwrap().patches, null);
      const refusal = serveConfigFetch(state, { haveVersion: 59 })._unsafeUnwrapErr();
      assert.equal(refusal.name, 'configuration-not-held');
    });
  });
});
