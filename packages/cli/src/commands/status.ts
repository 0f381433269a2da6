/** `cassiamast status`: prints the state of every process, service and target. */
import type { ProcessStatus } from '@cassiamast/coordination';
import { fleetView } from '../core/fleet/fleet-view.js';
import { gather } from '../core/fleet/gather.js';
import { ReadMethod } from '../core/fleet/member-client.js';
import { statusLines } from '../core/fleet/render.js';
import { ENTRY_FLAGS, unwrapOrThrow, OperatorCommand } from '../core/process/command.js';
import { ExitCode } from '../core/process/exit-code.js';

export default class Status extends OperatorCommand {
  static override description = 'Ask every process how it stands.';
  static override flags = ENTRY_FLAGS;

  async run(): Promise<object> {
    const { flags } = await this.parse(Status);
    const { callMember, entries } = await this.openFleet(flags);
    const onProgress = this.progress('Asking the processes');
    const { answers, members, unreachable } = unwrapOrThrow(
      await gather<ProcessStatus>(
        callMember,
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
