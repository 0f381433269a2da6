/**
 * Reads the engine's load and passes it on to the entries that subscribed. The interval stretches
 * with the number of entries, and as each entry asks, so that reports stay within their part of the
 * control budget at both ends. Where answers flow, they carry fresher loads at no cost.
 */
import { EngineRole, type ModelSpec } from '@cassiamast/coordination';
import type { EngineClient, EngineLoad, EngineState } from '@cassiamast/ports';
import { createPeriodic } from '../node/timers.js';
import { type MissingLoad, encodeLoad } from '../protocol/load.js';
import { RpcMethod } from '../protocol/methods.js';
import type { Child } from '../supervisor/supervisor.js';

/** How often the engine beside is read; it is on the same VM, so that this costs no network. */
const READ_MS = 250;
/** A sealed report with its headers, about. */
const REPORT_BYTES = 180;
/** One of the 4 KB a second that control may cost a member. */
const BUDGET_BYTES_PER_S = 1_000;
/** An entry subscribes anew every 5 s; three lost datagrams do not end it. */
const SUBSCRIPTION_MS = 20_000;
/** More entries than the target size has. */
const MAX_SUBSCRIBERS = 1_024;
const MS_PER_S = 1_000;

/** What the reporter needs. */
export interface LoadReporterOptions {
  readonly target: string;
  readonly nowMs: () => number;
  readonly engine: () => EngineClient | null;
  readonly accepting: () => boolean;
  /** Models that the operators want the engine to hold. */
  readonly wantedModels: () => readonly ModelSpec[];
  /** Called with each reading. */
  readonly onRead: (epoch: string) => void;
  readonly sendDatagram: (member: string, method: RpcMethod, params: unknown) => void;
}

/** Reports load. */
export interface LoadReporter {
  readonly child: Child;
  readonly subscribe: (entry: string, intervalMs: number) => void;
  /** The latest load as it is sent; empty before one was read. */
  readonly encoded: () => readonly unknown[];
}

/** Makes the reporter. */
export function createLoadReporter(options: LoadReporterOptions): LoadReporter {
  const subscribers = new Map<string, Subscriber>();
  let load: EngineLoad | null = null;
  let role: EngineRole | null = null;
  let missing: MissingLoad | null = null;
  let readAtMs = 0;

  /** The least interval at which all subscribers together stay within the budget. */
  function budgetIntervalMs(): number {
    return ((subscribers.size * REPORT_BYTES) / BUDGET_BYTES_PER_S) * MS_PER_S;
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
      const known = subscribers.get(entry);
      if (subscribers.size >= MAX_SUBSCRIBERS && known === undefined) return;
      const untilMs = options.nowMs() + SUBSCRIPTION_MS;
      const sentAtMs = known?.sentAtMs ?? Number.NEGATIVE_INFINITY;
      subscribers.set(entry, { untilMs, intervalMs, sentAtMs });
    },
    child: createPeriodic(
      'load-reports',
      () => READ_MS,
      async () => {
        await read();
        send();
      },
    ),
  };
}

interface Subscriber {
  readonly untilMs: number;
  /** What the entry can take, by the number of targets that it follows. */
  readonly intervalMs: number;
  sentAtMs: number;
}

/** The first model or adapter, at the wanted version, that the engine lacks. */
function findMissing(state: EngineState, wanted: readonly ModelSpec[]): MissingLoad | null {
  for (const { name, version, adapters } of wanted) {
    const held = state.models.find((model) => model.name === name && model.version === version);
    if (held === undefined) return { model: name, version, adapter: null };
    const adapter = adapters.find((wantedAdapter) => !held.adapters.includes(wantedAdapter));
    if (adapter !== undefined) return { model: name, version, adapter };
  }
  return null;
}
