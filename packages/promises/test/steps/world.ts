/** The fleet that all scenarios share, and what one scenario remembers. */
import {
  After,
  AfterAll,
  BeforeAll,
  setDefaultTimeout,
  setWorldConstructor,
  World,
} from '@cucumber/cucumber';
import type { Ask, Reading, Receipt } from '../fixtures/caller.js';
import type { CommandResult } from '../fixtures/command-line.js';
import { type Fleet, type FleetProcess, start, startFleet } from '../fixtures/fleet.js';

/** Only ends a step that hangs. */
const STEP_TIMEOUT_MS = 90_000;

let shared: Fleet | null = null;
let scenarios = 0;

/** The shared fleet. */
export function fleet(): Fleet {
  if (shared === null) throw new RangeError('the fleet is not running');
  return shared;
}

/** What one scenario remembers between its steps. */
export class Scenario extends World {
  /** Sets this scenario's prompts, keys and filings apart from all others'. */
  readonly id = String((scenarios += 1));
  ask: Ask | null = null;
  readings: Reading[] = [];
  receipts: Receipt[] = [];
  filing = `filing-${this.id}`;
  /** Texts as the operators edit them. */
  texts: string[] = [];
  results: CommandResult[] = [];
  versionBefore = 0;
  stopped: FleetProcess | null = null;
  engine = -1;
}

setDefaultTimeout(STEP_TIMEOUT_MS);
setWorldConstructor(Scenario);

BeforeAll(async () => {
  shared = await startFleet();
});

AfterAll(async () => {
  await shared?.stop();
});

After(async function (this: Scenario) {
  fleet().keyValue.setFaults({ down: false, loseAnswers: 0 });
  for (const desk of fleet().desks) desk.setFaults({ dieNext: null });
  if (this.stopped !== null) this.stopped.running = await start(this.stopped.settings);
});
