#!/usr/bin/env node
/**
 * `cassiamastd --settings FILE`: runs one process, an entry or a sidecar, until it is told to stop.
 * SIGTERM and SIGINT shut it down gracefully: no new work, running answers end, then it exits.
 */
import './memory-flags.js';
import { parseArgs } from 'node:util';
import { type Failure, FailureError } from '@cassiamast/coordination';
import { consola } from 'consola';
import { loadSettings } from './settings/settings.js';
import { startProcess } from './wiring/start-process.js';
import { stopOnSignals } from './wiring/stop-signals.js';

/** Exit codes, as documented in docs/RUNNING.md. */
enum ExitCode {
  Stopped = 0,
  Failed = 1,
  BadUsage = 2,
}

function fail(failure: Failure, code: ExitCode): never {
  consola.error(`${failure.title}: ${failure.message}\n${failure.hint}`);
  process.exit(code);
}

async function main(): Promise<void> {
  const { values } = parseArgs({ options: { settings: { type: 'string', short: 's' } } });
  if (values.settings === undefined) {
    consola.error('Usage: cassiamastd --settings FILE');
    process.exit(ExitCode.BadUsage);
  }
  const loaded = await loadSettings(values.settings, process.env);
  if (loaded.isErr()) fail(loaded.error, ExitCode.BadUsage);
  const starting = startProcess(loaded.value, (failure) => {
    fail(failure, ExitCode.Failed);
  });
  // Parts that are started first may have work before the last one serves.
  const stop = async (): Promise<void> => (await starting).stop();
  stopOnSignals(process, stop, (wentWell) => {
    process.exit(wentWell ? ExitCode.Stopped : ExitCode.Failed);
  });
  await starting;
}

main().catch((error: unknown) => {
  if (error instanceof FailureError) fail(error.failure, ExitCode.Failed);
  throw error;
});
