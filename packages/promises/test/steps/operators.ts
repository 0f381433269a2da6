/** Step definitions for operators that edit the configuration text. */
import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import { streamCompletion } from '../fixtures/caller.js';
import { fleet, type Scenario } from './world.js';
import { waitFor } from '../fixtures/wait-for.js';

/** Number of requests that must all miss a target to show that it gets no new work. */
const PROBES = 12;
const PROBE_TOKENS = 4;
const CONFLICT_EXIT_CODE = 4;
const INVALID_TEXT_EXIT_CODE = 3;

async function shownText(): Promise<{ text: string; version: number }> {
  const { json } = await fleet().command('show');
  return { text: String(json.text), version: Number(json.version) };
}

/** Replaces the value of a field in the section of one service. */
function withField(text: string, service: string, field: string, value: string): string {
  const start = text.indexOf(`name: ${service}`);
  assert.ok(start >= 0, service);
  const section = text.slice(start);
  const changedSection = section.replace(
    new RegExp(`(\\n {4}${field}: ).*`),
    (_, head: string) => head + value,
  );
  return text.slice(0, start) + changedSection;
}

async function apply(scenario: Scenario, text: string, version: number): Promise<void> {
  scenario.texts.push(text);
  scenario.versionBefore = version;
  const file = fleet().file(text);
  const flags = ['--from-version', String(version), '--wait-s', '30'];
  scenario.results.push(await fleet().command('apply', file, ...flags));
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
    const [baseText = ''] = this.texts;
    await apply(this, withField(baseText, service, 'priority', String(value)), this.versionBefore);
  },
);

When(
  'the second changes the deadline of {word} to {string} and applies the text',
  async function (this: Scenario, service: string, value: string) {
    const [baseText = ''] = this.texts;
    await apply(this, withField(baseText, service, 'deadline', value), this.versionBefore);
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
    assert.equal(result?.code, CONFLICT_EXIT_CODE, JSON.stringify(result?.json));
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
    assert.equal(result?.code, INVALID_TEXT_EXIT_CODE);
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

/** Sends a new request and returns whether the engine ran it. */
async function reachesEngine(engine: number): Promise<boolean> {
  probes += 1;
  const prompt = `Probe ${String(probes)} of the withdrawn target.`;
  const completion = { prompt, maxTokens: PROBE_TOKENS, key: `probe-${String(probes)}` };
  const stream = streamCompletion(fleet().url(1 + (probes % fleet().entries.length)), completion);
  await stream.closed;
  assert.equal(stream.done, true, JSON.stringify(stream.problem));
  return (fleet().engines[engine]?.runsOf(prompt) ?? 0) > 0;
}

Then('the withdrawn target gets no new work', async function (this: Scenario) {
  // `apply --wait-s` returned after all processes applied the edit, so no request may arrive any more.
  for (let probe = 0; probe < PROBES; probe += 1) {
    assert.equal(await reachesEngine(this.engine), false);
  }
});

Then('it gets work again', async function (this: Scenario) {
  await waitFor(() => reachesEngine(this.engine));
});
