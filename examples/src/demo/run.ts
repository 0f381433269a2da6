/**
 * One run of the demo from start to end: start the fleet, apply the text, play the callers, bring
 * the faults, check what came of it.
 */
import { join } from 'node:path';
import { setTimeout as sleep } from 'node:timers/promises';
import type { GoalsSpec } from '@cassiamast/coordination';
import { FailureError, seededRandom } from '@cassiamast/coordination';
import { createKeyValueClient } from '@cassiamast/platform';
import { readDeploymentText, ROOT, writeLayout } from '../deployment/files.js';
import type { DeploymentLayout } from '../deployment/layout.js';
import { layOutDeployment, ProcessKind } from '../deployment/layout.js';
import { promptSource } from '../prompts/prompts.js';
import { applyText } from './apply.js';
import type { CallerContext } from './context.js';
import { withDrain, withWithdrawn } from './edits.js';
import { closeConnections } from './exchange.js';
import { bringFaults } from './faults.js';
import { callModel } from './model-caller.js';
import type { DemoOptions } from './options.js';
import { createOracle } from './oracle.js';
import { callPlainService, countDoubledCalls } from './plain-caller.js';
import { findFreeBlock } from './ports.js';
import type { Processes } from './processes.js';
import { createProcesses } from './processes.js';
import { createProgress } from './progress.js';
import { writeReport } from './report.js';
import type { DemoResult } from './tally.js';
import { createTally, remark, resultOf } from './tally.js';
import { planWorkload } from './workload.js';

/** How long callers go on trying after the last request was sent. */
const GRACE_MS = 20_000;
const READY_TIMEOUT_MS = 60_000;
const POLL_MS = 50;

/** Plays a run. `onProcesses` is told of the processes before the first one starts. */
export async function runDemo(
  options: DemoOptions,
  onProcesses: (processes: Processes) => void,
): Promise<DemoResult> {
  const nowMs = (): number => performance.now();
  const progress = createProgress(options.json, nowMs);
  const events: string[] = [];
  const startMs = nowMs();
  const note = (event: string): void => {
    events.push(`${((nowMs() - startMs) / 1_000).toFixed(1)} s: ${event}`);
    progress.note(event);
  };
  const basePort = options.basePort ?? (await findFreeBlock(process.pid));
  const layout = layOutDeployment(readDeploymentText(options.deployment), basePort);
  const folder = join(ROOT, 'reports', 'demo', `${options.deployment}-${String(basePort)}`);
  writeLayout(layout, folder);
  const processes = createProcesses(layout.processes, folder);
  onProcesses(processes);

  const random = seededRandom(options.seed);
  const client = createKeyValueClient({ endpoints: [layout.keyValueUrl] });
  let text = layout.text;
  let version = 0;
  const apply = async (edited: string): Promise<void> => {
    const applied = await applyText(client, edited, version, random);
    if (applied.isErr()) throw new FailureError(applied.error);
    version = applied.value;
    text = edited;
  };
  try {
    startKind(layout, processes, ProcessKind.StandIns);
    await waitUntilAnswers([layout.keyValueUrl, ...layout.targets.map((one) => one.backendUrl)]);
    note('the stand-ins run');
    await apply(text);
    startKind(layout, processes, ProcessKind.Entry);
    startKind(layout, processes, ProcessKind.Sidecar);
    await waitUntilHealthy(layout.callerUrls);
    note(`three entries and ${String(layout.targets.length)} sidecars serve`);

    const durationMs = options.durationS * 1_000;
    const source = promptSource(options.deployment);
    const workload = planWorkload(source, { ...options, durationMs });
    const tally = createTally();
    const oracle = createOracle(layout.targets);
    const playStartMs = nowMs();
    const context: CallerContext = {
      entries: layout.callerUrls,
      model: source.model,
      plainService: source.plainService,
      modelGoals: goalsOf(layout, (service) => service.models.length > 0),
      plainGoals: goalsOf(layout, (service) => service.name === source.plainService),
      oracle,
      tally,
      nowMs,
      giveUpAtMs: playStartMs + durationMs + GRACE_MS,
    };
    const planned = workload.prompts.length + workload.calls.length;
    const stopFollowing = progress.follow(tally, planned);
    const raceEdits = async (): Promise<number> => {
      const edits = ['90 s', '100 s'].map((drain) => withDrain(text, drain));
      const results = await Promise.all(
        edits.map((edited) => applyText(client, edited, version, random)),
      );
      results.forEach((result, at) => {
        if (result.isErr()) return;
        version = result.value;
        text = edits[at] ?? text;
      });
      const accepted = results.filter((result) => result.isOk()).length;
      if (accepted > 1) throw new RangeError('two edits from one version were both accepted');
      return accepted;
    };
    await Promise.all([
      ...workload.prompts.map(async (plan) => {
        await sleep(plan.atMs);
        await callModel(context, plan);
      }),
      ...workload.calls.map(async (plan) => {
        await sleep(plan.atMs);
        await callPlainService(context, plan);
      }),
      options.faults
        ? bringFaults({
            layout,
            processes,
            durationMs,
            note,
            raceEdits,
            withdraw: (target) => apply(withWithdrawn(text, target)),
          })
        : Promise.resolve(),
    ]);
    stopFollowing();
    await countDoubledCalls(context, workload.calls);
    for (const name of processes.endedByThemselves()) remark(tally, `${name} ended by itself`);
    const result = resultOf(tally, durationMs, await oracle.roleChanges());
    const report = join(ROOT, 'reports', 'demo.html');
    writeReport(report, { options, result, tally, events });
    note(`report: reports/demo.html`);
    return result;
  } finally {
    await closeConnections();
    await client.close();
    await processes.stopAll();
  }
}

function startKind(layout: DeploymentLayout, processes: Processes, kind: ProcessKind): void {
  for (const one of layout.processes) if (one.kind === kind) processes.start(one.name);
}

function goalsOf(
  layout: DeploymentLayout,
  isMeant: (service: DeploymentLayout['configuration']['services'][number]) => boolean,
): GoalsSpec {
  const service = layout.configuration.services.find(isMeant);
  if (service === undefined) throw new RangeError('the deployment has no such service');
  return service.goals;
}

function waitUntilAnswers(urls: readonly string[]): Promise<void> {
  return waitFor(async () => {
    await Promise.all(urls.map((url) => fetch(`${url}/counts`).then((answer) => answer.text())));
    return true;
  });
}

function waitUntilHealthy(urls: readonly string[]): Promise<void> {
  return waitFor(async () => {
    const answers = await Promise.all(urls.map((url) => fetch(`${url}/healthz`)));
    return answers.every((answer) => answer.status === 200);
  });
}

async function waitFor(condition: () => Promise<boolean>): Promise<void> {
  const giveUpAtMs = performance.now() + READY_TIMEOUT_MS;
  for (;;) {
    // A process that is still starting refuses connections.
    if (await condition().catch(() => false)) return;
    if (performance.now() > giveUpAtMs) throw new RangeError('the fleet did not start in time');
    await sleep(POLL_MS);
  }
}
