/** A trace: all that happens to one deployment, known before the run and the same for each policy. */

/** One request. */
export interface TraceRequest {
  readonly atMs: number;
  readonly workspace: string;
  readonly promptTokens: number;
  readonly outputTokens: number;
  /** Fingerprints of the prompt's blocks that other prompts share. */
  readonly blocks: readonly string[];
  readonly entry: number;
}

/** What goes wrong, and when. */
export enum FaultKind {
  Crash = 'crash',
  Restart = 'restart',
  /** Leaves for good: no new work, what runs ends. */
  Withdraw = 'withdraw',
  /** Works at a third of its speed. */
  Slow = 'slow',
}

/** One fault of one engine. */
export interface TraceFault {
  readonly atMs: number;
  readonly kind: FaultKind;
  readonly engine: number;
}

/** A span during which the key-value service is away, so that no order can be given. */
export interface Outage {
  readonly fromMs: number;
  readonly toMs: number;
}

/** The trace of one service. */
export interface ServiceTrace {
  readonly service: string;
  readonly engines: number;
  readonly entries: number;
  readonly initialReaders: number;
  readonly durationMs: number;
  readonly requests: readonly TraceRequest[];
  readonly faults: readonly TraceFault[];
  readonly outages: readonly Outage[];
  readonly reportIntervalMs: number;
  readonly reportLagMs: number;
  /** Age of the load that comes with an answer. */
  readonly answerLoadLagMs: number;
  /** True shifts of the mix that last. */
  readonly shifts: number;
  /** The workspace that takes far more than its share, or null. */
  readonly hog: string | null;
}

/** A trace of one deployment. */
export interface Trace {
  readonly name: string;
  readonly services: readonly ServiceTrace[];
}
