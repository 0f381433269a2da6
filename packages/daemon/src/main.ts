#!/usr/bin/env node
/**
 * Command line program `cassiamastd --settings FILE`: runs one process, an entry or a sidecar.
 * SIGTERM and SIGINT shut it down gracefully: it accepts no new work, lets running answers finish and
 * exits.
 */
import './memory-flags.js';
import { parseArgs } from 'node:util';
import { consola } from 'consola';
import { ExitCode, describeFailure, runProcess } from './node/run-process.js';
import { type LoadedSettings, loadSettings } from './settings/settings.js';
import { startProcess } from './wiring/start-process.js';

function report(message: string, done: () => void): void {
  consola.error(message);
  done();
}

function fail(message: string): never {
  consola.error(message);
  process.exit(ExitCode.BadUsage);
}

async function readSettings(): Promise<LoadedSettings> {
  const { values } = parseArgs({ options: { settings: { type: 'string', short: 's' } } });
  if (values.settings === undefined) fail('Usage: cassiamastd --settings FILE');
  const loaded = await loadSettings(values.settings, process.env);
  if (loaded.isErr()) fail(describeFailure(loaded.error));
  return loaded.value;
}

runProcess(process, {
  start: async (onFailure) => startProcess(await readSettings(), onFailure),
  worksWhileStarting: true,
  stopSignals: ['SIGTERM', 'SIGINT'],
  report,
  exit: (code) => process.exit(code),
});
