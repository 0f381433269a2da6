/**
 * Load reports of the engine: recorded periodically, returned with a delay, optionally frozen, and
 * numbered from the start again after a crash.
 */

/** Fields of one load report. */
export interface LoadFigures {
  readonly running_requests: number;
  readonly waiting_requests: number;
  readonly waiting_prefill_tokens: number;
  readonly running_context_tokens: number;
  readonly kv_used_tokens: number;
  readonly kv_capacity_tokens: number;
  readonly step_ms: number;
}

interface Report {
  readonly sequence: number;
  readonly epoch: string;
  readonly takenAtMs: number;
  readonly figures: LoadFigures;
}

/** Recorded reports, from the one that is currently returned to the newest. */
export interface LoadReports {
  readonly reports: Report[];
  sequence: number;
  frozen: boolean;
}

/** Creates an empty list of reports. */
export function createLoadReports(): LoadReports {
  return { reports: [], sequence: 0, frozen: false };
}

/** Records a report, unless reports are frozen. */
export function recordReport(
  state: LoadReports,
  epoch: string,
  figures: LoadFigures,
  nowMs: number,
): void {
  if (state.frozen) return;
  state.sequence += 1;
  state.reports.push({ sequence: state.sequence, epoch, takenAtMs: nowMs, figures });
}

/** Returns the newest report that is at least `lagMs` old, or the oldest if none is. */
export function newestVisibleReport(
  state: LoadReports,
  lagMs: number,
  nowMs: number,
): Record<string, unknown> | null {
  while (state.reports.length > 1) {
    const second = state.reports[1];
    if (second === undefined || nowMs - second.takenAtMs < lagMs) break;
    state.reports.shift();
  }
  const visible = state.reports[0];
  if (visible === undefined) return null;
  return { sequence: visible.sequence, epoch: visible.epoch, ...visible.figures };
}
