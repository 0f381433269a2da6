/**
 * What the run came to, counted as the callers and the oracle saw it.
 */

/** The last line of the demo. */
export interface DemoResult {
  /** Requests that an entry took on. */
  readonly accepted: number;
  /** Requests that got their whole answer. */
  readonly answered: number;
  /** Requests without a whole answer that were not refused as "not run" or "unknown" either. */
  readonly lost: number;
  /** Answers that went on past their end, differed between two readings, or calls run twice. */
  readonly doubled: number;
  /** Answers to another prompt, or changed ones. */
  readonly crossed: number;
  /** Requests whose last word was a refusal that said "not run". */
  readonly refusedNotRun: number;
  /** Refusals that said "not run" of a request that had run. */
  readonly falseNotRun: number;
  /** Calls that may not be repeated whose last word was "unknown". */
  readonly unknown: number;
  readonly roleChanges: number;
  readonly ttftP95Ms: number;
  readonly interTokenP95Ms: number;
  /** Answers a second that kept the latency goals. */
  readonly goodputPerS: number;
}

/** Counts of a run in progress. */
export interface Tally {
  started: number;
  accepted: number;
  answered: number;
  lost: number;
  doubled: number;
  crossed: number;
  refusedNotRun: number;
  falseNotRun: number;
  unknown: number;
  good: number;
  /** Attempts after the first of each request. */
  retries: number;
  readonly ttftMs: number[];
  readonly gapsMs: number[];
  /** What went wrong, in words, for the report; bounded. */
  readonly remarks: string[];
  /** Idempotency keys of the requests that the remarks are about. */
  readonly remarkedKeys: Set<string>;
}

const MAX_REMARKS = 200;
const GOOD_QUANTILE = 0.95;

/** Nothing counted yet. */
export function createTally(): Tally {
  return {
    started: 0,
    accepted: 0,
    answered: 0,
    lost: 0,
    doubled: 0,
    crossed: 0,
    refusedNotRun: 0,
    falseNotRun: 0,
    unknown: 0,
    good: 0,
    retries: 0,
    ttftMs: [],
    gapsMs: [],
    remarks: [],
    remarkedKeys: new Set(),
  };
}

/** Notes what a person should look at. */
export function remark(tally: Tally, text: string, idempotencyKey?: string): void {
  if (tally.remarks.length >= MAX_REMARKS) return;
  tally.remarks.push(text);
  if (idempotencyKey !== undefined) tally.remarkedKeys.add(idempotencyKey);
}

/** The value that a share of the values does not exceed; 0 without values. */
export function quantile(values: readonly number[], share: number): number {
  if (values.length === 0) return 0;
  const sorted = [...values].sort((a, b) => a - b);
  const at = Math.min(sorted.length - 1, Math.ceil(share * sorted.length) - 1);
  return sorted[Math.max(0, at)] ?? 0;
}

/** The final figures. */
export function resultOf(tally: Tally, durationMs: number, roleChanges: number): DemoResult {
  const { accepted, answered, lost, doubled, crossed, refusedNotRun, falseNotRun, unknown } = tally;
  return {
    accepted,
    answered,
    lost,
    doubled,
    crossed,
    refusedNotRun,
    falseNotRun,
    unknown,
    roleChanges,
    ttftP95Ms: rounded(quantile(tally.ttftMs, GOOD_QUANTILE)),
    interTokenP95Ms: rounded(quantile(tally.gapsMs, GOOD_QUANTILE)),
    goodputPerS: rounded(tally.good / (durationMs / 1_000)),
  };
}

/** Whether every promise was kept. */
export function promisesKept(result: DemoResult): boolean {
  const { lost, doubled, crossed, falseNotRun } = result;
  return lost + doubled + crossed + falseNotRun === 0;
}

function rounded(value: number): number {
  return Math.round(value * 100) / 100;
}
