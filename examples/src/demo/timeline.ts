/**
 * The time line of a run, read from every daemon before it is stopped: a page of it, and the events
 * of the requests that a person should look at.
 */
import type { ProcessMetrics, ProcessTimeline, Timeline } from '@cassiamast/coordination';
import {
  eventLine,
  matchesFilter,
  MAX_QUERY_EVENTS,
  mergeTimelines,
} from '@cassiamast/coordination';
import type { DeploymentLayout } from '../deployment/layout.js';
import { ProcessKind } from '../deployment/layout.js';
import { DEMO_SECRET } from './processes.js';

/** A fleet without processor time answers late; its story is what explains such a run. */
const READ_TIMEOUT_MS = 20_000;
/** More events of one request than this tell nothing further. */
const MAX_EVENTS_PER_REQUEST = 60;

/** Reads all daemons; one that does not answer is named in the time line. */
export async function readTimeline(layout: DeploymentLayout): Promise<Timeline> {
  const daemons = layout.processes.filter((one) => one.kind !== ProcessKind.StandIns);
  const read = await Promise.allSettled(
    daemons.map((one) => readProcess(controlAddress(one.settings))),
  );
  const processes = read.flatMap((one) => (one.status === 'fulfilled' ? [one.value] : []));
  const unreachable = daemons.flatMap((one, at) => {
    const outcome = read[at];
    if (outcome?.status !== 'rejected') return [];
    return [{ memberId: controlAddress(one.settings), reason: String(outcome.reason) }];
  });
  return mergeTimelines(processes, unreachable);
}

/** The events of one request, a line each. */
export function eventsOf(timeline: Timeline, idempotencyKey: string): readonly string[] {
  return timeline.events
    .filter((event) => matchesFilter({ request: idempotencyKey }, event))
    .slice(0, MAX_EVENTS_PER_REQUEST)
    .map(eventLine);
}

function controlAddress(settings: Readonly<Record<string, unknown>>): string {
  const { host, port } = settings.control as { readonly host: string; readonly port: number };
  return `${host}:${String(port)}`;
}

/** The counters of every daemon, each under its address; one that does not answer is named. */
export async function readMetrics(layout: DeploymentLayout): Promise<string> {
  const daemons = layout.processes.filter((one) => one.kind !== ProcessKind.StandIns);
  const read = await Promise.all(
    daemons.map(async ({ name, settings }) => {
      const address = controlAddress(settings);
      const text = await callProcess<ProcessMetrics>(address, 'metrics.read', undefined).then(
        (metrics) => metrics.prometheusText,
        (error: unknown) => `did not answer: ${String(error)}`,
      );
      return `## ${name} ${address}\n${text}\n`;
    }),
  );
  return read.join('\n');
}

function readProcess(address: string): Promise<ProcessTimeline> {
  return callProcess(address, 'timeline.read', { limit: MAX_QUERY_EVENTS });
}

async function callProcess<Answer>(
  address: string,
  method: string,
  params: unknown,
): Promise<Answer> {
  const response = await fetch(`http://${address}/rpc`, {
    method: 'POST',
    headers: { authorization: `Bearer ${DEMO_SECRET}`, 'content-type': 'application/json' },
    body: JSON.stringify({ jsonrpc: '2.0', id: 1, method, params }),
    signal: AbortSignal.timeout(READ_TIMEOUT_MS),
  });
  const answer = (await response.json()) as { readonly result?: Answer };
  if (answer.result === undefined) throw new RangeError(`${address} refused ${method}`);
  return answer.result;
}
