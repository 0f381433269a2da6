/** Step definitions for calls of a plain service that must not be repeated. */
import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import { DeathPoint } from '@cassiamast/stand-ins';
import { sendFiling } from '../fixtures/caller.js';
import { fleet, type Scenario } from './world.js';

async function send(scenario: Scenario, entry: number): Promise<void> {
  scenario.receipts.push(await sendFiling(fleet().url(entry), scenario.filing));
}

Given('the filing desk will die while it runs the next filing', function () {
  for (const desk of fleet().desks) desk.setFaults({ dieNext: DeathPoint.During });
});

Given('the key-value service is away', function () {
  fleet().keyValue.setFaults({ down: true });
});

Given('the key-value service will lose its next answer', function () {
  fleet().keyValue.setFaults({ loseAnswers: 1 });
});

When(
  'a developer sends a filing through entry {int}',
  async function (this: Scenario, entry: number) {
    await send(this, entry);
  },
);

When(
  'a developer sends a filing without a key through entry {int}',
  async function (this: Scenario, entry: number) {
    this.receipts.push(await sendFiling(fleet().url(entry), this.filing, false));
  },
);

When(
  'the developer sends the filing again through entry {int}',
  async function (this: Scenario, entry: number) {
    for (const desk of fleet().desks) desk.setFaults({ dieNext: null });
    await send(this, entry);
  },
);

When(
  'a developer sends the same filing through entry {int} and through entry {int}',
  async function (this: Scenario, first: number, second: number) {
    await Promise.all([send(this, first), send(this, second)]);
  },
);

Then('both get the same receipt', function (this: Scenario) {
  const [first, second] = this.receipts;
  assert.equal(first?.status, 200, JSON.stringify(first));
  assert.deepEqual(second, first);
});

Then('the developer gets a receipt', function (this: Scenario) {
  assert.equal(this.receipts.at(-1)?.status, 200, JSON.stringify(this.receipts.at(-1)));
});

Then('the developer is told {string}', function (this: Scenario, runState: string) {
  const receipt = this.receipts.at(-1);
  assert.equal(receipt?.body.runState, runState, JSON.stringify(receipt));
});

Then(/^the filing ran (\d+) times?$/, function (this: Scenario, times: string) {
  const counts = fleet().desks.map((desk) => desk.runs().get(this.filing) ?? 0);
  assert.equal(
    counts.reduce((sum, count) => sum + count, 0),
    Number(times),
  );
});
