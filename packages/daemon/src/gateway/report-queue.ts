/**
 * Reports to the gateway that schedules, gathered for a moment: a request gives three of them, each
 * a call of its own would cost both sides as much processor time as the question for an engine. A
 * question takes along what waits for the same scheduler.
 */
import { type JobEvent, JobEventKind } from '@cassiamast/coordination';

/**
 * How long a report waits for others. An engine has reading ahead for longer than that, so the
 * report of a prompt that was read may come as late.
 */
const GATHER_MS = 15;
/** Reports that wait for one scheduler; a gateway makes far fewer in that time. */
const MAX_WAITING = 256;

/** What a scheduler must hear at once, so that no further work goes to a failed target. */
const URGENT: ReadonlySet<JobEventKind> = new Set([JobEventKind.Failed, JobEventKind.Broke]);

/** Sends gathered reports of one service to one scheduler. */
export type SendReports = (
  schedulerId: string,
  service: string,
  events: readonly JobEvent[],
) => void;

/** Reports that wait. */
export interface ReportQueue {
  readonly put: (schedulerId: string, service: string, event: JobEvent) => void;
  /** Takes what waits for a scheduler, to be sent along with something else. */
  readonly take: (schedulerId: string, service: string) => readonly JobEvent[];
  /** Sends all that waits. */
  readonly flushAll: () => void;
}

/** Makes an empty queue. */
export function createReportQueue(send: SendReports): ReportQueue {
  const waiting = new Map<
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
    const batch = waiting.get(key);
    if (batch === undefined) return [];
    waiting.delete(key);
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
      for (const { schedulerId, service } of [...waiting.values()]) flush(schedulerId, service);
    },
    put: (schedulerId, service, event) => {
      const key = keyOf(schedulerId, service);
      const batch = waiting.get(key) ?? {
        schedulerId,
        service,
        events: [],
        timer: setTimeout(() => {
          flush(schedulerId, service);
        }, GATHER_MS),
      };
      waiting.set(key, batch);
      batch.events.push(event);
      if (URGENT.has(event.kind) || batch.events.length >= MAX_WAITING) flush(schedulerId, service);
    },
  };
}

function keyOf(schedulerId: string, service: string): string {
  return `${schedulerId}/${service}`;
}
