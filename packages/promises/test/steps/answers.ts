/** Step definitions for callers that stream completions. */
import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import { AnswerVerdict, checkAnswer } from '@cassiamast/stand-ins';
import { type CompletionOptions, streamCompletion } from '../fixtures/caller.js';
import { waitFor } from '../fixtures/wait-for.js';
import { fleet, type Scenario } from './world.js';

const LONG_TOKENS = 200;
const SHORT_TOKENS = 12;
/** Received length after which an answer has started but is far from finished. */
const PARTIAL_ANSWER_CHARS = 80;

function createCompletion(scenario: Scenario, maxTokens: number): CompletionOptions {
  const prompt = `Maintenance history ${scenario.id}: open findings against the return conditions.`;
  scenario.completion = { prompt, maxTokens, key: `finding-${scenario.id}` };
  return scenario.completion;
}

/** Returns the completion request of the scenario. */
export function scenarioCompletion({ completion }: Scenario): CompletionOptions {
  assert.ok(completion);
  return completion;
}

/** Returns the index of the engine that runs the scenario's request, or -1. */
export function findRunningEngine(scenario: Scenario): number {
  const { prompt } = scenarioCompletion(scenario);
  return fleet().engines.findIndex((engine) => engine.runsOf(prompt) > 0);
}

Given(
  'an inspector reads a long finding through entry {int}',
  async function (this: Scenario, entry: number) {
    const stream = streamCompletion(fleet().url(entry), createCompletion(this, LONG_TOKENS));
    this.streams = [stream];
    await waitFor(() => stream.text.length > PARTIAL_ANSWER_CHARS || stream.problem !== null);
    this.engine = findRunningEngine(this);
  },
);

Given(
  'an inspector got a short finding through entry {int}',
  async function (this: Scenario, entry: number) {
    const stream = streamCompletion(fleet().url(entry), createCompletion(this, SHORT_TOKENS));
    this.streams = [stream];
    await stream.closed;
    assert.equal(stream.done, true, JSON.stringify(stream.problem));
  },
);

When('the engine that writes it crashes', function (this: Scenario) {
  fleet().engines[this.engine]?.crash();
});

When(
  'the tablet loses its connection and comes back through entry {int}',
  async function (this: Scenario, entry: number) {
    const [first] = this.streams;
    assert.ok(first);
    first.disconnect();
    await first.closed;
    this.streams.push(
      streamCompletion(fleet().url(entry), scenarioCompletion(this), first.lastEventId),
    );
  },
);

When(
  'the tablet sends the same request again through entry {int}',
  async function (this: Scenario, entry: number) {
    const again = streamCompletion(fleet().url(entry), scenarioCompletion(this));
    this.streams.push(again);
    await again.closed;
  },
);

When('the tablet sends another request with the same key', async function (this: Scenario) {
  const other = streamCompletion(fleet().url(1), {
    ...scenarioCompletion(this),
    prompt: 'Another history.',
  });
  this.streams.push(other);
  await other.closed;
});

When('entry {int} is shut down', async function (this: Scenario, entry: number) {
  this.stopped = fleet().entries[entry - 1] ?? null;
  await this.stopped?.running.stop();
});

When('the process beside the engine that writes it is shut down', async function (this: Scenario) {
  this.stopped = fleet().sidecars[this.engine] ?? null;
  await this.stopped?.running.stop();
});

Then('the inspector gets the whole finding', async function (this: Scenario) {
  const last = this.streams.at(-1);
  await last?.closed;
  assert.equal(last?.done, true, JSON.stringify(last?.problem));
  const text = this.streams.map((stream) => stream.text).join('');
  const { prompt, maxTokens } = scenarioCompletion(this);
  assert.equal(checkAnswer(prompt, maxTokens, text), AnswerVerdict.Whole);
});

Then('the tablet gets the same finding', function (this: Scenario) {
  const [first, second] = this.streams;
  assert.equal(second?.text, first?.text);
});

Then('the finding was written once', function (this: Scenario) {
  const { prompt } = scenarioCompletion(this);
  const runs = fleet().engines.reduce((sum, engine) => sum + engine.runsOf(prompt), 0);
  assert.equal(runs, 1);
});

Then('that request is refused with status {int}', function (this: Scenario, status: number) {
  assert.equal(this.streams.at(-1)?.status, status);
});
