/** Tests how a member applies and spreads configurations, and when it stops accepting new work. */
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
  configHintsReceived,
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

const seesNoMember = { sees: () => false };

function kinds(effects: readonly ConfigEffect[]): ConfigEffectKind[] {
  return effects.map((effect) => effect.kind);
}

function headOf(version: number): ReturnType<typeof headAfter> {
  return headAfter(null, document(version));
}

/** Returns the state of a process that read this version from the key-value service at `nowMs`. */
function stateHolding(version: number, nowMs: number): ConfigState {
  const state = createConfigState(CONFIG_OPTIONS, context(nowMs));
  tickConfig(state, context(nowMs + 500));
  configHeadRead(state, headOf(version), context(nowMs + 500));
  configDocumentRead(state, document(version), context(nowMs + 500));
  assert.equal(versionInForce(state), version);
  return state;
}

describe('configuration sync', () => {
  describe('a new version', () => {
    it('is read by a watcher, applied and announced to peers', () => {
      const state = stateHolding(1, 0);
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

    it('is fetched as a patch from the peer that announced it', () => {
      const holder = stateHolding(1, 0);
      configDocumentRead(holder, document(1), context(1_000));
      configHeadChanged(holder, headOf(2), context(1_000));
      configDocumentRead(holder, document(2), context(1_000));
      const other = stateHolding(1, 0);
      const [fetch] = configAnnounced(other, 'holder:1', 2, context(1_100));
      assert.ok(fetch?.kind === ConfigEffectKind.Fetch && fetch.to === 'holder:1');
      const answer = serveConfigFetch(holder, fetch.request)._unsafeUnwrap();
      assert.equal(answer.whole, null);
      configFetchAnswered(other, answer, context(1_200));
      assert.deepEqual(other.inForce, holder.inForce);
    });

    it('is fetched as a whole document when the patch does not match', () => {
      const other = stateHolding(1, 0);
      configAnnounced(other, 'holder:1', 3, context(1_100));
      const holder = stateHolding(2, 0);
      configHeadChanged(holder, headOf(3), context(1_000));
      configDocumentRead(holder, document(3), context(1_000));
      const foreign = serveConfigFetch(holder, { haveVersion: 2 })._unsafeUnwrap();
      const [again] = configFetchAnswered(other, foreign, context(1_200));
      assert.ok(again?.kind === ConfigEffectKind.Fetch && again.request.haveVersion === 0);
      const whole = serveConfigFetch(holder, again.request)._unsafeUnwrap();
      configFetchAnswered(other, whole, context(1_300));
      assert.equal(versionInForce(other), 3);
    });

    // Without this effect, the process would still act on the version before the active one.
    it('is reported as applied even when the next patch does not match', () => {
      const other = stateHolding(1, 0);
      configAnnounced(other, 'holder:1', 3, context(1_100));
      const fitting = diffConfigurations(held(1), held(2), testHash32);
      const foreign = { ...diffConfigurations(held(2), held(3), testHash32), resultHash: 0 };
      const answer = { patches: [fitting, foreign], whole: null };
      const effects = configFetchAnswered(other, answer, context(1_200));
      assert.equal(versionInForce(other), 2);
      const applied = effects.filter((effect) => effect.kind === ConfigEffectKind.PutInForce);
      assert.deepEqual(
        applied.map(({ configuration }) => configuration.version),
        [2],
      );
    });

    it('is fetched from another holder when the first fetch fails', () => {
      const state = stateHolding(1, 0);
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
   * Version 2, which withdraws a target, is active. A delayed fetch answer with version 1 arrives, or
   * the service returns version 1 after a restore. A process that applied it would send new work to
   * the withdrawn target again.
   */
  describe('an old version', () => {
    it('is ignored on every path by which it arrives', () => {
      const state = stateHolding(2, 0);
      const now = context(1_000);
      configAnnounced(state, 'old:1', 1, now);
      configFetchAnswered(state, { patches: null, whole: held(1) }, now);
      configHeadChanged(state, headOf(1), now);
      state.documentReadSentAtMs = 900;
      configDocumentRead(state, document(1), now);
      assert.equal(versionInForce(state), 2);
    });

    it('returned by the service is reported and does not prove freshness', () => {
      const state = stateHolding(2, 0);
      const freshAtMs = state.freshAtMs;
      state.headReadSentAtMs = 5_000;
      const effects = configHeadRead(state, headOf(1), context(5_010));
      assert.deepEqual(kinds(effects), [ConfigEffectKind.Emit]);
      assert.equal(state.freshAtMs, freshAtMs);
    });
  });

  describe('freshness', () => {
    it('counts from the time of the own request, minus the age in the answer', () => {
      const state = stateHolding(1, 0);
      configHintsReceived(state, 'peer:1', [1, 2_000], 10_000, context(10_200));
      assert.equal(state.freshAtMs, 8_000);
      assert.deepEqual(configHints(state, 10_500), [1, 2_500]);
    });

    it('of a newer version counts once that version is active', () => {
      const state = stateHolding(1, 0);
      configHintsReceived(state, 'peer:1', [2, 0], 10_000, context(10_200));
      assert.equal(state.freshAtMs, 500);
      configFetchAnswered(state, { patches: null, whole: held(2) }, context(10_300));
      assert.equal(state.freshAtMs, 10_000);
    });

    // A datagram that was delayed for an hour claims an age of half a second.
    it('does not count from a message that was not requested', () => {
      const state = stateHolding(1, 0);
      configHintsReceived(state, 'peer:1', [1, 500], null, context(3_600_000));
      assert.equal(state.freshAtMs, 500);
    });
  });

  describe('the cut-off', () => {
    function tickUntil(state: ConfigState, fromMs: number, toMs: number, changes = {}): boolean {
      for (let nowMs = fromMs; nowMs <= toMs; nowMs += 1_000) {
        state.headReadSentAtMs = null;
        tickConfig(state, context(nowMs, changes));
      }
      return state.newWorkAllowed;
    }

    it('lets a process accept work during an outage of the service', () => {
      assert.equal(tickUntil(stateHolding(1, 0), 1_000, 3_600_000), true);
    });

    it('stops a process that receives no updates after the configured time', () => {
      const state = stateHolding(1, 0);
      assert.equal(tickUntil(state, 1_000, CONFIG_OPTIONS.cutOffMs, seesNoMember), true);
      assert.equal(tickUntil(state, CONFIG_OPTIONS.cutOffMs, 60_000, seesNoMember), false);
    });

    /**
     * One process of a thousand is cut off. It needs a quarter of an hour to suspect half of the
     * others one by one and would use an old configuration until then. Its own probes fail at once.
     */
    it('stops a process whose probes fail while it still sees the others as alive', () => {
      const state = stateHolding(1, 0);
      assert.equal(tickUntil(state, 1_000, 120_000, { answeredRatio: () => 0.4 }), false);
    });

    it('does not stop a process that sees exactly half of the targets', () => {
      const sees = (id: string): boolean => id === '10.0.0.1:7000';
      assert.equal(tickUntil(stateHolding(1, 0), 1_000, 120_000, { sees }), true);
    });

    it('lets a process continue when it receives proof of freshness again', () => {
      const state = stateHolding(1, 0);
      assert.equal(tickUntil(state, 1_000, 60_000, seesNoMember), false);
      configHintsReceived(state, 'peer:1', [1, 1_000], 60_500, context(60_600));
      assert.equal(tickUntil(state, 61_000, 62_000, seesNoMember), true);
    });

    /**
     * The service is down, and a process starts whose only peer was cut off before the last edit. It
     * must not use that peer's old document, because it sees too few of the targets listed there.
     */
    it('stops a starting process that finds only a peer with an old version', () => {
      const state = createConfigState(CONFIG_OPTIONS, context(0));
      configAnnounced(state, 'behind:1', 1, context(100));
      configFetchAnswered(state, { patches: null, whole: held(1, 8) }, context(200));
      assert.equal(versionInForce(state), 1);
      const sees = (id: string): boolean => id === '10.0.0.1:7000';
      assert.equal(tickUntil(state, 1_000, 200_000, { sees }), false);
    });
  });

  describe('an outage of the service', () => {
    it('causes waits that grow up to the maximum', () => {
      const state = stateHolding(1, 0);
      const waits: number[] = [];
      for (let failure = 0; failure < 12; failure += 1) {
        configHeadReadFailed(state, context(0));
        waits.push(state.headReadAtMs);
      }
      assert.ok(waits.every((wait, index) => index === 0 || wait >= (waits[index - 1] ?? 0)));
      assert.ok(Math.max(...waits) <= CONFIG_OPTIONS.maxBackOffMs);
    });

    it('lets only watchers read while the others see half of the targets', () => {
      const state = stateHolding(1, 0);
      const effects = tickConfig(state, context(40_000));
      assert.ok(!kinds(effects).includes(ConfigEffectKind.ReadHead));
    });

    it('is followed by a restart of the watch', () => {
      const state = stateHolding(1, 0);
      const isWatcher = (): boolean => true;
      tickConfig(state, context(1_000, { isWatcher }));
      configWatchEnded(state, context(2_000, { isWatcher }));
      const effects = tickConfig(state, context(4_000, { isWatcher }));
      assert.ok(kinds(effects).includes(ConfigEffectKind.Watch));
    });
  });

  describe('bounds', () => {
    it('limit the stored holders and patches; a peer that lags too far gets the whole document', () => {
      const state = stateHolding(1, 0);
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
      const notHeld = serveConfigFetch(state, { haveVersion: 59 })._unsafeUnwrapErr();
      assert.equal(notHeld.name, 'configuration-not-held');
    });
  });
});
