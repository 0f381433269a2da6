/**
 * Makes requests from a description of the mix over time. Arrivals are Poisson, lengths lognormal;
 * the mix is given as the prefill share of the work, and the rate as a share of what the engines
 * could do if no time were ever lost.
 */
import { DEFAULT_ENGINE_PROFILE, decodeWorkMs, EngineRole } from '@cassiamast/coordination';
import type { Random } from '@cassiamast/coordination';
import { INTER_TOKEN_GOAL_MS } from './statistics.js';
import type { TraceRequest } from './trace.js';

/** The mix at one time. */
export interface Mix {
  /** Part of the work that is prefill, 0 to 1. */
  readonly prefillShare: number;
  /** Offered work over what the engines can do. */
  readonly load: number;
}

/** How prompts share their beginnings. */
export interface Sharing {
  /** Prefixes in use; each belongs to a workspace where there are as many. */
  readonly prefixes: number;
  readonly prefixTokens: number;
}

/** What requests are made from. */
export interface RequestSource {
  readonly engines: number;
  readonly entries: number;
  readonly durationMs: number;
  readonly workspaces: number;
  /** Exponent of the workspaces' sizes: 0 all alike, 1 as Zipf has it. */
  readonly skew: number;
  /** Engine time of a mean request, in milliseconds. */
  readonly workMs: number;
  readonly sharing: Sharing;
  readonly mixAt: (atMs: number) => Mix;
}

/** Tokens of one block, as the routers count them. */
export const BLOCK_TOKENS = 256;

/** Spread of the lognormal lengths: 95 in 100 are below 2.7 times the median. */
const LENGTH_SIGMA = 0.6;

const MAX_PROMPT_TOKENS = 12_000;
const MAX_OUTPUT_TOKENS = 2000;
const MIN_PROMPT_TOKENS = 32;
const MIN_OUTPUT_TOKENS = 4;

/** Mean lengths of a mix. */
export interface MeanLengths {
  readonly promptTokens: number;
  readonly outputTokens: number;
}

/** Lengths of which a request takes `workMs` of engine time, split as the share says. */
export function meanLengths(
  workMs: number,
  prefillShare: number,
  prefixTokens: number,
): MeanLengths {
  const { prefillMsPerToken } = DEFAULT_ENGINE_PROFILE.roles[EngineRole.Prefill];
  const promptTokens = (workMs * prefillShare) / prefillMsPerToken;
  let outputTokens = 1;
  // Work grows with length by more than a line, as the context does; a few rounds settle it.
  for (let round = 0; round < 20; round += 1) {
    const perToken =
      decodeWorkMs(
        DEFAULT_ENGINE_PROFILE,
        INTER_TOKEN_GOAL_MS,
        promptTokens + prefixTokens,
        outputTokens,
      ) / outputTokens;
    outputTokens = Math.max(1, (workMs * (1 - prefillShare)) / perToken);
  }
  return { promptTokens, outputTokens };
}

/** Makes the requests, in order of time. */
export function generateRequests(source: RequestSource, random: Random): readonly TraceRequest[] {
  const requests: TraceRequest[] = [];
  const pickWorkspace = zipf(source.workspaces, source.skew, random);
  const prefixes = {
    known: new Map<number, readonly string[]>(),
    pick: zipf(source.sharing.prefixes, 1, random),
  };
  let atMs = 0;
  for (;;) {
    const mix = source.mixAt(atMs);
    const ratePerMs = (mix.load * source.engines) / source.workMs;
    atMs += -Math.log(1 - random()) / ratePerMs;
    if (atMs >= source.durationMs) return requests;
    requests.push(makeRequest(source, mix, atMs, pickWorkspace(), prefixes, random));
  }
}

function makeRequest(
  source: RequestSource,
  mix: Mix,
  atMs: number,
  workspace: number,
  prefixes: PrefixPool,
  random: Random,
): TraceRequest {
  const { prefixTokens } = source.sharing;
  const mean = meanLengths(source.workMs, mix.prefillShare, prefixTokens);
  const own = clamp(
    lognormal(mean.promptTokens, random),
    MIN_PROMPT_TOKENS,
    MAX_PROMPT_TOKENS - prefixTokens,
  );
  const blocks = prefixOf(source, workspace, prefixes);
  return {
    atMs,
    workspace: `workspace-${String(workspace)}`,
    promptTokens: Math.round(own) + blocks.length * BLOCK_TOKENS,
    outputTokens: Math.round(
      clamp(lognormal(mean.outputTokens, random), MIN_OUTPUT_TOKENS, MAX_OUTPUT_TOKENS),
    ),
    blocks,
    entry: Math.floor(random() * source.entries),
  };
}

/** Prefixes made so far, and the draw of one of many: some documents are read far more often. */
interface PrefixPool {
  readonly known: Map<number, readonly string[]>;
  readonly pick: () => number;
}

function prefixOf(source: RequestSource, workspace: number, pool: PrefixPool): readonly string[] {
  const { prefixes, prefixTokens } = source.sharing;
  if (prefixes === 0) return [];
  const number = prefixes <= source.workspaces ? workspace % prefixes : pool.pick();
  let blocks = pool.known.get(number);
  if (blocks === undefined) {
    const count = Math.round(prefixTokens / BLOCK_TOKENS);
    blocks = Array.from({ length: count }, (_, at) => `prefix-${String(number)}-${String(at)}`);
    pool.known.set(number, blocks);
  }
  return blocks;
}

function clamp(value: number, least: number, most: number): number {
  return Math.max(least, Math.min(most, value));
}

function lognormal(mean: number, random: Random): number {
  const normal = Math.sqrt(-2 * Math.log(1 - random())) * Math.cos(2 * Math.PI * random());
  return mean * Math.exp(LENGTH_SIGMA * normal - (LENGTH_SIGMA * LENGTH_SIGMA) / 2);
}

function zipf(count: number, skew: number, random: Random): () => number {
  const sums: number[] = [];
  let sum = 0;
  for (let rank = 1; rank <= count; rank += 1) {
    sum += 1 / rank ** skew;
    sums.push(sum);
  }
  return () => {
    const drawn = random() * sum;
    const at = sums.findIndex((bound) => drawn < bound);
    return Math.max(0, at);
  };
}
