/** Virtual time in whole milliseconds: events run in the order of their time, then of scheduling. */

/** A queue of events by millisecond. */
export class EventQueue {
  nowMs = 0;
  private readonly slots = new Map<number, (() => void)[]>();

  /** Runs something at a later millisecond, at the earliest the next one. */
  at(atMs: number, run: () => void): void {
    const slotMs = Math.max(this.nowMs + 1, Math.ceil(atMs));
    const slot = this.slots.get(slotMs);
    if (slot === undefined) this.slots.set(slotMs, [run]);
    else slot.push(run);
  }

  /** Runs all events up to a time. */
  runUntil(untilMs: number): void {
    while (this.nowMs < untilMs) {
      this.nowMs += 1;
      const slot = this.slots.get(this.nowMs);
      if (slot === undefined) continue;
      this.slots.delete(this.nowMs);
      for (const run of slot) run();
    }
  }
}
