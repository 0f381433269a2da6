/** Steps of inspectors who read findings. */
import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import { AnswerVerdict, checkAnswer } from '@cassiamast/stand-ins';
import { type Ask, readStream } from '../fixtures/caller.js';
import { waitFor } from '../fixtures/wait-for.js';
import { fleet, type Scenario } from './world.js';

const LONG_TOKENS = 200;
const SHORT_TOKENS = 12;
/** Characters after which a finding is surely in the middle. */
const MIDDLE = 80;

function askOf(scenario: Scenario, maxTokens: number): Ask {
  const prompt = `Maintenance history ${scenario.id}: open findings against the return conditions.`;
  scenario.ask = { prompt, maxTokens, key: `finding-${scenario.id}` };
  return scenario.ask;
}

/** The scenario's own request. */
export function ownAsk({ ask }: Scenario): Ask {
  assert.ok(ask);
  return ask;
}

/** Which engine writes the finding. */
export function writingEngine(scenario: Scenario): number {
  const { prompt } = ownAsk(scenario);
  return fleet().engines.findIndex((engine) => engine.runsOf(prompt) > 0);
}

Given(
  'an inspector reads a long finding through entry {int}',
  async function (this: Scenario, entry: number) {
    const reading = readStream(fleet().url(entry), askOf(this, LONG_TOKENS));
    this.readings = [reading];
    await waitFor(() => reading.text.length > MIDDLE || reading.problem !== null);
    this.engine = writingEngine(this);
  },
);

Given(
  'an inspector got a short finding through entry {int}',
  async function (this: Scenario, entry: number) {
    const reading = readStream(fleet().url(entry), askOf(this, SHORT_TOKENS));
    this.readings = [reading];
    await reading.closed;
    assert.equal(reading.done, true, JSON.stringify(reading.problem));
  },
);

When('the engine that writes it crashes', function (this: Scenario) {
  fleet().engines[this.engine]?.crash();
});

When(
  'the tablet loses its connection and comes back through entry {int}',
  async function (this: Scenario, entry: number) {
    const [first] = this.readings;
    assert.ok(first);
    first.breakOff();
    await first.closed;
    this.readings.push(readStream(fleet().url(entry), ownAsk(this), first.lastEventId));
  },
);

When(
  'the tablet sends the same request again through entry {int}',
  async function (this: Scenario, entry: number) {
    const again = readStream(fleet().url(entry), ownAsk(this));
    this.readings.push(again);
    await again.closed;
  },
);

When('the tablet sends another request with the same key', async function (this: Scenario) {
  const other = readStream(fleet().url(1), { ...ownAsk(this), prompt: 'Another history.' });
  this.readings.push(other);
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
  const last = this.readings.at(-1);
  await last?.closed;
  assert.equal(last?.done, true, JSON.stringify(last?.problem));
  const text = this.readings.map((reading) => reading.text).join('');
  const { prompt, maxTokens } = ownAsk(this);
  assert.equal(checkAnswer(prompt, maxTokens, text), AnswerVerdict.Whole);
});

Then('the tablet gets the same finding', function (this: Scenario) {
  const [first, second] = this.readings;
  assert.equal(second?.text, first?.text);
});

Then('the finding was written once', function (this: Scenario) {
  const { prompt } = ownAsk(this);
  const runs = fleet().engines.reduce((sum, engine) => sum + engine.runsOf(prompt), 0);
  assert.equal(runs, 1);
});

Then('that request is refused with status {int}', function (this: Scenario, status: number) {
  assert.equal(this.readings.at(-1)?.status, status);
});
