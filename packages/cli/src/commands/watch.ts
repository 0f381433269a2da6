/** `cassiamast watch`: live view of goodput, token mix, roles, members and configuration versions. */
import { setTimeout as sleep } from 'node:timers/promises';
import { Flags } from '@oclif/core';
import { watchLines } from '../core/fleet/render.js';
import { watchFleet, type Refresh } from '../core/fleet/watch-fleet.js';
import { ENTRY_FLAGS, unwrapOrThrow, OperatorCommand } from '../core/process/command.js';

const MS_PER_S = 1_000;
const DEFAULT_INTERVAL_S = 2;
/** Moves the cursor home and clears the screen. */
const CLEAR_SCREEN = '\u001B[H\u001B[2J';

export default class Watch extends OperatorCommand {
  static override description = 'Watch the fleet; with --json one line of JSON per refresh.';
  static override flags = {
    ...ENTRY_FLAGS,
    'interval-s': Flags.integer({
      description: 'seconds between two refreshes',
      default: DEFAULT_INTERVAL_S,
      min: 1,
    }),
    count: Flags.integer({ description: 'stop after so many refreshes', min: 1 }),
  };

  async run(): Promise<void> {
    const { flags } = await this.parse(Watch);
    const { callMember, entries } = await this.openFleet(flags);
    unwrapOrThrow(
      await watchFleet({
        callMember,
        entries,
        intervalMs: flags['interval-s'] * MS_PER_S,
        count: flags.count ?? Number.POSITIVE_INFINITY,
        nowMs: () => performance.now(),
        wallMs: () => Date.now(),
        sleep: (delayMs) => sleep(delayMs),
        onRefresh: (refresh) => {
          this.#show(refresh);
        },
      }),
    );
  }

  #show(refresh: Refresh): void {
    if (this.jsonEnabled()) {
      // this.log prints nothing under --json. One line per refresh lets a pipe process the output.
      console.log(JSON.stringify(refresh));
      return;
    }
    const time = new Date(refresh.atWallMs).toISOString();
    const start = process.stdout.isTTY ? CLEAR_SCREEN : '';
    this.log('%s', `${start}${time}`);
    for (const line of watchLines(refresh.view, refresh.rates)) this.log('%s', line);
  }
}
