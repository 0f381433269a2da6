/** The fields of a log line that show what a target announced in an answer. */
import type { TargetAnnouncement } from '@cassiamast/ports';

/** Returns the fields; those that the answer did not announce are left out of the line. */
export function announcementFields({
  limitPerS,
  isLeaving,
  backOffMs,
}: TargetAnnouncement): Readonly<Record<string, unknown>> {
  return {
    limitPerS: limitPerS ?? undefined,
    isLeaving: isLeaving || undefined,
    backOffMs: backOffMs ?? undefined,
  };
}
