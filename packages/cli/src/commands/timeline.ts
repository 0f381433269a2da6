/** `cassiamast timeline`: prints the events of all processes in causal order. */
import { Flags } from '@oclif/core';
import {
  EventKind,
  MAX_QUERY_EVENTS,
  mergeTimelines,
  type ProcessTimeline,
  type TimelineQuery,
} from '@cassiamast/coordination';
import { TIMELINE_WRITERS, TimelineFormat } from '../core/fleet/formats.js';
import { gather } from '../core/fleet/gather.js';
import { ReadMethod } from '../core/fleet/member-client.js';
import { ENTRY_FLAGS, unwrapOrThrow, OperatorCommand } from '../core/process/command.js';
import { ExitCode } from '../core/process/exit-code.js';

export default class Timeline extends OperatorCommand {
  static override description =
    'Gather the time line of all processes; --request tells one request’s whole story.';
  static override flags = {
    ...ENTRY_FLAGS,
    request: Flags.string({ description: 'idempotency key of a request' }),
    workspace: Flags.string({ description: 'only events of this workspace' }),
    service: Flags.string({ description: 'only events of this service' }),
    target: Flags.string({ description: 'only events of this target' }),
    kind: Flags.option({
      options: Object.values(EventKind),
      description: 'only events of this kind; may be repeated',
      multiple: true,
    })(),
    limit: Flags.integer({
      description: 'the latest so many events of each process',
      default: MAX_QUERY_EVENTS,
      min: 1,
      max: MAX_QUERY_EVENTS,
    }),
    format: Flags.option({
      options: Object.values(TimelineFormat),
      default: TimelineFormat.Text,
      description: 'text, json, trace (for trace viewers) or html (a page)',
    })(),
    output: Flags.string({ char: 'o', description: 'write to this file instead' }),
  };

  async run(): Promise<object> {
    const { flags } = await this.parse(Timeline);
    const { callMember, entries } = await this.openFleet(flags);
    const query: TimelineQuery = {
      request: flags.request,
      workspace: flags.workspace,
      service: flags.service,
      target: flags.target,
      kinds: flags.kind,
      limit: flags.limit,
    };
    const onProgress = this.progress('Asking the processes');
    const { answers, unreachable } = unwrapOrThrow(
      await gather<ProcessTimeline>(callMember, entries, ReadMethod.Timeline, query, onProgress),
    );
    const timeline = mergeTimelines(answers, unreachable);
    const written = TIMELINE_WRITERS[flags.format](timeline);
    if (flags.output === undefined) this.log('%s', written.trimEnd());
    else await this.writeText(flags.output, written);
    if (unreachable.length > 0) this.endWith(ExitCode.Partial);
    return timeline;
  }
}
