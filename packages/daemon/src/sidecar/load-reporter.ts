/**
 * Reads the load of the engine and reports it to the subscribed entries. The report interval grows
 * with the number of entries and is never shorter than the one that an entry requests, so that
 * reports stay within their share of the control budget of both sender and receiver. Streams of
 * answers also carry the current load, at no extra cost.
 */
import { EngineRole, type ModelSpec } from '@cassiamast/coordination';
import type { EngineClient, EngineLoad, EngineState } from '@cassiamast/ports';
import { createPeriodic } from '../node/timers.js';
import { type MissingLoad, encodeLoad } from '../protocol/load.js';
import { RpcMethod } from '../protocol/methods.js';
import type { Child } from '../supervisor/supervisor.js';

/** Interval for reading the local engine, which is on the same VM and costs no network traffic. */
const ENGINE_READ_INTERVAL_MS = 250;
/** Approximate size of a sealed report with its headers. */
const APPROX_REPORT_BYTES = 180;
/** Share of load reports in the 4 KB per second that control traffic may cost a member. */
const BUDGET_BYTES_PER_S = 1_000;
/** Entries renew their subscription every 5 s, so it survives three lost datagrams. */
const SUBSCRIPTION_TTL_MS = 20_000;
/** Exceeds the number of entries of a fleet of the intended size. */
const MAX_SUBSCRIBERS = 1_024;
const MS_PER_S = 1_000;

/** Dependencies of the load reporter. */
export interface LoadReporterOptions {
  readonly target: string;
  readonly nowMs: () => number;
  readonly engine: () => EngineClient | null;
  readonly accepting: () => boolean;
  /** Models that the operators want the engine to have loaded. */
  readonly wantedModels: () => readonly ModelSpec[];
  /** Called with the engine's epoch after each successful reading. */
  readonly onRead: (epoch: string) => void;
  readonly sendDatagram: (member: string, method: RpcMethod, params: unknown) => void;
}

/** Reports the load of one target to subscribed entries. */
export interface LoadReporter {
  readonly child: Child;
  readonly subscribe: (entry: string, intervalMs: number) => void;
  /** Latest load in its wire encoding; empty before the first reading. */
  readonly encoded: () => readonly unknown[];
}

/** Creates the load reporter of one target. */
export function createLoadReporter(options: LoadReporterOptions): LoadReporter {
  const subscribers = new Map<string, Subscriber>();
  let load: EngineLoad | null = null;
  let role: EngineRole | null = null;
  let missing: MissingLoad | null = null;
  let readAtMs = 0;

  /** Returns the shortest interval at which reports to all subscribers fit the budget. */
  function budgetIntervalMs(): number {
    return ((subscribers.size * APPROX_REPORT_BYTES) / BUDGET_BYTES_PER_S) * MS_PER_S;
  }

  async function read(): Promise<void> {
    const engine = options.engine();
    if (engine === null) return;
    const atMs = options.nowMs();
    const [loaded, state] = await Promise.all([engine.load(), engine.state()]);
    if (loaded.isErr() || state.isErr()) return;
    load = loaded.value;
    role = state.value.role;
    missing = findMissing(state.value, options.wantedModels());
    readAtMs = atMs;
    options.onRead(state.value.epoch);
  }

  function encoded(): readonly unknown[] {
    if (load === null) return [];
    const { sequence, epoch, ...figures } = load;
    return encodeLoad({
      target: options.target,
      ageMs: options.nowMs() - readAtMs,
      sequence,
      epoch,
      role: role ?? EngineRole.Mixed,
      accepting: options.accepting(),
      missing,
      ...figures,
    });
  }

  function send(): void {
    const nowMs = options.nowMs();
    const report = encoded();
    if (report.length === 0) return;
    for (const [entry, subscriber] of subscribers) {
      if (subscriber.untilMs < nowMs) subscribers.delete(entry);
      const intervalMs = Math.max(subscriber.intervalMs, budgetIntervalMs());
      if (nowMs - subscriber.sentAtMs < intervalMs) continue;
      subscriber.sentAtMs = nowMs;
      options.sendDatagram(entry, RpcMethod.LoadReport, report);
    }
  }

  return {
    encoded,
    subscribe: (entry, intervalMs) => {
      const existing = subscribers.get(entry);
      if (subscribers.size >= MAX_SUBSCRIBERS && existing === undefined) return;
      const untilMs = options.nowMs() + SUBSCRIPTION_TTL_MS;
      const sentAtMs = existing?.sentAtMs ?? Number.NEGATIVE_INFINITY;
      subscribers.set(entry, { untilMs, intervalMs, sentAtMs });
    },
    child: createPeriodic(
      'load-reports',
      () => ENGINE_READ_INTERVAL_MS,
      async () => {
        await read();
        send();
      },
    ),
  };
}

interface Subscriber {
  readonly untilMs: number;
  /** Shortest interval that the entry accepts, given the number of targets that it follows. */
  readonly intervalMs: number;
  sentAtMs: number;
}

/** Returns the first wanted model or adapter that the engine has not loaded in that version. */
function findMissing(state: EngineState, wanted: readonly ModelSpec[]): MissingLoad | null {
  for (const { name, version, adapters } of wanted) {
    const loadedModel = state.models.find(
      (model) => model.name === name && model.version === version,
    );
    if (loadedModel === undefined) return { model: name, version, adapter: null };
    const adapter = adapters.find((wantedAdapter) => !loadedModel.adapters.includes(wantedAdapter));
    if (adapter !== undefined) return { model: name, version, adapter };
  }
  return null;
}
