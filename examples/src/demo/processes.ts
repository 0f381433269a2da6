/**
 * The demo's processes: started from their settings files, logged to files, killed, paused and
 * started again on purpose, and all stopped at the end, whatever happened.
 */
import type { ChildProcess } from 'node:child_process';
import { spawn } from 'node:child_process';
import { closeSync, mkdirSync, openSync } from 'node:fs';
import { join } from 'node:path';
import { ROOT, settingsPath } from '../deployment/files.js';
import type { ProcessLayout } from '../deployment/layout.js';
import { ProcessKind } from '../deployment/layout.js';

const STAND_INS = join(ROOT, 'packages', 'stand-ins', 'dist', 'src', 'main.js');
const DAEMON = join(ROOT, 'packages', 'daemon', 'dist', 'src', 'main.js');

/** A process that ignores SIGTERM for longer is killed. */
const STOP_GRACE_MS = 5_000;

/** The secret that the demo's members share; it guards nothing beyond this machine. */
export const DEMO_SECRET = 'only-for-the-demo-on-loopback';

/** The processes of one run. */
export interface Processes {
  readonly start: (name: string) => void;
  /** Loses the process's memory at once. */
  readonly kill: (name: string) => void;
  readonly pause: (name: string) => void;
  readonly resume: (name: string) => void;
  /** Names of processes that ended without being told to. */
  readonly endedByThemselves: () => readonly string[];
  /** Stops all; resolves when none is left. */
  readonly stopAll: () => Promise<void>;
}

/** Makes the table of processes; none is started yet. */
export function createProcesses(layouts: readonly ProcessLayout[], folder: string): Processes {
  const running = new Map<string, ChildProcess>();
  const ended: string[] = [];
  const byName = new Map(layouts.map((layout) => [layout.name, layout]));
  mkdirSync(folder, { recursive: true });

  const find = (name: string): ChildProcess => {
    const child = running.get(name);
    if (child === undefined) throw new RangeError(`${name} is not running`);
    return child;
  };

  return {
    start: (name) => {
      const layout = byName.get(name);
      if (layout === undefined) throw new RangeError(`there is no process ${name}`);
      const child = startProcess(layout, folder);
      running.set(name, child);
      child.once('exit', () => {
        if (running.get(name) !== child) return;
        running.delete(name);
        ended.push(name);
      });
    },
    kill: (name) => {
      const child = find(name);
      running.delete(name);
      child.kill('SIGKILL');
    },
    pause: (name) => {
      find(name).kill('SIGSTOP');
    },
    resume: (name) => {
      find(name).kill('SIGCONT');
    },
    endedByThemselves: () => [...ended],
    stopAll: async () => {
      const children = [...running.values()];
      running.clear();
      await Promise.all(children.map(stopProcess));
    },
  };
}

function startProcess(layout: ProcessLayout, folder: string): ChildProcess {
  const settings = settingsPath(folder, layout.name);
  const log = openSync(join(folder, `${layout.name}.log`), 'a');
  const args =
    layout.kind === ProcessKind.StandIns
      ? [STAND_INS, 'several', '--settings', settings]
      : [DAEMON, '--settings', settings];
  const child = spawn(process.execPath, args, {
    stdio: ['ignore', log, log],
    env: { ...process.env, CASSIAMAST_SECRET: DEMO_SECRET },
  });
  closeSync(log);
  return child;
}

function stopProcess(child: ChildProcess): Promise<void> {
  if (child.exitCode !== null || child.signalCode !== null) return Promise.resolve();
  return new Promise((resolve) => {
    const timer = setTimeout(() => child.kill('SIGKILL'), STOP_GRACE_MS);
    child.once('exit', () => {
      clearTimeout(timer);
      resolve();
    });
    // A paused process takes its SIGTERM only after it goes on.
    child.kill('SIGCONT');
    child.kill('SIGTERM');
  });
}
