/**
 * `npm run bench -- path`: what the way through entry and sidecar costs, against calling the engine
 * stand-in directly in the same run.
 */
import { parseArgs } from 'node:util';
import { createCaller } from './caller.js';
import { startPathFleet } from './fleet.js';
import type { FirstToken, LoadCost } from './phases.js';
import { measureFirstToken, measureLoad, measureOpenStreams } from './phases.js';

/** An entry's share at the target size: 6,100 requests and 2.3 million tokens a second over 410. */
const TOKENS_PER_S = 5_600;
const REQUESTS_PER_S = 15;
const TOKENS_PER_REQUEST = Math.round(TOKENS_PER_S / REQUESTS_PER_S);

/** A sidecar's share: 2.3 million tokens a second over 730 servers. */
const SIDECAR_TOKENS_PER_S = 3_150;

/** Short requests a second, for the cost of a request beside its tokens. */
const SHORT_REQUESTS_PER_S = 150;

const DEFAULT_BASE_PORT = '21800';
const DEFAULT_SECONDS = '10';
const FIRST_TOKEN_CALLS = 400;
const WARM_UP_CALLS = 100;
const OPEN_STREAMS = 500;
const OPEN_SETTLE_MS = 3_000;

/** Engines that never wait: every step is short, and all streams of a phase fit in the batch. */
const ENGINE = {
  stepBaseMs: 15,
  stepPerRequestMs: 0,
  stepPerContextKtokenMs: 0,
  prefillTokensPerMs: 1_000,
  kvCapacityTokens: 4_000_000,
  roleSpeeds: {
    prefill: { prefillChunkTokens: 100_000, maxBatch: 1_024 },
    decode: { prefillChunkTokens: 100_000, maxBatch: 1_024 },
    mixed: { prefillChunkTokens: 100_000, maxBatch: 1_024 },
  },
};

/** What a run found. */
export interface PathResult {
  readonly addedTtftMedianMs: number;
  readonly addedTtftP99Ms: number;
  readonly ttft: { readonly entry: FirstToken; readonly direct: FirstToken };
  /** Share of one core that the entry used at its share of the target size. */
  readonly entryCores: number;
  /** The same for a sidecar at its share. */
  readonly sidecarCores: number;
  readonly tokensPerCoreS: number;
  readonly requestsPerCoreS: number;
  /** Entry's processor time for a token, as a multiple of the stand-in's when called directly. */
  readonly entryToDirectCpuRatio: number;
  readonly entryKbPerOpenStream: number;
  readonly sidecarKbPerOpenStream: number;
  readonly cut: number;
}

/** Runs the benchmark; prints the figures and, last, one JSON object. */
export async function runPath(args: readonly string[]): Promise<number> {
  const { values } = parseArgs({
    args: [...args],
    options: {
      'base-port': { type: 'string', default: DEFAULT_BASE_PORT },
      seconds: { type: 'string', default: DEFAULT_SECONDS },
      profile: { type: 'boolean', default: false },
    },
  });
  const fleet = await startPathFleet(Number(values['base-port']), ENGINE, values.profile);
  const caller = createCaller();
  const interrupted = (): void => {
    void fleet.stop().then(() => process.exit(1));
  };
  process.once('SIGINT', interrupted);
  process.once('SIGTERM', interrupted);
  try {
    const result = await measure(fleet, caller, Number(values.seconds));
    print(result);
    return result.cut === 0 ? 0 : 1;
  } finally {
    await caller.close();
    await fleet.stop();
  }
}

async function measure(
  fleet: Awaited<ReturnType<typeof startPathFleet>>,
  caller: ReturnType<typeof createCaller>,
  seconds: number,
): Promise<PathResult> {
  await measureFirstToken(fleet, caller, WARM_UP_CALLS);
  const ttft = await measureFirstToken(fleet, caller, FIRST_TOKEN_CALLS);
  const share = { requestsPerS: REQUESTS_PER_S, tokensPerRequest: TOKENS_PER_REQUEST, seconds };
  const direct = await measureLoad(fleet, caller, { urls: fleet.engineUrls, ...share });
  const relayed = await measureLoad(fleet, caller, { urls: [fleet.entryUrl], ...share });
  const short = await measureLoad(fleet, caller, {
    urls: [fleet.entryUrl],
    requestsPerS: SHORT_REQUESTS_PER_S,
    tokensPerRequest: 1,
    seconds: seconds / 2,
  });
  const open = await measureOpenStreams(fleet, caller, {
    streams: OPEN_STREAMS,
    tokensPerRequest: TOKENS_PER_REQUEST,
    settleMs: OPEN_SETTLE_MS,
  });
  return {
    addedTtftMedianMs: rounded(ttft.entry.medianMs - ttft.direct.medianMs),
    addedTtftP99Ms: rounded(ttft.entry.p99Ms - ttft.direct.p99Ms),
    ttft,
    // From the cost of a token, since the rate climbs and falls at the ends of the load.
    entryCores: rounded(TOKENS_PER_S * perToken(relayed.entryCpuS, relayed)),
    sidecarCores: rounded(SIDECAR_TOKENS_PER_S * perToken(relayed.sidecarCpuS, relayed)),
    tokensPerCoreS: Math.round(relayed.tokens / relayed.entryCpuS),
    requestsPerCoreS: Math.round(short.requests / short.entryCpuS),
    entryToDirectCpuRatio: rounded(perToken(relayed.entryCpuS, relayed) / directCost(direct)),
    entryKbPerOpenStream: rounded(open.entryKb),
    sidecarKbPerOpenStream: rounded(open.sidecarKb),
    cut: direct.cut + relayed.cut + short.cut + open.cut,
  };
}

function directCost(cost: LoadCost): number {
  return perToken(cost.enginesCpuS, cost);
}

function perToken(cpuS: number, cost: LoadCost): number {
  return cpuS / cost.tokens;
}

function rounded(value: number): number {
  return Math.round(value * 1_000) / 1_000;
}

function print(result: PathResult): void {
  const { ttft } = result;
  console.log(
    [
      `first token: entry ${ttft.entry.medianMs.toFixed(2)} ms, direct ` +
        `${ttft.direct.medianMs.toFixed(2)} ms at the median; ` +
        `${ttft.entry.p99Ms.toFixed(2)} and ${ttft.direct.p99Ms.toFixed(2)} ms at the 99th`,
      `entry at ${String(TOKENS_PER_S)} tokens/s and ${String(REQUESTS_PER_S)} requests/s: ` +
        `${result.entryCores.toFixed(3)} of a core; ` +
        `sidecar at ${String(SIDECAR_TOKENS_PER_S)} tokens/s: ${result.sidecarCores.toFixed(3)}`,
      `relayed per core-second: ${String(result.tokensPerCoreS)} tokens, ` +
        `${String(result.requestsPerCoreS)} short requests`,
      `open stream: ${result.entryKbPerOpenStream.toFixed(1)} KB at the entry, ` +
        `${result.sidecarKbPerOpenStream.toFixed(1)} KB at the sidecar`,
    ].join('\n'),
  );
  console.log(JSON.stringify(result));
}
