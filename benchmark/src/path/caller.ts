/**
 * The benchmark's caller: the cheapest reading that still tells when the first token came and that
 * the answer was whole, the same for an entry and for an engine.
 */
import { randomUUID } from 'node:crypto';
import { Agent, request } from 'undici';
import { API_KEY, MODEL } from './fleet.js';

const DONE = Buffer.from('[DONE]');

/** One answer's times. */
export interface Timing {
  readonly firstMs: number;
  readonly wholeMs: number;
  /** Whether the stream came to its proper end. */
  readonly whole: boolean;
}

/** A caller with its own connections. */
export interface Caller {
  readonly call: (baseUrl: string, prompt: string, maxTokens: number) => Promise<Timing>;
  readonly close: () => Promise<void>;
}

/** Makes a caller. */
export function createCaller(): Caller {
  const agent = new Agent({ connections: null, headersTimeout: 0, bodyTimeout: 0 });
  return {
    call: (baseUrl, prompt, maxTokens) => call(agent, baseUrl, prompt, maxTokens),
    close: () => agent.destroy(),
  };
}

async function call(
  agent: Agent,
  baseUrl: string,
  prompt: string,
  maxTokens: number,
): Promise<Timing> {
  const startMs = performance.now();
  const answer = await request(`${baseUrl}/v1/completions`, {
    method: 'POST',
    dispatcher: agent,
    headers: {
      authorization: `Bearer ${API_KEY}`,
      'content-type': 'application/json',
      'idempotency-key': randomUUID(),
    },
    body: JSON.stringify({ model: MODEL, prompt, max_tokens: maxTokens, stream: true, seed: 1 }),
  });
  let firstMs: number | null = null;
  let whole = false;
  for await (const chunk of answer.body) {
    firstMs ??= performance.now() - startMs;
    // The end is short and written at once: it does not fall between two chunks in practice, and
    // where it does the answer counts as cut and the run fails visibly.
    whole ||= (chunk as Buffer).includes(DONE);
  }
  const wholeMs = performance.now() - startMs;
  return { firstMs: firstMs ?? wholeMs, wholeMs, whole: whole && answer.statusCode === 200 };
}
