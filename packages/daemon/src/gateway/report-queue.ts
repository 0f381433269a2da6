/**
 * Batches the reports to the scheduling gateway. A request produces three reports, and a separate
 * call for each would cost both sides as much CPU time as the request for an engine. A request for
 * an engine also carries the reports that are queued for the same scheduler.
 */
import { type JobEvent, JobEventKind } from '@cassiamast/coordination';

/**
 * How long a report waits for others. The report of a finished prefill may be delayed this long
 * because an engine has more prefill work queued than that.
 */
const BATCH_DELAY_MS = 15;
/** Maximum reports queued for one scheduler; a gateway produces far fewer in that time. */
const MAX_QUEUED_REPORTS = 256;

/** Reports that are sent immediately, so that no more work is assigned to a failed target. */
const URGENT_KINDS: ReadonlySet<JobEventKind> = new Set([JobEventKind.Failed, JobEventKind.Broke]);

/** Sends a batch of reports of one service to one scheduler. */
export type SendReports = (
  schedulerId: string,
  service: string,
  events: readonly JobEvent[],
) => void;

/** Queues reports by scheduler and service. */
export interface ReportQueue {
  readonly put: (schedulerId: string, service: string, event: JobEvent) => void;
  /** Removes and returns the queued reports for a scheduler, to be sent with another call. */
  readonly take: (schedulerId: string, service: string) => readonly JobEvent[];
  /** Sends all queued reports. */
  readonly flushAll: () => void;
}

/** Creates an empty queue. */
export function createReportQueue(send: SendReports): ReportQueue {
  const batches = new Map<
    string,
    {
      readonly schedulerId: string;
      readonly service: string;
      readonly events: JobEvent[];
      readonly timer: NodeJS.Timeout;
    }
  >();

  function take(schedulerId: string, service: string): readonly JobEvent[] {
    const key = keyOf(schedulerId, service);
    const batch = batches.get(key);
    if (batch === undefined) return [];
    batches.delete(key);
    clearTimeout(batch.timer);
    return batch.events;
  }

  function flush(schedulerId: string, service: string): void {
    const events = take(schedulerId, service);
    if (events.length > 0) send(schedulerId, service, events);
  }

  return {
    take,
    flushAll: () => {
      for (const { schedulerId, service } of [...batches.values()]) flush(schedulerId, service);
    },
    put: (schedulerId, service, event) => {
      const key = keyOf(schedulerId, service);
      const batch = batches.get(key) ?? {
        schedulerId,
        service,
        events: [],
        timer: setTimeout(() => {
          flush(schedulerId, service);
        }, BATCH_DELAY_MS),
      };
      batches.set(key, batch);
      batch.events.push(event);
      if (URGENT_KINDS.has(event.kind) || batch.events.length >= MAX_QUEUED_REPORTS)
        flush(schedulerId, service);
    },
  };
}

function keyOf(schedulerId: string, service: string): string {
  return `${schedulerId}/${service}`;
}
