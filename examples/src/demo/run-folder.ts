/**
 * The folder of one run: what was played on which sources, the machine's load while it ran, the
 * processes' logs and counters, and the pages. No run writes over another's, so that a failure that
 * shows once can still be read when the next run is over.
 */
import { execFileSync } from 'node:child_process';
import { appendFileSync, mkdirSync, writeFileSync } from 'node:fs';
import { loadavg } from 'node:os';
import { join } from 'node:path';
import { ROOT } from '../deployment/files.js';
import type { DemoOptions } from './options.js';

const LOAD_EVERY_MS = 1_000;
const MS_PER_S = 1_000;

/** The files of one run. */
export interface RunFolder {
  readonly path: string;
  /** Folder of the processes' settings and logs. */
  readonly processes: string;
  readonly write: (name: string, text: string) => void;
  /** Notes the machine's load every second until the given function is called. */
  readonly followLoad: () => () => void;
}

/** Makes the folder, named after the time, the deployment and the seed, and says what is played. */
export function createRunFolder(options: DemoOptions): RunFolder {
  const startedAt = new Date().toISOString();
  const stamp = startedAt.replace(/[:.]/g, '-');
  const name = `${stamp}-${options.deployment}-seed-${String(options.seed)}-${String(process.pid)}`;
  const path = join(ROOT, 'reports', 'demo', name);
  mkdirSync(path, { recursive: true });
  const write = (file: string, text: string): void => {
    writeFileSync(join(path, file), text);
  };
  write('run.json', `${JSON.stringify({ startedAt, commit: commitOf(), ...options }, null, 2)}\n`);
  return {
    path,
    processes: join(path, 'processes'),
    write,
    followLoad: () => followLoad(join(path, 'load.csv')),
  };
}

/** The commit of the sources, with a mark where they were changed; empty outside a checkout. */
function commitOf(): string {
  try {
    return execFileSync('git', ['describe', '--always', '--dirty'], { cwd: ROOT, stdio: 'pipe' })
      .toString()
      .trim();
  } catch {
    // A copy without its history: the page says so by an empty field.
    return '';
  }
}

/**
 * One line a second: the machine's load, and how late this process's own timer fired. A caller
 * without processor time sees late answers that no entry made late.
 */
function followLoad(file: string): () => void {
  const startMs = performance.now();
  let dueAtMs = startMs;
  appendFileSync(file, 'elapsed_s,load_1min,timer_late_ms\n');
  const timer = setInterval(() => {
    const nowMs = performance.now();
    dueAtMs += LOAD_EVERY_MS;
    const lateMs = Math.max(0, Math.round(nowMs - dueAtMs));
    dueAtMs = Math.max(dueAtMs, nowMs - LOAD_EVERY_MS);
    const elapsedS = Math.round((nowMs - startMs) / MS_PER_S);
    appendFileSync(file, `${String(elapsedS)},${String(loadavg()[0])},${String(lateMs)}\n`);
  }, LOAD_EVERY_MS);
  return () => {
    clearInterval(timer);
  };
}
