/**
 * What the callers will do, planned before the run from its seed: when each request comes, what it
 * asks, through which entry, and how its caller behaves.
 */
import type { Random } from '@cassiamast/coordination';
import { randomBelow, seededRandom } from '@cassiamast/coordination';
import type { PlainCall, Prompt, PromptSource } from '../prompts/prompts.js';
import { pick } from '../prompts/random-fill.js';

/** How the caller of a model request behaves. */
export enum Manner {
  /** Reads the stream to its end. */
  Streamed = 'streamed',
  /** Asks for the answer in one body. */
  Whole = 'whole',
  /** Loses its connection in mid-answer and returns through another entry for the rest. */
  Broken = 'broken',
  /** Asks again when it has the answer, through another entry. */
  Resent = 'resent',
  /** Sends to two entries at once. */
  Twice = 'twice',
}

/** What all planned requests have. */
interface PlannedBase {
  readonly id: number;
  readonly atMs: number;
  readonly idempotencyKey: string;
  readonly apiKey: string;
  /** Index of the entry that is tried first. */
  readonly entry: number;
}

/** A model request. */
export interface PlannedPrompt extends PlannedBase {
  readonly prompt: Prompt;
  readonly manner: Manner;
  /** Tokens after which a broken connection breaks. */
  readonly breakAfterEvents: number;
}

/** A call of the plain service. */
export interface PlannedCall extends PlannedBase {
  readonly call: PlainCall;
}

/** The plan of a run. */
export interface Workload {
  readonly prompts: readonly PlannedPrompt[];
  readonly calls: readonly PlannedCall[];
}

const MANNERS: readonly Manner[] = [
  Manner.Streamed,
  Manner.Streamed,
  Manner.Streamed,
  Manner.Streamed,
  Manner.Whole,
  Manner.Broken,
  Manner.Broken,
  Manner.Resent,
  Manner.Twice,
];

/** Of all requests; the rest are calls of the plain service. */
const PROMPT_SHARE = 0.8;
/** Share of long prompts in the first and the second half: the mix shifts in the middle. */
const LONG_SHARES = [0.7, 0.25] as const;
const REPEATABLE_SHARE = 0.5;
const MAX_BREAK_EVENTS = 12;

/** Plans a run. */
export function planWorkload(
  source: PromptSource,
  options: { readonly seed: number; readonly durationMs: number; readonly ratePerS: number },
): Workload {
  const random = seededRandom(options.seed);
  const count = Math.max(1, Math.round((options.durationMs / 1_000) * options.ratePerS));
  const prompts: PlannedPrompt[] = [];
  const calls: PlannedCall[] = [];
  for (let id = 0; id < count; id++) {
    const atMs = (id / count) * options.durationMs;
    const base: PlannedBase = {
      id,
      atMs,
      idempotencyKey: `demo-${String(options.seed)}-${String(id)}`,
      apiKey: pick(random, source.apiKeys),
      entry: randomBelow(random, 3),
    };
    if (random() < PROMPT_SHARE) {
      const longShare = LONG_SHARES[atMs < options.durationMs / 2 ? 0 : 1];
      prompts.push(planPrompt(random, source, base, longShare));
    } else {
      const repeatable = random() < REPEATABLE_SHARE;
      calls.push({ ...base, call: source.drawCall(random, repeatable) });
    }
  }
  return { prompts, calls };
}

function planPrompt(
  random: Random,
  source: PromptSource,
  base: PlannedBase,
  longShare: number,
): PlannedPrompt {
  return {
    ...base,
    prompt: random() < longShare ? source.drawLong(random) : source.drawShort(random),
    manner: pick(random, MANNERS),
    breakAfterEvents: 1 + randomBelow(random, MAX_BREAK_EVENTS),
  };
}
