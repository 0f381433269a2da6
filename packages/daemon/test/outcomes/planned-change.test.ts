/**
 * Tests that planned changes abort no request: graceful shutdown of an entry or a sidecar, withdrawal
 * of a target and edits of the configuration.
 */
import assert from 'node:assert/strict';
import { after, before, describe, it } from 'node:test';
import type { Configuration } from '@cassiamast/coordination';
import { AnswerVerdict, checkAnswer } from '@cassiamast/stand-ins';
import { streamCompletion, requestCompletion } from '../fixtures/callers.js';
import { type Fleet, start, startFleet } from '../fixtures/fleet.js';
import { waitFor } from '../fixtures/wait-for.js';

const LONG = 150;
const SHORT = 6;

function withdraw(configuration: Configuration, name: string): Configuration {
  const services = configuration.services.map((service) => ({
    ...service,
    targets: service.targets.map((target) =>
      target.name === name ? { ...target, withdrawn: true } : target,
    ),
  }));
  return { ...configuration, services };
}

function remove(configuration: Configuration, name: string): Configuration {
  const services = configuration.services.map((service) => ({
    ...service,
    targets: service.targets.filter((target) => target.name !== name),
  }));
  return { ...configuration, services };
}

describe('planned change', () => {
  let fleet: Fleet;

  before(async () => {
    fleet = await startFleet({ entries: 2, engines: 3, engine: { stepBaseMs: 5 } });
  });
  after(() => fleet.stop());

  // The VM of an entry is replaced while the entry streams answers to callers.
  it('lets an entry that shuts down finish its answers in flight', async () => {
    const prompt = 'Finding while the entry shuts down';
    const answer = streamCompletion({ url: fleet.url(1), prompt, maxTokens: LONG });
    await waitFor(() => answer.text.length > 50);
    const entry = fleet.entries[1];
    assert.ok(entry !== undefined);
    await Promise.all([entry.running.stop(), answer.closed]);
    assert.equal(answer.done, true);
    assert.equal(checkAnswer(prompt, LONG, answer.text), AnswerVerdict.Whole);
    entry.running = await start(entry.settings);
  });

  // The sidecar of an engine is updated while the engine decodes.
  it('lets a sidecar that shuts down finish its attempts', async () => {
    const prompt = 'Finding while the sidecar shuts down';
    const answer = streamCompletion({ url: fleet.url(0), prompt, maxTokens: LONG });
    await waitFor(() => answer.text.length > 50);
    const index = fleet.engines.findIndex((engine) => engine.runsOf(prompt) > 0);
    const sidecar = fleet.sidecars[index];
    assert.ok(sidecar !== undefined);
    await Promise.all([sidecar.running.stop(), answer.closed]);
    assert.equal(answer.done, true, JSON.stringify(answer.problem));
    assert.equal(checkAnswer(prompt, LONG, answer.text), AnswerVerdict.Whole);
    sidecar.running = await start(sidecar.settings);
  });

  // An operator withdraws a target in the configuration: its running requests finish, and it gets no
  // new ones.
  it('gives a withdrawn target no new work and aborts none', async () => {
    const prompt = 'Finding while its target is withdrawn';
    const answer = streamCompletion({ url: fleet.url(0), prompt, maxTokens: LONG });
    await waitFor(() => answer.text.length > 50);
    const index = fleet.engines.findIndex((engine) => engine.runsOf(prompt) > 0);
    const before = fleet.configuration();
    await fleet.apply(withdraw(before, `inspect-${String(index)}`));
    await answer.closed;
    assert.equal(answer.done, true, JSON.stringify(answer.problem));
    await waitFor(async () => {
      const probe = `probe ${String(Math.floor(performance.now()))}`;
      await requestCompletion({ url: fleet.url(0), prompt: probe, maxTokens: SHORT });
      return fleet.engines[index]?.runsOf(probe) === 0;
    });
    for (let request = 0; request < 20; request += 1) {
      const prompt = `after withdrawal ${String(request)}`;
      const whole = await requestCompletion({ url: fleet.url(0), prompt, maxTokens: SHORT });
      assert.equal(whole.status, 200);
      assert.equal(fleet.engines[index]?.runsOf(prompt), 0);
    }
    await fleet.apply(before);
  });

  // Removing a target from the configuration must not abort its running requests. An aborted request
  // would also be counted as a crash.
  it('lets the requests of a target finish after its removal from the configuration', async () => {
    const prompt = 'Finding while its target is taken out of the text';
    const answer = streamCompletion({ url: fleet.url(0), prompt, maxTokens: LONG });
    await waitFor(() => answer.text.length > 50);
    const index = fleet.engines.findIndex((engine) => engine.runsOf(prompt) > 0);
    const before = fleet.configuration();
    await fleet.apply(remove(before, `inspect-${String(index)}`));
    await answer.closed;
    assert.equal(answer.done, true, JSON.stringify(answer.problem));
    assert.equal(checkAnswer(prompt, LONG, answer.text), AnswerVerdict.Whole);
    const runs = fleet.engines.reduce((sum, engine) => sum + engine.runsOf(prompt), 0);
    assert.equal(runs, 1);
    await fleet.apply(before);
  });
});
