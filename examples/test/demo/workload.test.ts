/** The plan of a run is the same for the same seed, and has every kind of caller. */
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { Manner, planWorkload } from '../../src/demo/workload.js';
import { DeploymentName } from '../../src/deployment/files.js';
import { promptSource } from '../../src/prompts/prompts.js';

const OPTIONS = { seed: 1, durationMs: 10_000, ratePerS: 14 };
const LONG_PROMPT_WORDS = 2_000;

describe('demo workload', () => {
  for (const name of Object.values(DeploymentName)) {
    describe(name, () => {
      const workload = planWorkload(promptSource(name), OPTIONS);

      it('is replayed by its seed', () => {
        assert.deepEqual(planWorkload(promptSource(name), OPTIONS), workload);
        const other = planWorkload(promptSource(name), { ...OPTIONS, seed: 2 });
        assert.notDeepEqual(other, workload);
      });

      it('has every manner and calls that may not be repeated', () => {
        const manners = new Set(workload.prompts.map((plan) => plan.manner));
        assert.deepEqual(manners, new Set(Object.values(Manner)));
        assert.ok(workload.calls.some((plan) => !plan.call.repeatable));
        assert.ok(workload.calls.some((plan) => plan.call.repeatable));
      });

      it('asks nothing twice, so that a crossed answer shows', () => {
        const texts = workload.prompts.map((plan) => plan.prompt.text);
        assert.equal(new Set(texts).size, texts.length);
      });

      it('has prompts of true length with every placeholder filled', () => {
        const texts = workload.prompts.map((plan) => plan.prompt.text);
        const words = texts.map((text) => text.split(/\s+/).length);
        assert.ok(Math.max(...words) > LONG_PROMPT_WORDS);
        for (const text of texts) assert.doesNotMatch(text, /\{[a-z]+\}/);
      });
    });
  }
});
