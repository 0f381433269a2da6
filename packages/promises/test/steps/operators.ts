/** Steps of operators, who only edit the text and watch. */
import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import { readStream } from '../fixtures/caller.js';
import { fleet, type Scenario } from './world.js';
import { waitFor } from '../fixtures/wait-for.js';

/** Probes after which "no new work" is believed. */
const PROBES = 12;
const PROBE_TOKENS = 4;
const CONFLICT_CODE = 4;
const TEXT_FAULTY_CODE = 3;

async function shownText(): Promise<{ text: string; version: number }> {
  const { json } = await fleet().command('show');
  return { text: String(json.text), version: Number(json.version) };
}

/** Replaces the value of a field within one service's part of the text. */
function withField(text: string, service: string, field: string, value: string): string {
  const start = text.indexOf(`name: ${service}`);
  assert.ok(start >= 0, service);
  const part = text.slice(start);
  const changed = part.replace(
    new RegExp(`(\\n {4}${field}: ).*`),
    (_, head: string) => head + value,
  );
  return text.slice(0, start) + changed;
}

async function apply(scenario: Scenario, text: string, version: number): Promise<void> {
  scenario.texts.push(text);
  scenario.versionBefore = version;
  const file = fleet().file(text);
  const waiting = ['--from-version', String(version), '--wait-s', '30'];
  scenario.results.push(await fleet().command('apply', file, ...waiting));
}

When(
  'an operator changes the deadline of {word} to {string} and applies the text',
  async function (this: Scenario, service: string, value: string) {
    const { text, version } = await shownText();
    await apply(this, withField(text, service, 'deadline', value), version);
  },
);

Given('two operators edit the version in force', async function (this: Scenario) {
  const { text, version } = await shownText();
  this.texts = [text];
  this.versionBefore = version;
});

When(
  'the first changes the priority of {word} to {int} and applies the text',
  async function (this: Scenario, service: string, value: number) {
    const [seen = ''] = this.texts;
    await apply(this, withField(seen, service, 'priority', String(value)), this.versionBefore);
  },
);

When(
  'the second changes the deadline of {word} to {string} and applies the text',
  async function (this: Scenario, service: string, value: string) {
    const [seen = ''] = this.texts;
    await apply(this, withField(seen, service, 'deadline', value), this.versionBefore);
  },
);

Then('the edit is accepted', function (this: Scenario) {
  const result = this.results.at(-1);
  assert.equal(result?.json.version, this.versionBefore + 1, JSON.stringify(result?.json));
});

Then('it is in force at every process', async function (this: Scenario) {
  const processes = fleet().entries.length + fleet().sidecars.length;
  assert.equal(this.results.at(-1)?.json.inForceAt, processes);
  const { json } = await fleet().command('status');
  const versions = json.versions as { version: number }[];
  assert.deepEqual(
    versions.map(({ version }) => version),
    [this.versionBefore + 1],
  );
});

Then(
  'the second is refused, and is shown that {string} was changed',
  function (this: Scenario, field: string) {
    const result = this.results.at(-1);
    assert.equal(result?.code, CONFLICT_CODE, JSON.stringify(result?.json));
    const { data } = result.json.error as { data: { othersChanged: { field: string }[] } };
    assert.deepEqual(
      data.othersChanged.map((difference) => difference.field),
      [field],
    );
  },
);

Then("the first operator's text is still in force", async function (this: Scenario) {
  const { text, version } = await shownText();
  assert.equal(text, this.texts[1]);
  assert.equal(version, this.versionBefore + 1);
});

Then(
  'the text is refused with a fault {string} at its line',
  function (this: Scenario, name: string) {
    const result = this.results.at(-1);
    assert.equal(result?.code, TEXT_FAULTY_CODE);
    const { data } = result.json.error as { data: { faults: { name: string; line: number }[] } };
    const lines = (this.texts.at(-1) ?? '').split('\n');
    const [fault] = data.faults;
    assert.equal(fault?.name, name);
    assert.match(lines[fault.line - 1] ?? '', /deadline: 20$/);
  },
);

Then('the version in force is the one before', async function (this: Scenario) {
  assert.equal((await shownText()).version, this.versionBefore);
});

Then('applying the same text again gives the same version', async function (this: Scenario) {
  await apply(this, this.texts.at(-1) ?? '', this.versionBefore);
  assert.equal(this.results.at(-1)?.json.version, this.versionBefore + 1);
});

function withdrawnTarget(scenario: Scenario): string {
  return `inspect-${String(scenario.engine + 1)}`;
}

When('an operator withdraws the target that writes it', async function (this: Scenario) {
  const { text, version } = await shownText();
  const name = `{ name: ${withdrawnTarget(this)},`;
  await apply(this, text.replace(name, `${name} withdrawn: true,`), version);
});

When('the operator returns it', async function (this: Scenario) {
  const { text, version } = await shownText();
  await apply(this, text.replace(' withdrawn: true,', ''), version);
});

let probes = 0;

/** Sends a request of its own and tells whether the engine ran it. */
async function reachesEngine(engine: number): Promise<boolean> {
  probes += 1;
  const prompt = `Probe ${String(probes)} of the withdrawn target.`;
  const ask = { prompt, maxTokens: PROBE_TOKENS, key: `probe-${String(probes)}` };
  const reading = readStream(fleet().url(1 + (probes % fleet().entries.length)), ask);
  await reading.closed;
  assert.equal(reading.done, true, JSON.stringify(reading.problem));
  return (fleet().engines[engine]?.runsOf(prompt) ?? 0) > 0;
}

Then('the withdrawn target gets no new work', async function (this: Scenario) {
  // `apply --wait-s` has seen the edit in force everywhere: from here on not one may arrive.
  for (let probe = 0; probe < PROBES; probe += 1) {
    assert.equal(await reachesEngine(this.engine), false);
  }
});

Then('it gets work again', async function (this: Scenario) {
  await waitFor(() => reachesEngine(this.engine));
});
