/**
 * Counts events by time in a fixed number of equally long slots. The oldest slots are dropped as time
 * goes on, so the memory used does not depend on the number of events.
 */

/** Counts of events in the most recent slots. */
export interface SlotCounts {
  readonly slotMs: number;
  /** Counts by slot number modulo the number of kept slots. */
  readonly counts: Uint32Array;
  newestSlot: number;
}

/** Creates empty counts that keep the current slot and those before it, `slots` in all. */
export function createSlotCounts(slotMs: number, slots: number): SlotCounts {
  return { slotMs, counts: new Uint32Array(slots), newestSlot: -Infinity };
}

/** Returns the number of the slot that contains a time. */
export function slotAt({ slotMs }: Pick<SlotCounts, 'slotMs'>, atMs: number): number {
  return Math.floor(atMs / slotMs);
}

/** Counts one event at the current time. */
export function countEvent(slots: SlotCounts, nowMs: number): void {
  dropExpired(slots, nowMs);
  const index = indexOf(slots, slots.newestSlot);
  slots.counts[index] = (slots.counts[index] ?? 0) + 1;
}

/** Returns the number of events in a slot: 0 if it lies in the future or is no longer kept. */
export function eventsIn(slots: SlotCounts, slot: number): number {
  const { counts, newestSlot } = slots;
  if (slot > newestSlot || slot <= newestSlot - counts.length) return 0;
  return counts[indexOf(slots, slot)] ?? 0;
}

/** Forgets all events. */
export function clearEvents(slots: SlotCounts): void {
  slots.counts.fill(0);
}

/** Empties the slots that have begun since the newest one. */
function dropExpired(slots: SlotCounts, nowMs: number): void {
  const slot = slotAt(slots, nowMs);
  if (slot <= slots.newestSlot) return;
  const begun = Math.min(slots.counts.length, slot - slots.newestSlot);
  slots.newestSlot = slot;
  for (let back = 0; back < begun; back += 1) slots.counts[indexOf(slots, slot - back)] = 0;
}

function indexOf({ counts }: SlotCounts, slot: number): number {
  return ((slot % counts.length) + counts.length) % counts.length;
}
