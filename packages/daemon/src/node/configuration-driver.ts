/**
 * Runs the configuration sync of this process: executes the reads, watches, announcements and
 * fetches that its state machine requests, and applies the configuration it selects.
 */
import {
  CONFIGURATION_CURRENT_KEY,
  CONFIGURATION_HEAD_KEY,
  CONFIG_OPTIONS,
  type ConfigContext,
  type ConfigEffect,
  ConfigEffectKind,
  type ConfigState,
  type Failure,
  type FetchAnswer,
  type FetchRequest,
  type Hashing,
  type Hints,
  type MemberConfiguration,
  type Random,
  configAnnounced,
  configDocumentRead,
  configDocumentReadFailed,
  configFetchAnswered,
  configFetchFailed,
  configHeadChanged,
  configHeadRead,
  configHeadReadFailed,
  configHints,
  configHintsReceived,
  configWatchEnded,
  createConfigState,
  parseDocument,
  parseHead,
  serveConfigFetch,
  tickConfig,
} from '@cassiamast/coordination';
import type { KeyValuePort, StopWatch } from '@cassiamast/ports';
import type { Result } from 'neverthrow';
import { RpcMethod } from '../protocol/methods.js';
import type { Child } from '../supervisor/supervisor.js';
import type { RpcClient } from './rpc-client.js';
import type { Telemetry } from './telemetry.js';
import { createPeriodic } from './timers.js';

const TICK_MS = 250;
const FETCH_TIMEOUT_MS = 2_000;

/** Dependencies of the driver. */
export interface ConfigurationDriverOptions {
  readonly selfId: string;
  readonly nowMs: () => number;
  readonly random: Random;
  readonly hashing: Hashing;
  readonly keyValue: KeyValuePort;
  readonly rpc: RpcClient;
  readonly telemetry: Telemetry;
  readonly sendDatagram: (member: string, method: RpcMethod, params: unknown) => void;
  readonly isWatcher: () => boolean;
  readonly pickPeer: () => string | null;
  readonly sees: (memberId: string) => boolean;
  readonly answeredRatio: () => number;
  readonly onInForce: (configuration: MemberConfiguration) => void;
}

/** The configuration sync of this process. */
export interface ConfigurationDriver {
  readonly child: Child;
  readonly state: ConfigState;
  readonly hints: () => Hints;
  readonly receiveHints: (from: string, hints: Hints, askedAtMs: number | null) => void;
  readonly receiveAnnouncement: (from: string, params: unknown) => void;
  readonly serveFetch: (request: FetchRequest) => Result<FetchAnswer, Failure>;
  /** The reason why new work is rejected, or null while it is accepted. */
  readonly newWorkRejection: () => string | null;
}

/** Creates the driver. The state exists immediately; ticks run only while the child is started. */
export function createConfigurationDriver(
  options: ConfigurationDriverOptions,
): ConfigurationDriver {
  const { keyValue } = options;
  const context = (): ConfigContext => ({
    nowMs: options.nowMs(),
    random: options.random,
    hash32: options.hashing.hash32,
    selfId: options.selfId,
    isWatcher: options.isWatcher,
    pickPeer: options.pickPeer,
    sees: options.sees,
    answeredRatio: options.answeredRatio,
  });
  const state = createConfigState(CONFIG_OPTIONS, context());
  let stopWatch: StopWatch | null = null;
  let rejectionReason: string | null = 'it has no configuration yet';

  function perform(effects: readonly ConfigEffect[]): void {
    for (const effect of effects) performOne(effect);
  }

  function performOne(effect: ConfigEffect): void {
    switch (effect.kind) {
      case ConfigEffectKind.PutInForce:
        options.onInForce(effect.configuration);
        return;
      case ConfigEffectKind.Announce:
        options.sendDatagram(effect.to, RpcMethod.ConfigAnnounce, [effect.version]);
        return;
      case ConfigEffectKind.Fetch:
        void fetchFrom(effect.to, effect.request);
        return;
      case ConfigEffectKind.ReadHead:
        void readHead();
        return;
      case ConfigEffectKind.ReadDocument:
        void readDocument();
        return;
      case ConfigEffectKind.Watch:
        watch();
        return;
      case ConfigEffectKind.StopWatch:
        stopWatch?.();
        stopWatch = null;
        return;
      case ConfigEffectKind.NewWork:
        rejectionReason = effect.allowed ? null : effect.reason;
        return;
      case ConfigEffectKind.Emit:
        options.telemetry.emit(effect.event);
    }
  }

  async function fetchFrom(to: string, request: FetchRequest): Promise<void> {
    const answer = await options.rpc.call<FetchAnswer>(to, RpcMethod.ConfigFetch, request, {
      timeoutMs: FETCH_TIMEOUT_MS,
    });
    perform(
      answer.match(
        (fetched) => configFetchAnswered(state, fetched, context()),
        () => configFetchFailed(state, context()),
      ),
    );
  }

  async function readHead(): Promise<void> {
    options.telemetry.count('key_value_reads_total');
    const entry = await keyValue.getWithLongTimeout(CONFIGURATION_HEAD_KEY);
    perform(
      entry.match(
        (found) => configHeadRead(state, found === null ? null : parseHead(found.value), context()),
        () => configHeadReadFailed(state, context()),
      ),
    );
  }

  async function readDocument(): Promise<void> {
    options.telemetry.count('key_value_reads_total');
    const entry = await keyValue.getWithLongTimeout(CONFIGURATION_CURRENT_KEY);
    perform(
      entry.match(
        (found) =>
          configDocumentRead(state, found === null ? null : parseDocument(found.value), context()),
        () => configDocumentReadFailed(state, context()),
      ),
    );
  }

  function watch(): void {
    options.telemetry.count('key_value_watches_total');
    stopWatch = keyValue.watch(
      CONFIGURATION_HEAD_KEY,
      0,
      ({ entry }) => {
        const head = entry === null ? null : parseHead(entry.value);
        perform(configHeadChanged(state, head, context()));
      },
      () => {
        stopWatch = null;
        perform(configWatchEnded(state, context()));
      },
    );
  }

  const ticks = createPeriodic(
    'configuration',
    () => TICK_MS,
    () => {
      perform(tickConfig(state, context()));
    },
  );

  return {
    state,
    hints: () => configHints(state, options.nowMs()),
    receiveHints: (from, hints, askedAtMs) => {
      perform(configHintsReceived(state, from, hints, askedAtMs, context()));
    },
    receiveAnnouncement: (from, params) => {
      const version: unknown = Array.isArray(params) ? params[0] : null;
      if (typeof version !== 'number') return;
      perform(configAnnounced(state, from, version, context()));
    },
    serveFetch: (request) => serveConfigFetch(state, request),
    newWorkRejection: () => rejectionReason,
    child: {
      ...ticks,
      stop: async () => {
        stopWatch?.();
        stopWatch = null;
        await ticks.stop();
      },
    },
  };
}
