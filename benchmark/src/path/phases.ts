/**
 * The measurements, one after the other on one fleet. Each gives plain figures; ratios to calling
 * the engine directly are made from figures of the same run.
 */
import { setTimeout as sleep } from 'node:timers/promises';
import { build } from 'hdr-histogram-js';
import type { Caller } from './caller.js';
import type { PathFleet } from './fleet.js';
import { cpuSeconds, residentKb } from './process-usage.js';

const US_PER_MS = 1_000;
const SHORT_PROMPT = 'Draft a finding in one sentence for this entry.';

/** Time to the first token at two percentiles. */
export interface FirstToken {
  readonly medianMs: number;
  readonly p99Ms: number;
}

/** What one load cost. */
export interface LoadCost {
  readonly seconds: number;
  readonly requests: number;
  readonly cut: number;
  readonly tokens: number;
  readonly entryCpuS: number;
  /** Of all sidecars together. */
  readonly sidecarCpuS: number;
  readonly enginesCpuS: number;
}

/** Measures the time to the first token, entry and engine by turns so that both see the same load. */
export async function measureFirstToken(
  fleet: PathFleet,
  caller: Caller,
  count: number,
): Promise<{ readonly entry: FirstToken; readonly direct: FirstToken }> {
  const entry = build();
  const direct = build();
  for (let at = 0; at < count; at++) {
    const engineUrl = fleet.engineUrls[at % fleet.engineUrls.length] ?? '';
    const prompt = `${SHORT_PROMPT} ${String(at)}`;
    const viaEntry = await caller.call(fleet.entryUrl, prompt, 1);
    const straight = await caller.call(engineUrl, prompt, 1);
    entry.recordValue(Math.round(viaEntry.firstMs * US_PER_MS));
    direct.recordValue(Math.round(straight.firstMs * US_PER_MS));
  }
  const read = (histogram: ReturnType<typeof build>): FirstToken => ({
    medianMs: histogram.getValueAtPercentile(50) / US_PER_MS,
    p99Ms: histogram.getValueAtPercentile(99) / US_PER_MS,
  });
  return { entry: read(entry), direct: read(direct) };
}

/** Sends requests at a steady rate and measures what they cost each process. */
export async function measureLoad(
  fleet: PathFleet,
  caller: Caller,
  load: {
    readonly urls: readonly string[];
    readonly requestsPerS: number;
    readonly tokensPerRequest: number;
    readonly seconds: number;
  },
): Promise<LoadCost> {
  const before = readCpu(fleet);
  const startMs = performance.now();
  const count = Math.round(load.requestsPerS * load.seconds);
  const timings = await Promise.all(
    Array.from({ length: count }, async (_, at) => {
      await sleep((at / load.requestsPerS) * 1_000);
      const url = load.urls[at % load.urls.length] ?? '';
      return caller.call(url, `${SHORT_PROMPT} load ${String(at)}`, load.tokensPerRequest);
    }),
  );
  const seconds = (performance.now() - startMs) / 1_000;
  const after = readCpu(fleet);
  const cut = timings.filter((timing) => !timing.whole).length;
  return {
    seconds,
    requests: count,
    cut,
    tokens: (count - cut) * load.tokensPerRequest,
    entryCpuS: after.entry - before.entry,
    sidecarCpuS: after.sidecars - before.sidecars,
    enginesCpuS: after.engines - before.engines,
  };
}

function readCpu(fleet: PathFleet) {
  return {
    entry: cpuSeconds(fleet.entryPid),
    sidecars: fleet.sidecarPids.reduce((sum, pid) => sum + cpuSeconds(pid), 0),
    engines: cpuSeconds(fleet.enginesPid),
  };
}

/** Resident memory that an open stream adds to the entry and to the sidecar beside its engine. */
export async function measureOpenStreams(
  fleet: PathFleet,
  caller: Caller,
  options: {
    readonly streams: number;
    readonly tokensPerRequest: number;
    readonly settleMs: number;
  },
): Promise<{ readonly entryKb: number; readonly sidecarKb: number; readonly cut: number }> {
  const beforeEntry = residentKb(fleet.entryPid);
  const beforeSidecars = fleet.sidecarPids.map(residentKb);
  const open = Array.from({ length: options.streams }, (_, at) =>
    caller.call(fleet.entryUrl, `${SHORT_PROMPT} open ${String(at)}`, options.tokensPerRequest),
  );
  await sleep(options.settleMs);
  const entryKb = (residentKb(fleet.entryPid) - beforeEntry) / options.streams;
  const grown = fleet.sidecarPids.reduce(
    (sum, pid, at) => sum + residentKb(pid) - (beforeSidecars[at] ?? 0),
    0,
  );
  const timings = await Promise.all(open);
  const cut = timings.filter((timing) => !timing.whole).length;
  return { entryKb, sidecarKb: grown / options.streams, cut };
}
