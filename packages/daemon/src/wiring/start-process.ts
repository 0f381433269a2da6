/**
 * Starts a complete process from its settings: creates the shared context, wires the parts for the
 * kind of process and runs them under one root supervisor. Stopping the process drains it first.
 */
import { randomInt } from 'node:crypto';
import { setTimeout as sleep } from 'node:timers/promises';
import {
  type ClientLimits,
  DRAIN_OPTIONS,
  type DrainEffect,
  DrainEffectKind,
  EventKind,
  type Failure,
  MemberKind,
  clientLimits,
  createDrain,
  createHashing,
  seededRandom,
  startDrain,
  tickDrain,
} from '@cassiamast/coordination';
import { createKeyValueClient } from '@cassiamast/ports';
import { formatAddress } from '../node/address.js';
import { createClientGuard } from '../node/client-guard.js';
import { SYSTEM_CLOCKS } from '../node/clocks.js';
import { MAX_CALL_BYTES } from '../node/control-server.js';
import { reportOutages } from '../node/key-value-outages.js';
import { createLog } from '../node/logging.js';
import { createRpcClient } from '../node/rpc-client.js';
import { createMemberProof } from '../node/secret.js';
import { type NewHistogram, createTelemetry } from '../node/telemetry.js';
import { createTimeline } from '../node/timeline.js';
import { startTrafficMeter } from '../node/traffic-meter.js';
import { logYieldingClients } from '../node/yielding-clients.js';
import type { LoadedSettings, Settings } from '../settings/settings.js';
import { type Child, createSupervisor, DEFAULT_RESTART_LIMIT } from '../supervisor/supervisor.js';
import type { ProcessContext } from './process-context.js';
import { wireEntry } from './wire-entry.js';
import { wireSidecar } from './wire-sidecar.js';

const MAX_SEED = 0x7fff_ffff;
const DRAIN_POLL_MS = 50;
const SIGNIFICANT_DIGITS = 2;

/** Handle of a running process. */
export interface RunningProcess {
  readonly stop: () => Promise<void>;
}

/** Starts a process; calls `onFailure` when a part keeps failing after its restarts. */
export async function startProcess(
  loaded: LoadedSettings,
  onFailure: (failure: Failure) => void,
): Promise<RunningProcess> {
  const { settings, secret } = loaded;
  const traffic = startTrafficMeter();
  const memberId = formatAddress(settings.control);
  const proof = createMemberProof(secret);
  const timeline = createTimeline(memberId, settings.timelineEvents, SYSTEM_CLOCKS.wallMs);
  const telemetry = createTelemetry(timeline.put, await histogramsFor(settings.kind));
  const client = createKeyValueClient({ endpoints: settings.keyValue.endpoints });
  const log = createLog(settings.logLevel, memberId, (line) => process.stderr.write(line));
  let longestBodyBytes = MAX_CALL_BYTES;
  const guard = createClientGuard({
    limits: () => limitsOf(settings, longestBodyBytes),
    nowMs: SYSTEM_CLOCKS.monotonicMs,
    onYielded: logYieldingClients(log, telemetry.count, SYSTEM_CLOCKS.monotonicMs),
  });
  const context: ProcessContext = {
    memberId,
    clocks: SYSTEM_CLOCKS,
    random: seededRandom(randomInt(MAX_SEED)),
    hashing: await createHashing(),
    log,
    proof,
    guard,
    setLongestBody: (bytes) => {
      longestBodyBytes = Math.max(MAX_CALL_BYTES, bytes);
    },
    rpc: createRpcClient(proof, timeline.clock),
    keyValue: reportOutages(client, telemetry.emit, SYSTEM_CLOCKS.monotonicMs),
    telemetry,
    timeline,
    traffic,
    seeds: settings.peers,
  };
  const wired = wireParts(context, settings);
  const root = createSupervisor({
    name: 'root',
    children: wired.children,
    limit: DEFAULT_RESTART_LIMIT,
    log: context.log,
    nowMs: context.clocks.monotonicMs,
    sleep: async (delayMs) => {
      await sleep(delayMs);
    },
  });
  await root.start(onFailure);
  context.log.info(`${settings.kind} is serving`);
  return {
    stop: async () => {
      context.log.info(`${settings.kind} is stopping`);
      telemetry.emit({ kind: EventKind.ProcessStopping, reason: 'it was told to stop' });
      await drain(wired, settings.noticeMs, context.clocks.monotonicMs);
      await root.stop();
      await context.rpc.close();
      await context.keyValue.close();
      traffic.stop();
    },
  };
}

/**
 * Loads the histogram library for entries only, which record durations; see {@link
 * createTelemetry}.
 */
async function histogramsFor(kind: MemberKind): Promise<NewHistogram | null> {
  if (kind === MemberKind.Sidecar) return null;
  const { build } = await import('hdr-histogram-js');
  return (highestTrackableValue) =>
    build({ highestTrackableValue, numberOfSignificantValueDigits: SIGNIFICANT_DIGITS });
}

/** Parts of a process of either kind, with the operations that its shutdown needs. */
interface WiredProcess {
  readonly children: readonly Child[];
  /**
   * Announces to members and the load balancer that the process leaves; new work is still accepted.
   */
  readonly announceLeaving: () => void;
  readonly stopAccepting: () => void;
  /** Number of answers or attempts that a shutdown must not cut off. */
  readonly running: () => number;
  readonly drainMs: () => number;
}

function limitsOf(settings: Settings, longestBodyBytes: number): ClientLimits {
  const limits = clientLimits(settings, longestBodyBytes);
  if (settings.kind !== MemberKind.Entry) return limits;
  const maxConnections = Math.min(limits.maxConnections, settings.maxCallerConnections);
  return { ...limits, maxConnections };
}

function wireParts(context: ProcessContext, settings: Settings): WiredProcess {
  if (settings.kind === MemberKind.Entry) {
    const entry = wireEntry(context, settings);
    return { ...entry, running: entry.openAnswers };
  }
  const sidecar = wireSidecar(context, settings);
  return { ...sidecar, running: sidecar.openAttempts };
}

/**
 * Shuts down gracefully with the library's drain. Work in transit is accepted until the notice period
 * is over; then running work may finish until the drain deadline. Work that is left at the deadline
 * continues elsewhere: a sidecar's streams in the engine, and an entry's answers at their sidecars,
 * where retrying callers can resume them.
 */
async function drain(wired: WiredProcess, noticeMs: number, nowMs: () => number): Promise<void> {
  const state = createDrain({ ...DRAIN_OPTIONS, noticeMs, drainMs: wired.drainMs() });
  let isDrained = false;

  function perform(effects: readonly DrainEffect[]): void {
    for (const { kind } of effects) {
      if (kind === DrainEffectKind.AnnounceLeaving) wired.announceLeaving();
      if (kind === DrainEffectKind.StopAccepting) wired.stopAccepting();
      if (kind === DrainEffectKind.Drained) isDrained = true;
    }
  }

  perform(startDrain(state, nowMs()));
  while (!isDrained) {
    perform(tickDrain(state, wired.running(), nowMs()));
    if (!isDrained) await sleep(DRAIN_POLL_MS);
  }
}
