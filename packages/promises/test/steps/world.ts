/** Holds the fleet that all scenarios share and the state of each scenario. */
import {
  After,
  AfterAll,
  BeforeAll,
  setDefaultTimeout,
  setWorldConstructor,
  World,
} from '@cucumber/cucumber';
import type { CompletionOptions, CompletionStream, Receipt } from '../fixtures/caller.js';
import type { CommandResult } from '../fixtures/command-line.js';
import { type Fleet, type FleetProcess, start, startFleet } from '../fixtures/fleet.js';

/** Ends a step that hangs. */
const STEP_TIMEOUT_MS = 90_000;

let sharedFleet: Fleet | null = null;
let scenarioCount = 0;

/** Returns the shared fleet. */
export function fleet(): Fleet {
  if (sharedFleet === null) throw new RangeError('the fleet is not running');
  return sharedFleet;
}

/** State that a scenario keeps between its steps. */
export class Scenario extends World {
  /** Makes the prompts, keys and filings of this scenario unique. */
  readonly id = String((scenarioCount += 1));
  completion: CompletionOptions | null = null;
  streams: CompletionStream[] = [];
  receipts: Receipt[] = [];
  filing = `filing-${this.id}`;
  /** Configuration texts in the order in which operators edited them. */
  texts: string[] = [];
  results: CommandResult[] = [];
  versionBefore = 0;
  stopped: FleetProcess | null = null;
  engine = -1;
}

setDefaultTimeout(STEP_TIMEOUT_MS);
setWorldConstructor(Scenario);

BeforeAll(async () => {
  sharedFleet = await startFleet();
});

AfterAll(async () => {
  await sharedFleet?.stop();
});

After(async function (this: Scenario) {
  fleet().keyValue.setFaults({ down: false, loseAnswers: 0 });
  for (const desk of fleet().desks) desk.setFaults({ dieNext: null });
  if (this.stopped !== null) this.stopped.running = await start(this.stopped.settings);
});
