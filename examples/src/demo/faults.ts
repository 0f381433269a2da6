/**
 * The faults of `--faults`, each at its place in the run: edits that race, an entry and a sidecar
 * that die and come back, a sidecar that is paused past its lease, an engine that crashes in
 * mid-answer, an outage of the key-value service, and a target that the operators withdraw.
 */
import { setTimeout as sleep } from 'node:timers/promises';
import { TargetKind } from '@cassiamast/coordination';
import type { DeploymentLayout, PlacedTarget } from '../deployment/layout.js';
import { ProcessKind } from '../deployment/layout.js';
import type { Processes } from './processes.js';

/** Down times; each is longer than what it is meant to outlast. */
const RESTART_AFTER_MS = 1_000;
const PAUSE_MS = 4_000;
const OUTAGE_MS = 2_500;

/** What the faults act on. */
export interface FaultContext {
  readonly layout: DeploymentLayout;
  readonly processes: Processes;
  readonly durationMs: number;
  /** Applies two edits of one base at once; gives how many were accepted. */
  readonly raceEdits: () => Promise<number>;
  readonly withdraw: (target: string) => Promise<void>;
  readonly note: (event: string) => void;
}

interface Fault {
  /** Share of the run at which it begins. */
  readonly at: number;
  readonly bring: (context: FaultContext) => Promise<void>;
}

const FAULTS: readonly Fault[] = [
  { at: 0.08, bring: raceEdits },
  { at: 0.15, bring: killEntry },
  { at: 0.25, bring: crashEngine },
  { at: 0.35, bring: killSidecar },
  { at: 0.4, bring: pauseSidecar },
  { at: 0.5, bring: keyValueOutage },
  { at: 0.85, bring: withdrawTarget },
];

/** Brings all faults; resolves when the last one is over. */
export async function bringFaults(context: FaultContext): Promise<void> {
  await Promise.all(
    FAULTS.map(async (fault) => {
      await sleep(fault.at * context.durationMs);
      await fault.bring(context);
    }),
  );
}

async function raceEdits(context: FaultContext): Promise<void> {
  const accepted = await context.raceEdits();
  context.note(`two edits from one version at once: ${String(accepted)} accepted`);
}

async function killEntry(context: FaultContext): Promise<void> {
  const entries = context.layout.processes.filter((one) => one.kind === ProcessKind.Entry);
  await killAndRestart(context, entries[1]?.name ?? '');
}

async function killSidecar(context: FaultContext): Promise<void> {
  await killAndRestart(context, sidecarOf(engine(context, 2)));
}

async function killAndRestart(context: FaultContext, name: string): Promise<void> {
  context.processes.kill(name);
  context.note(`killed ${name}`);
  await sleep(RESTART_AFTER_MS);
  context.processes.start(name);
  context.note(`started ${name} again`);
}

async function pauseSidecar(context: FaultContext): Promise<void> {
  const name = sidecarOf(engine(context, 4));
  context.processes.pause(name);
  context.note(`paused ${name}`);
  await sleep(PAUSE_MS);
  context.processes.resume(name);
  context.note(`resumed ${name}`);
}

/** Crashes an engine that is in the middle of an answer, as its load report has it. */
async function crashEngine(context: FaultContext): Promise<void> {
  const engines = enginesOf(context);
  const loads = await Promise.all(engines.map(runningRequests));
  const busiest = loads.indexOf(Math.max(...loads));
  const target = engines[busiest] ?? engine(context, 0);
  await post(`${target.backendUrl}/faults`, { crash: true });
  context.note(`crashed the engine of ${target.spec.name} with ${String(loads[busiest])} requests`);
}

async function runningRequests(target: PlacedTarget): Promise<number> {
  const response = await fetch(`${target.backendUrl}/load`);
  const load = (await response.json()) as { readonly running_requests?: number };
  return load.running_requests ?? 0;
}

async function keyValueOutage(context: FaultContext): Promise<void> {
  const url = `${context.layout.keyValueUrl}/faults`;
  await post(url, { down: true });
  context.note('took the key-value service away');
  await sleep(OUTAGE_MS);
  await post(url, { down: false });
  context.note('the key-value service is back');
}

async function withdrawTarget(context: FaultContext): Promise<void> {
  const { name } = engine(context, 5).spec;
  await context.withdraw(name);
  context.note(`withdrew ${name}`);
}

function enginesOf(context: FaultContext): readonly PlacedTarget[] {
  return context.layout.targets.filter((target) => target.kind === TargetKind.ModelEngine);
}

function engine(context: FaultContext, index: number): PlacedTarget {
  const found = enginesOf(context)[index];
  if (found === undefined) throw new RangeError(`there is no engine ${String(index)}`);
  return found;
}

function sidecarOf(target: PlacedTarget): string {
  return `sidecar-${target.spec.name}`;
}

async function post(url: string, body: unknown): Promise<void> {
  const response = await fetch(url, { method: 'POST', body: JSON.stringify(body) });
  await response.text();
}
