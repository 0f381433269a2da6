/** Tests the path of a caller's request through entry, sidecar and engine, and its answer. */
import assert from 'node:assert/strict';
import { after, before, describe, it } from 'node:test';
import { AnswerVerdict, checkAnswer } from '@cassiamast/stand-ins';
import OpenAI from 'openai';
import { API_KEY, type Fleet, startFleet } from '../fixtures/fleet.js';

const PROMPT = 'Defect entry 14: corrosion at frame 27, within limits per task card 53-11.';
const MAX_TOKENS = 24;

describe('end-to-end path', () => {
  let fleet: Fleet;
  let openai: OpenAI;

  before(async () => {
    fleet = await startFleet({ entries: 1, engines: 2 });
    openai = new OpenAI({ apiKey: API_KEY, baseURL: `${fleet.url(0)}/v1`, maxRetries: 0 });
  });
  after(() => fleet.stop());

  describe('with the unmodified openai client', () => {
    it('answers a completion whole', async () => {
      const answer = await openai.completions.create({
        model: 'stand-in',
        prompt: PROMPT,
        max_tokens: MAX_TOKENS,
      });
      const text = answer.choices[0]?.text ?? '';
      assert.equal(checkAnswer(PROMPT, MAX_TOKENS, text), AnswerVerdict.Whole);
      assert.equal(answer.usage?.completion_tokens, MAX_TOKENS);
    });

    it('streams a chat completion', async () => {
      const stream = await openai.chat.completions.create({
        model: 'stand-in',
        messages: [{ role: 'user', content: PROMPT }],
        max_tokens: MAX_TOKENS,
        stream: true,
      });
      let text = '';
      for await (const chunk of stream) text += chunk.choices[0]?.delta.content ?? '';
      const prompt = `<|user|>\n${PROMPT}\n<|assistant|>\n`;
      assert.equal(checkAnswer(prompt, MAX_TOKENS, text), AnswerVerdict.Whole);
    });

    it('lists the models', async () => {
      const models = await openai.models.list();
      assert.deepEqual(
        models.data.map((model) => model.id),
        ['stand-in'],
      );
    });
  });

  describe('refusals', () => {
    it('rejects an unknown API key as not run', async () => {
      const response = await fetch(`${fleet.url(0)}/v1/completions`, {
        method: 'POST',
        headers: { authorization: 'Bearer nobody' },
        body: '{}',
      });
      assert.equal(response.status, 401);
      assert.equal(response.headers.get('content-type'), 'application/problem+json');
      const problem = (await response.json()) as { readonly runState: string };
      assert.equal(problem.runState, 'not-run');
    });

    it('lists every fault of a body', async () => {
      const response = await fetch(`${fleet.url(0)}/v1/completions`, {
        method: 'POST',
        headers: { authorization: `Bearer ${API_KEY}` },
        body: JSON.stringify({ prompt: 7, max_tokens: -1 }),
      });
      assert.equal(response.status, 400);
      const problem = (await response.json()) as { readonly detail: string };
      for (const field of ['model', 'prompt', 'max_tokens']) {
        assert.ok(problem.detail.includes(field), problem.detail);
      }
    });
  });
});
