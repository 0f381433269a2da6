/**
 * Counts what each member sends, by kind of message and with headers. Datagrams are counted exactly;
 * a call between members is its JSON-RPC text and an assumed {@link CALL_OVERHEAD_BYTES} of HTTP and
 * TCP headers, which the measurement with real processes replaces.
 */

/** Headers of one call and its answer, over both directions, on a connection that is kept open. */
export const CALL_OVERHEAD_BYTES = 600;

/** Bytes that members sent, by kind, and the highest second of any member. */
export class Traffic {
  private byKind = new Map<string, { bytes: number; messages: number }>();
  private secondOf: Float64Array;
  private bytesOf: Float64Array;
  private peakBytesPerS = 0;
  private sinceMs = 0;

  constructor(private readonly members: number) {
    this.secondOf = new Float64Array(members);
    this.bytesOf = new Float64Array(members);
  }

  /** Starts counting anew. */
  reset(nowMs: number): void {
    this.byKind = new Map();
    this.secondOf = new Float64Array(this.members);
    this.bytesOf = new Float64Array(this.members);
    this.peakBytesPerS = 0;
    this.sinceMs = nowMs;
  }

  /** Counts one message of a member. */
  count(member: number, kind: string, bytes: number, nowMs: number): void {
    const entry = this.byKind.get(kind) ?? { bytes: 0, messages: 0 };
    entry.bytes += bytes;
    entry.messages += 1;
    this.byKind.set(kind, entry);
    const second = Math.floor(nowMs / 1_000);
    if (this.secondOf[member] !== second) {
      this.secondOf[member] = second;
      this.bytesOf[member] = 0;
    }
    const inSecond = (this.bytesOf[member] ?? 0) + bytes;
    this.bytesOf[member] = inSecond;
    this.peakBytesPerS = Math.max(this.peakBytesPerS, inSecond);
  }

  /** Bytes and messages per second and member since the last reset. */
  report(nowMs: number): TrafficReport {
    const memberSeconds = (this.members * (nowMs - this.sinceMs)) / 1_000;
    const kinds: Record<string, { bytesPerS: number; messagesPerS: number }> = {};
    let bytesPerS = 0;
    for (const [kind, { bytes, messages }] of [...this.byKind].sort()) {
      bytesPerS += bytes / memberSeconds;
      kinds[kind] = {
        bytesPerS: round(bytes / memberSeconds),
        messagesPerS: round(messages / memberSeconds),
      };
    }
    return { bytesPerS: round(bytesPerS), peakBytesPerS: this.peakBytesPerS, kinds };
  }
}

/** Traffic per member. */
export interface TrafficReport {
  readonly bytesPerS: number;
  /** The most that any member sent in any one second. */
  readonly peakBytesPerS: number;
  readonly kinds: Readonly<Record<string, { bytesPerS: number; messagesPerS: number }>>;
}

/** Rounds for a report. */
export function round(value: number): number {
  return Math.round(value * 1_000) / 1_000;
}
