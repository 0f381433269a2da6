/**
 * Starts the whole fleet of a deployment on this machine, from the stand-ins to serving entries.
 */
import { setTimeout as sleep } from 'node:timers/promises';
import { seededRandom } from '@cassiamast/coordination';
import { createKeyValueClient } from '@cassiamast/ports';
import { reservePortBlock } from '@cassiamast/stand-ins';
import { readDeploymentText, writeLayout } from '../deployment/files.js';
import type { DeploymentLayout } from '../deployment/layout.js';
import { layOutDeployment, ProcessKind } from '../deployment/layout.js';
import type { DemoOptions } from './options.js';
import type { Processes } from './processes.js';
import { createProcesses } from './processes.js';
import type { TextEditor } from './text-editor.js';
import { createTextEditor } from './text-editor.js';

const READY_TIMEOUT_MS = 60_000;
const POLL_MS = 50;

/** A running fleet. */
export interface Fleet {
  readonly layout: DeploymentLayout;
  readonly processes: Processes;
  readonly editor: TextEditor;
  readonly stop: () => Promise<void>;
}

/** Starts a fleet with its settings and logs in a folder; `onProcesses` is told of its processes before the first one starts. */
export async function startFleet(
  options: DemoOptions,
  folder: string,
  note: (event: string) => void,
  onProcesses: (processes: Processes) => void,
): Promise<Fleet> {
  const block = options.basePort === null ? await reservePortBlock() : null;
  const basePort = options.basePort ?? block?.first ?? 0;
  const layout = layOutDeployment(readDeploymentText(options.deployment), basePort);
  writeLayout(layout, folder);
  const processes = createProcesses(layout.processes, folder);
  onProcesses(processes);
  const client = createKeyValueClient({ endpoints: [layout.keyValueUrl] });
  const editor = createTextEditor(client, layout.text, seededRandom(options.seed));
  const stop = async (): Promise<void> => {
    await client.close();
    await processes.stopAll();
    await block?.release();
  };
  const start = (kind: ProcessKind): void => {
    for (const one of layout.processes) if (one.kind === kind) processes.start(one.name);
  };
  try {
    start(ProcessKind.StandIns);
    await waitUntilAnswers([layout.keyValueUrl, ...layout.targets.map((one) => one.backendUrl)]);
    note('the stand-ins run');
    await editor.applyFirst();
    start(ProcessKind.Entry);
    start(ProcessKind.Sidecar);
    await waitUntilHealthy(layout.callerUrls);
    note(`three entries and ${String(layout.targets.length)} sidecars serve`);
    return { layout, processes, editor, stop };
  } catch (error) {
    await stop();
    throw error;
  }
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
