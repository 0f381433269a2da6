/** Step definitions that check the time line of events. */
import assert from 'node:assert/strict';
import { type DataTable, Then, When } from '@cucumber/cucumber';
import type { TimelineEvent, UnreachableProcess } from '@cassiamast/coordination';
import { waitFor } from '../fixtures/wait-for.js';
import { scenarioCompletion } from './answers.js';
import { fleet, type Scenario } from './world.js';

async function timeline(...filters: string[]): Promise<{
  readonly events: readonly TimelineEvent[];
  readonly unreachable: readonly UnreachableProcess[];
}> {
  const { json } = await fleet().command('timeline', ...filters);
  return {
    events: (json.events ?? []) as TimelineEvent[],
    unreachable: (json.unreachable ?? []) as UnreachableProcess[],
  };
}

/** Returns whether the kinds occur in this order; other events may occur in between. */
function containsKindsInOrder(events: readonly TimelineEvent[], kinds: readonly string[]): boolean {
  let next = 0;
  for (const { kind } of events) if (kind === kinds[next]) next += 1;
  return next === kinds.length;
}

Then(
  'the time line of the request tells, in this order',
  async function (this: Scenario, table: DataTable) {
    const kinds = table.raw().map(([kind = '']) => kind);
    const { key } = scenarioCompletion(this);
    await waitFor(async () =>
      containsKindsInOrder((await timeline('--request', key)).events, kinds),
    );
  },
);

Then('the time line of the target tells {string}', async function (this: Scenario, kind: string) {
  const target = `inspect-${String(this.engine + 1)}`;
  await waitFor(async () => (await timeline('--target', target, '--kind', kind)).events.length > 0);
});

When('the key-value service is back', function () {
  fleet().keyValue.setFaults({ down: false });
});

Then('the time line tells {string}', async function (kind: string) {
  await waitFor(async () => (await timeline('--kind', kind)).events.length > 0);
});

Then(
  'the time line shows the new version in force at every process',
  async function (this: Scenario) {
    const version = this.versionBefore + 1;
    const { events } = await timeline('--kind', 'configuration-in-force');
    const processes = events
      .filter(({ figures }) => figures?.version === version)
      .map((event) => event.process);
    assert.equal(new Set(processes).size, fleet().entries.length + fleet().sidecars.length);
  },
);

Then(
  'the time line says that it could not reach entry {int}',
  async function (this: Scenario, entry: number) {
    const control = fleet().entries[entry - 1]?.settings.control;
    const id = `${control?.host ?? ''}:${String(control?.port ?? 0)}`;
    const { unreachable } = await timeline();
    assert.ok(
      unreachable.some(({ memberId }) => memberId === id),
      JSON.stringify(unreachable),
    );
  },
);
