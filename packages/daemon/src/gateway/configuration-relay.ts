/**
 * Reads newer configurations from other gateways while the store does not answer this one. Otherwise,
 * a key that was taken away would work here until the store is back. Nothing is asked while the store
 * answers.
 */
import {
  type FleetConfiguration,
  FleetChangeKind,
  type FleetView,
  type Random,
  applyChanges,
  describeRevision,
} from '@cassiamast/coordination';
import { createPeriodic } from '../node/timers.js';
import type { RpcClient } from '../node/rpc-client.js';
import { RpcMethod } from '../protocol/methods.js';
import type { Child } from '../supervisor/supervisor.js';
import type { GatewayLog } from './gateway-log.js';
import type { RecentGateways } from './recent-gateways.js';

const ASK_INTERVAL_MS = 500;
const ASK_TIMEOUT_MS = 400;
/** Several, as some may be cut off from the store as well, or be gone. */
const ASKED_AT_ONCE = 2;

/** Exchanges configurations with other gateways. */
export interface ConfigurationRelay {
  readonly child: Child;
  /** Returns the configuration in force if it is newer than the version that another gateway has. */
  readonly newerThan: (version: number) => FleetConfiguration | null;
}

/** Dependencies of {@link createConfigurationRelay}. */
export interface ConfigurationRelayOptions {
  readonly view: FleetView;
  readonly rpc: Pick<RpcClient, 'call'>;
  readonly recent: Pick<RecentGateways, 'others'>;
  readonly random: Random;
  readonly nowMs: () => number;
  readonly log: Pick<GatewayLog, 'info'>;
  readonly count: (name: string) => void;
  /** Called after a configuration was applied. */
  readonly onChanged: () => void;
}

/** Creates the relay. */
export function createConfigurationRelay(options: ConfigurationRelayOptions): ConfigurationRelay {
  const { view, rpc, recent, random, nowMs, log, count } = options;

  function currentVersion(): number {
    return view.table?.configuration.version ?? 0;
  }

  function apply(configuration: FleetConfiguration, from: string): void {
    if (configuration.version <= currentVersion()) return;
    const { revision } = view;
    const change = { kind: FleetChangeKind.Configuration, revision, configuration } as const;
    applyChanges(view, [change], revision, nowMs());
    count('configurations_relayed_total');
    const { version } = configuration;
    log.info('configuration in force', { version, revision: describeRevision(revision), from });
    options.onChanged();
  }

  async function ask(gateway: string): Promise<void> {
    const answer = await rpc.call<FleetConfiguration | null>(
      gateway,
      RpcMethod.ConfigurationRead,
      [currentVersion()],
      { timeoutMs: ASK_TIMEOUT_MS },
    );
    if (answer.isErr()) count('configuration_peers_unreached_total');
    else if (answer.value !== null) apply(answer.value, gateway);
  }

  /** Returns some other gateways, beginning at a random one. */
  function chooseGateways(): readonly string[] {
    const others = recent.others();
    const first = Math.floor(random() * others.length);
    return [...others.slice(first), ...others.slice(0, first)].slice(0, ASKED_AT_ONCE);
  }

  async function askWhileStoreIsLost(): Promise<void> {
    if (nowMs() <= view.outageFromMs) return;
    await Promise.all(chooseGateways().map(ask));
  }

  return {
    child: createPeriodic('configuration-relay', () => ASK_INTERVAL_MS, askWhileStoreIsLost),
    newerThan: (version) => {
      const configuration = view.table?.configuration;
      return configuration !== undefined && configuration.version > version ? configuration : null;
    },
  };
}
