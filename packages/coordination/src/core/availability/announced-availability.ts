/**
 * Tracks what targets announce in their answers about their own availability, as heard by one
 * gateway: that they are shutting down, or that they want none of its requests for some time. Each
 * target id stands for one start, so an announcement ends with the start that made it. It is kept
 * apart from the fleet view: a gateway that can't read the store still heeds what targets tell it.
 */

/** The target that sent an answer. */
export interface AnnouncingTarget {
  readonly id: string;
  readonly service: string;
}

/** Why a target must not receive requests of this gateway. */
export enum UnavailableReason {
  /** It is shutting down; this never ends. */
  Leaving = 'leaving',
  /** It asked to be sent nothing for some time. */
  BackOff = 'back-off',
}

/** What one target has announced. All times are readings of the gateway's own clock. */
interface Announced {
  readonly service: string;
  isLeaving: boolean;
  backOffUntilMs: number;
  heardAtMs: number;
}

/** Announcements by target id. */
export type AnnouncedAvailability = Map<string, Announced>;

/** Longest back-off that is honored, so that a wrong number does not exclude a target for good. */
export const MAX_BACK_OFF_MS = 600_000;
/** How long the departure of a target is remembered that is not registered any more. */
const LEAVING_RETENTION_MS = 60_000;
/** Bound on tracked targets; far more than leave or back off at once. */
const MAX_TARGETS = 4096;

/** Records that a target is shutting down. Returns whether this is news. */
export function recordLeaving(
  availability: AnnouncedAvailability,
  target: AnnouncingTarget,
  nowMs: number,
): boolean {
  const announced = announcedOf(availability, target, nowMs);
  const isNews = !announced.isLeaving;
  announced.isLeaving = true;
  return isNews;
}

/**
 * Records that a target wants nothing for a time, which counts from the receipt of its answer.
 * Answers to earlier requests may arrive out of order, so a back-off is only ever extended. Returns
 * whether the target was available before.
 */
export function recordBackOff(
  availability: AnnouncedAvailability,
  target: AnnouncingTarget,
  forMs: number,
  nowMs: number,
): boolean {
  const announced = announcedOf(availability, target, nowMs);
  const wasAvailable = unavailableReason(availability, target.id, nowMs) === null;
  const untilMs = nowMs + Math.min(MAX_BACK_OFF_MS, forMs);
  announced.backOffUntilMs = Math.max(announced.backOffUntilMs, untilMs);
  return wasAvailable;
}

/** Returns why a target must not receive requests now, or null if it may. */
export function unavailableReason(
  availability: AnnouncedAvailability,
  id: string,
  nowMs: number,
): UnavailableReason | null {
  const announced = availability.get(id);
  if (announced === undefined) return null;
  if (announced.isLeaving) return UnavailableReason.Leaving;
  return nowMs < announced.backOffUntilMs ? UnavailableReason.BackOff : null;
}

/** Returns the targets of a service that must not receive requests now. */
export function unavailableTargets(
  availability: AnnouncedAvailability,
  service: string,
  nowMs: number,
): readonly string[] {
  return [...availability]
    .filter(([, announced]) => announced.service === service)
    .map(([id]) => id)
    .filter((id) => unavailableReason(availability, id, nowMs) !== null);
}

/**
 * Returns the time in milliseconds until the first of these targets is available: 0 if one is now,
 * and null if all of them are leaving, or if there are none.
 */
export function availableInMs(
  availability: AnnouncedAvailability,
  ids: readonly string[],
  nowMs: number,
): number | null {
  const waitsMs = ids.flatMap((id) => {
    const announced = availability.get(id);
    if (announced === undefined) return 0;
    return announced.isLeaving ? [] : Math.max(0, announced.backOffUntilMs - nowMs);
  });
  return waitsMs.length === 0 ? null : Math.min(...waitsMs);
}

/** Removes what no longer matters: ended back-offs, and departures of unregistered targets. */
export function dropOldAnnouncements(
  availability: AnnouncedAvailability,
  isRegistered: (id: string) => boolean,
  nowMs: number,
): void {
  for (const [id, { isLeaving, backOffUntilMs, heardAtMs }] of availability) {
    const isKept = isLeaving
      ? isRegistered(id) || nowMs - heardAtMs < LEAVING_RETENTION_MS
      : nowMs < backOffUntilMs;
    if (!isKept) availability.delete(id);
  }
}

function announcedOf(
  availability: AnnouncedAvailability,
  { id, service }: AnnouncingTarget,
  nowMs: number,
): Announced {
  const known = availability.get(id);
  const announced = known ?? { service, isLeaving: false, backOffUntilMs: 0, heardAtMs: nowMs };
  announced.heardAtMs = nowMs;
  // Reinserts the target at the end, so that the least recently heard target comes first.
  availability.delete(id);
  availability.set(id, announced);
  const oldest = availability.keys().next().value;
  if (availability.size > MAX_TARGETS && oldest !== undefined) availability.delete(oldest);
  return announced;
}
