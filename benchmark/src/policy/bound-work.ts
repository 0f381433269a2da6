/**
 * The least engine time that each request of a trace can take, whatever the policy. Reading: each
 * token once at the best rate, shared blocks only for the first prompt that brings them. Writing:
 * the batch's fixed time is shared by at most a step that still meets the goal, for 95 in 100 of
 * the tokens; the last, longest 5 in 100 are counted without any fixed time.
 */
import { DEFAULT_ENGINE_PROFILE, EngineRole } from '@cassiamast/coordination';
import { BLOCK_TOKENS } from './generate.js';
import { FIRST_TOKEN_GOAL_MS, INTER_TOKEN_GOAL_MS } from './statistics.js';
import type { ServiceTrace } from './trace.js';

/** Least work of one request. */
export interface RequestWork {
  readonly atMs: number;
  /** On a reader. */
  readonly readMs: number;
  /** On a writer, for the prompt; infinite where it cannot meet the goal there. */
  readonly lentMs: number;
  readonly writeMs: number;
  /** Longest that it may write and still be good, from its arrival. */
  readonly spanMs: number;
}

/** Steps vary by a twentieth, so that one of this mean length may still meet the goal. */
const LONGEST_GOOD_STEP_MS = INTER_TOKEN_GOAL_MS / 0.95;

/** Part of the tokens that must come in good steps. */
const GOOD_SHARE = 0.95;

/** Works out the least work of each request. */
export function requestWorks(trace: ServiceTrace): readonly RequestWork[] {
  const seen = new Set<string>();
  const { roles, perSequenceMs, perContextTokenMs } = DEFAULT_ENGINE_PROFILE;
  const writer = roles[EngineRole.Decode];
  const lentPerToken = Math.min(...[EngineRole.Decode, EngineRole.Mixed].map(leastLentMs));
  const efficiency = 1 - writer.stepBaseMs / LONGEST_GOOD_STEP_MS;
  return trace.requests.map((request) => {
    const news = request.blocks.filter((block) => !seen.has(block));
    for (const block of news) seen.add(block);
    const known = (request.blocks.length - news.length) * BLOCK_TOKENS;
    const tokens = Math.max(1, request.promptTokens - known);
    const gaps = Math.max(0, request.outputTokens - 1);
    const costOf = (first: number, last: number): number =>
      (last - first) *
      (perSequenceMs + perContextTokenMs * (request.promptTokens + (first + last) / 2));
    const good = Math.floor(gaps * GOOD_SHARE);
    return {
      atMs: request.atMs,
      readMs: tokens * roles[EngineRole.Prefill].prefillMsPerToken,
      lentMs: canBeLent(tokens) ? tokens * lentPerToken : Number.POSITIVE_INFINITY,
      writeMs: costOf(0, good) / efficiency + costOf(good, gaps),
      spanMs: FIRST_TOKEN_GOAL_MS + gaps * INTER_TOKEN_GOAL_MS + FIRST_TOKEN_GOAL_MS,
    };
  });
}

/**
 * Least writer time of a lent prompt token. A good step is base + writing + chunk, at most the goal;
 * with writing counted at 1 / efficiency, what is left for the chunk is at least chunk / efficiency.
 * In a slow step, where writing counts once, base is more than the difference as well.
 */
function leastLentMs(role: EngineRole): number {
  const figures = DEFAULT_ENGINE_PROFILE.roles[role];
  return figures.prefillMsPerToken / (1 - figures.stepBaseMs / LONGEST_GOOD_STEP_MS);
}

/** Whether a prompt can be read on a writer within the goal, in chunks beside its fixed time. */
function canBeLent(tokens: number): boolean {
  const fits = [EngineRole.Decode, EngineRole.Mixed].map((role) => {
    const figures = DEFAULT_ENGINE_PROFILE.roles[role];
    const steps = Math.ceil(tokens / figures.chunkTokens);
    const quickest = 0.95 * (steps * figures.stepBaseMs + tokens * figures.prefillMsPerToken);
    return quickest <= FIRST_TOKEN_GOAL_MS;
  });
  return fits.some(Boolean);
}
