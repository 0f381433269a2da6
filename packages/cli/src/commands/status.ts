/** `cassiamast status`: how every process, service and target stands. */
import type { ProcessStatus } from '@cassiamast/coordination';
import { fleetView } from '../core/fleet/fleet-view.js';
import { gather } from '../core/fleet/gather.js';
import { ReadMethod } from '../core/fleet/member-client.js';
import { statusLines } from '../core/fleet/render.js';
import { ENTRY_FLAGS, must, OperatorCommand } from '../core/process/command.js';
import { ExitCode } from '../core/process/exit-code.js';

export default class Status extends OperatorCommand {
  static override description = 'Ask every process how it stands.';
  static override flags = ENTRY_FLAGS;

  async run(): Promise<object> {
    const { flags } = await this.parse(Status);
    const { ask, entries } = await this.openFleet(flags);
    const onProgress = this.progress('Asking the processes');
    const { answers, members, unreachable } = must(
      await gather<ProcessStatus>(
        ask,
        entries,
        ReadMethod.Status,
        { withMembers: false },
        onProgress,
      ),
    );
    const view = fleetView(answers, members, unreachable);
    for (const line of statusLines(view)) this.log('%s', line);
    if (unreachable.length > 0) this.endWith(ExitCode.Partial);
    return { ...view, statuses: answers };
  }
}
