/**
 * Reads the engine's load and passes it on to the entries that subscribed. The interval stretches
 * with their number, so that a sidecar's reports stay under their part of the control budget
 * however many entries want them.
 */
import { EngineRole, type ModelSpec } from '@cassiamast/coordination';
import type { EngineClient, EngineLoad, EngineState } from '@cassiamast/platform';
import { createPeriodic } from '../node/timers.js';
import { type MissingLoad, encodeLoad } from '../protocol/load.js';
import { RpcMethod } from '../protocol/methods.js';
import type { Child } from '../supervisor/supervisor.js';

/** Shortest interval: below it a report tells hardly more than the one before. */
const MIN_INTERVAL_MS = 250;
/** A sealed report with its headers, about. */
const REPORT_BYTES = 180;
/** Two of the 4 KB a second that control may cost a member. */
const BUDGET_BYTES_PER_S = 2_000;
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
  readonly onRead: (load: EngineLoad, epoch: string) => void;
  readonly sendDatagram: (member: string, method: RpcMethod, params: unknown) => void;
}

/** Reports load. */
export interface LoadReporter {
  readonly child: Child;
  readonly subscribe: (entry: string) => void;
  /** The latest load, or null before one was read. */
  readonly latest: () => EngineLoad | null;
  readonly role: () => EngineRole | null;
  readonly reportAgeMs: () => number | null;
}

/** Makes the reporter. */
export function createLoadReporter(options: LoadReporterOptions): LoadReporter {
  const subscribers = new Map<string, number>();
  let load: EngineLoad | null = null;
  let role: EngineRole | null = null;
  let missing: MissingLoad | null = null;
  let readAtMs = 0;

  function intervalMs(): number {
    const bytes = subscribers.size * REPORT_BYTES;
    return Math.max(MIN_INTERVAL_MS, (bytes / BUDGET_BYTES_PER_S) * MS_PER_S);
  }

  function dropLapsed(nowMs: number): void {
    for (const [entry, untilMs] of subscribers) if (untilMs < nowMs) subscribers.delete(entry);
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
    options.onRead(load, state.value.epoch);
  }

  function send(): void {
    if (load === null) return;
    const { sequence, epoch, ...figures } = load;
    const report = encodeLoad({
      target: options.target,
      ageMs: options.nowMs() - readAtMs,
      sequence,
      epoch,
      role: role ?? EngineRole.Mixed,
      accepting: options.accepting(),
      missing,
      ...figures,
    });
    for (const entry of subscribers.keys()) {
      options.sendDatagram(entry, RpcMethod.LoadReport, report);
    }
  }

  return {
    latest: () => load,
    role: () => role,
    reportAgeMs: () => (load === null ? null : options.nowMs() - readAtMs),
    subscribe: (entry) => {
      if (subscribers.size >= MAX_SUBSCRIBERS && !subscribers.has(entry)) return;
      subscribers.set(entry, options.nowMs() + SUBSCRIPTION_MS);
    },
    child: createPeriodic('load-reports', intervalMs, async () => {
      dropLapsed(options.nowMs());
      await read();
      send();
    }),
  };
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
