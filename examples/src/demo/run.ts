/**
 * One run of the demo from start to end: start the fleet, play the callers, bring the faults, check
 * what came of it, write the pages, stop everything.
 */
import { setTimeout as sleep } from 'node:timers/promises';
import type { GoalsSpec } from '@cassiamast/coordination';
import { timelinePage } from '@cassiamast/coordination';
import type { DeploymentLayout } from '../deployment/layout.js';
import { promptSource } from '../prompts/prompts.js';
import type { CallerContext } from './context.js';
import { closeConnections } from './exchange.js';
import { bringFaults } from './faults.js';
import type { Fleet } from './fleet.js';
import { startFleet } from './fleet.js';
import { callModel } from './model-caller.js';
import type { DemoOptions } from './options.js';
import { createOracle } from './oracle.js';
import { callPlainService, countDoubledCalls } from './plain-caller.js';
import type { Processes } from './processes.js';
import { createProgress } from './progress.js';
import { reportPage } from './report.js';
import type { RunFolder } from './run-folder.js';
import { createRunFolder } from './run-folder.js';
import { createStories, mergeStory } from './stories.js';
import type { DemoResult } from './tally.js';
import { createTally, remark, resultOf } from './tally.js';
import { eventsOf, readMetrics, readTimeline } from './timeline.js';
import type { Workload } from './workload.js';
import { planWorkload } from './workload.js';

/**
 * How long callers go on trying after the last request was sent. Answers are wanted however late, so
 * a late one is not a lost one: lateness shows in the latencies and the goodput.
 */
const GRACE_MS = 60_000;
const MS_PER_S = 1_000;

/** Plays a run. `onProcesses` is told of the processes before the first one starts. */
export async function runDemo(
  options: DemoOptions,
  onProcesses: (processes: Processes) => void,
): Promise<DemoResult> {
  const nowMs = (): number => performance.now();
  const startMs = nowMs();
  const progress = createProgress(options.json, nowMs);
  const events: string[] = [];
  const note = (event: string): void => {
    events.push(`${((nowMs() - startMs) / MS_PER_S).toFixed(1)} s: ${event}`);
    progress.note(event);
  };
  const folder = createRunFolder(options);
  progress.note(`the run's files: ${folder.path}`);
  const stopLoad = folder.followLoad();
  const fleet = await startFleet(options, folder.processes, note, onProcesses);
  try {
    const source = promptSource(options.deployment);
    const durationMs = options.durationS * MS_PER_S;
    const workload = planWorkload(source, { ...options, durationMs });
    const context = callerContext(fleet.layout, source, nowMs, durationMs);
    const planned = workload.prompts.length + workload.calls.length;
    const stopFollowing = progress.follow(context.tally, planned);
    const faults = options.faults ? playFaults(fleet, durationMs, note) : Promise.resolve();
    await Promise.all([playCallers(context, workload), faults]);
    stopFollowing();
    return await finish({ options, folder, fleet, context, workload, events });
  } finally {
    stopLoad();
    await closeConnections();
    await fleet.stop();
  }
}

function callerContext(
  layout: DeploymentLayout,
  source: { readonly model: string; readonly plainService: string },
  nowMs: () => number,
  durationMs: number,
): CallerContext {
  return {
    entries: layout.callerUrls,
    model: source.model,
    plainService: source.plainService,
    modelGoals: goalsOf(layout, (service) => service.models.length > 0),
    plainGoals: goalsOf(layout, (service) => service.name === source.plainService),
    oracle: createOracle(layout.targets),
    tally: createTally(),
    stories: createStories(Date.now),
    nowMs,
    giveUpAtMs: nowMs() + durationMs + GRACE_MS,
  };
}

async function playCallers(context: CallerContext, workload: Workload): Promise<void> {
  await Promise.all([
    ...workload.prompts.map(async (plan) => {
      await sleep(plan.atMs);
      await callModel(context, plan);
    }),
    ...workload.calls.map(async (plan) => {
      await sleep(plan.atMs);
      await callPlainService(context, plan);
    }),
  ]);
}

function playFaults(
  fleet: Fleet,
  durationMs: number,
  note: (event: string) => void,
): Promise<void> {
  const { layout, processes, editor } = fleet;
  const { raceEdits, withdraw } = editor;
  return bringFaults({ layout, processes, durationMs, note, raceEdits, withdraw });
}

/** A run whose callers have all ended. */
interface PlayedRun {
  readonly options: DemoOptions;
  readonly folder: RunFolder;
  readonly fleet: Fleet;
  readonly context: CallerContext;
  readonly workload: Workload;
  readonly events: readonly string[];
}

async function finish(run: PlayedRun): Promise<DemoResult> {
  const { options, folder, fleet, context, workload, events } = run;
  const { tally, oracle } = context;
  await countDoubledCalls(context, workload.calls);
  for (const name of fleet.processes.endedByThemselves()) {
    remark(tally, `${name} ended by itself`);
  }
  const durationMs = options.durationS * MS_PER_S;
  const result = resultOf(tally, durationMs, await oracle.roleChanges());
  const timeline = await readTimeline(fleet.layout);
  const stories = new Map(
    [...tally.remarkedKeys].map((key) => [
      key,
      mergeStory(context.stories.of(key), eventsOf(timeline, key)),
    ]),
  );
  folder.write('report.html', reportPage({ options, result, tally, events, stories }));
  folder.write('timeline.html', timelinePage(timeline));
  folder.write('result.json', `${JSON.stringify({ result, remarks: tally.remarks }, null, 2)}\n`);
  folder.write('metrics.txt', await readMetrics(fleet.layout));
  return result;
}

function goalsOf(
  layout: DeploymentLayout,
  isMeant: (service: DeploymentLayout['configuration']['services'][number]) => boolean,
): GoalsSpec {
  const service = layout.configuration.services.find(isMeant);
  if (service === undefined) throw new RangeError('the deployment has no such service');
  return service.goals;
}
