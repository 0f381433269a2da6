/**
 * Measures a fleet of real processes at rest and through one failure, one edit and one departure:
 * control bytes on the sockets, processor time, memory, key-value calls, times of detection and
 * spread. No requests run, so that everything counted is control.
 */
import { spawn } from 'node:child_process';
import { setTimeout as sleep } from 'node:timers/promises';
import { MemberState, type ProcessStatus, TargetCondition } from '@cassiamast/coordination';
import { createMemberProof, createRpcClient, type RpcClient, RpcMethod } from '@cassiamast/daemon';
import { cpuSeconds, residentKb } from '../../path/process-usage.js';
import { type ControlFleet, type Daemon, SECRET, startControlFleet } from './fleet.js';

const POLL_MS = 100;
const GIVE_UP_MS = 60_000;
const CALL_TIMEOUT_MS = 2_000;
const NO_CLOCK = { now: () => '', receiveTimestamp: () => undefined };

/** Median and worst over the processes. */
export interface Spread {
  readonly median: number;
  readonly worst: number;
}

/** What one size gave. */
export interface RealResult {
  readonly processes: number;
  readonly entries: number;
  readonly sidecars: number;
  /** Sent and received, with headers, per second and process. */
  readonly entryBytesPerS: Spread;
  readonly sidecarBytesPerS: Spread;
  readonly entryCorePercent: Spread;
  readonly sidecarCorePercent: Spread;
  readonly bareNodeKb: number;
  readonly entryKbOverBare: Spread;
  readonly sidecarKbOverBare: Spread;
  /** Calls of the whole fleet a second, by kind. */
  readonly keyValueCallsPerS: Readonly<Record<string, number>>;
  readonly waitingWatches: number;
  /** From the kill until every entry gives the target no new work. */
  readonly killNoticedMs: number;
  readonly editInForceMs: Spread;
  /** From SIGTERM until every entry gives the target no new work. */
  readonly leavingNoticedMs: number;
}

/** Starts a fleet, measures it, stops it. */
export async function measureReal(
  entries: number,
  sidecars: number,
  basePort: number,
  quietS: number,
): Promise<RealResult> {
  const fleet = await startControlFleet(entries, sidecars, basePort);
  const rpc = createRpcClient(createMemberProof(SECRET), NO_CLOCK);
  try {
    return await measure(fleet, rpc, quietS);
  } finally {
    await rpc.close();
    await fleet.stop();
  }
}

async function measure(fleet: ControlFleet, rpc: RpcClient, quietS: number): Promise<RealResult> {
  const { daemons } = fleet;
  await waitUntilComplete(rpc, daemons);
  const quiet = await measureQuiet(fleet, rpc, quietS);
  const editInForceMs = await measureEdit(fleet, rpc);
  const sidecars = daemons.filter((daemon) => !daemon.isEntry);
  const [killed, leaving] = sidecars;
  if (killed === undefined || leaving === undefined) throw new RangeError('too small a fleet');
  const killNoticedMs = await measureNotice(fleet, rpc, killed, 'SIGKILL');
  const leavingNoticedMs = await measureNotice(fleet, rpc, leaving, 'SIGTERM');
  return {
    processes: daemons.length,
    entries: daemons.length - sidecars.length,
    sidecars: sidecars.length,
    ...quiet,
    editInForceMs,
    killNoticedMs,
    leavingNoticedMs,
  };
}

async function measureQuiet(
  fleet: ControlFleet,
  rpc: RpcClient,
  quietS: number,
): Promise<
  Omit<
    RealResult,
    'processes' | 'entries' | 'sidecars' | 'editInForceMs' | 'killNoticedMs' | 'leavingNoticedMs'
  >
> {
  const { daemons } = fleet;
  const bareNodeKb = await measureBareNode();
  const before = await readAll(rpc, daemons);
  const callsBefore = await readKeyValueCounts(fleet.keyValueUrl);
  const cpuBefore = daemons.map((daemon) => cpuSeconds(daemon.pid));
  const startedAtMs = performance.now();
  await sleep(quietS * 1_000);
  const elapsedS = (performance.now() - startedAtMs) / 1_000;
  const cpuAfter = daemons.map((daemon) => cpuSeconds(daemon.pid));
  const callsAfter = await readKeyValueCounts(fleet.keyValueUrl);
  const after = await readAll(rpc, daemons);
  const bytesPerS = daemons.map((_, at) => (bytesOf(after[at]) - bytesOf(before[at])) / elapsedS);
  const corePercent = daemons.map(
    (_, at) => (((cpuAfter[at] ?? 0) - (cpuBefore[at] ?? 0)) / elapsedS) * 100,
  );
  const kbOverBare = daemons.map((daemon) => residentKb(daemon.pid) - bareNodeKb);
  const ofEntries = (values: readonly number[]): Spread =>
    spreadOf(values.filter((_, at) => daemons[at]?.isEntry === true));
  const ofSidecars = (values: readonly number[]): Spread =>
    spreadOf(values.filter((_, at) => daemons[at]?.isEntry === false));
  return {
    entryBytesPerS: ofEntries(bytesPerS),
    sidecarBytesPerS: ofSidecars(bytesPerS),
    entryCorePercent: ofEntries(corePercent),
    sidecarCorePercent: ofSidecars(corePercent),
    bareNodeKb,
    entryKbOverBare: ofEntries(kbOverBare),
    sidecarKbOverBare: ofSidecars(kbOverBare),
    keyValueCallsPerS: callRates(callsBefore.calls, callsAfter.calls, elapsedS),
    waitingWatches: callsAfter.waitingWatches,
  };
}

async function measureEdit(fleet: ControlFleet, rpc: RpcClient): Promise<Spread> {
  const { version, acceptedAtWallMs } = await fleet.edit();
  const live = fleet.daemons;
  await waitFor(async () => {
    const statuses = await readAll(rpc, live);
    return statuses.every((status) => (status?.configurationVersion ?? 0) >= version);
  });
  const statuses = await readAll(rpc, live);
  return spreadOf(
    statuses.map((status) => (status?.configurationSinceWallMs ?? 0) - acceptedAtWallMs),
  );
}

async function measureNotice(
  fleet: ControlFleet,
  rpc: RpcClient,
  daemon: Daemon,
  signal: NodeJS.Signals,
): Promise<number> {
  const entries = fleet.daemons.filter((one) => one.isEntry);
  const startedAtMs = performance.now();
  daemon.child.kill(signal);
  await waitFor(async () => {
    const statuses = await readAll(rpc, entries);
    return statuses.every((status) => !takesWork(status, daemon.target));
  });
  return Math.round(performance.now() - startedAtMs);
}

function takesWork(status: ProcessStatus | null, target: string): boolean {
  const targets = (status?.services ?? []).flatMap((service) => service.targets);
  const found = targets.find((one) => one.name === target);
  return found?.condition === TargetCondition.Ready;
}

async function waitUntilComplete(rpc: RpcClient, daemons: readonly Daemon[]): Promise<void> {
  await waitFor(async () => {
    const statuses = await readAll(rpc, daemons);
    return statuses.every((status) => status?.membersByState[MemberState.Alive] === daemons.length);
  });
}

function readAll(
  rpc: RpcClient,
  daemons: readonly Daemon[],
): Promise<readonly (ProcessStatus | null)[]> {
  return Promise.all(
    daemons.map(async (daemon) => {
      const query = { withMembers: false };
      const status = await rpc.call<ProcessStatus>(daemon.memberId, RpcMethod.StatusRead, query, {
        timeoutMs: CALL_TIMEOUT_MS,
      });
      return status.unwrapOr(null);
    }),
  );
}

function bytesOf(status: ProcessStatus | null | undefined): number {
  const counters = status?.counters ?? {};
  return (
    (counters['tcp_received_bytes'] ?? 0) +
    (counters['tcp_sent_bytes'] ?? 0) +
    (counters['datagrams_received_bytes'] ?? 0) +
    (counters['datagrams_sent_bytes'] ?? 0)
  );
}

interface KeyValueCounts {
  readonly calls: Readonly<Record<string, number>>;
  readonly waitingWatches: number;
}

async function readKeyValueCounts(url: string): Promise<KeyValueCounts> {
  const answer = (await (await fetch(`${url}/counts`)).json()) as Record<string, unknown>;
  const { waitingWatches, ...calls } = answer;
  return { calls: calls as Record<string, number>, waitingWatches: Number(waitingWatches) };
}

function callRates(
  before: Readonly<Record<string, number>>,
  after: Readonly<Record<string, number>>,
  elapsedS: number,
): Readonly<Record<string, number>> {
  const rates: Record<string, number> = {};
  for (const [kind, count] of Object.entries(after)) {
    rates[kind] = Math.round(((count - (before[kind] ?? 0)) / elapsedS) * 100) / 100;
  }
  return rates;
}

/** Memory of a Node process that does nothing, on this machine, in this run. */
async function measureBareNode(): Promise<number> {
  const child = spawn(process.execPath, ['-e', 'setInterval(() => undefined, 1000)'], {
    stdio: 'ignore',
  });
  await sleep(1_000);
  const kb = residentKb(child.pid ?? 0);
  child.kill('SIGKILL');
  return kb;
}

function spreadOf(values: readonly number[]): Spread {
  const sorted = [...values].sort((left, right) => left - right);
  const median = sorted[Math.floor(sorted.length / 2)] ?? 0;
  const worst = sorted.at(-1) ?? 0;
  return { median: round(median), worst: round(worst) };
}

function round(value: number): number {
  return Math.round(value * 100) / 100;
}

async function waitFor(condition: () => Promise<boolean>): Promise<void> {
  const giveUpAtMs = performance.now() + GIVE_UP_MS;
  while (!(await condition())) {
    if (performance.now() > giveUpAtMs) throw new RangeError('the condition never came to hold');
    await sleep(POLL_MS);
  }
}
