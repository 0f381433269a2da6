/**
 * Load reports as engines give them: taken now and then, told later, at times frozen or counted
 * from the start again.
 */

/** The figures of one report. */
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

/** Reports taken and not yet superseded by an older one that may be told. */
export interface LoadReports {
  readonly reports: Report[];
  sequence: number;
  frozen: boolean;
}

/** No report yet. */
export function createLoadReports(): LoadReports {
  return { reports: [], sequence: 0, frozen: false };
}

/** Takes a report. */
export function takeReport(
  state: LoadReports,
  epoch: string,
  figures: LoadFigures,
  nowMs: number,
): void {
  if (state.frozen) return;
  state.sequence += 1;
  state.reports.push({ sequence: state.sequence, epoch, takenAtMs: nowMs, figures });
}

/** The newest report that is at least `lagMs` old; the oldest while none is. */
export function reportToTell(
  state: LoadReports,
  lagMs: number,
  nowMs: number,
): Record<string, unknown> | null {
  while (state.reports.length > 1) {
    const second = state.reports[1];
    if (second === undefined || nowMs - second.takenAtMs < lagMs) break;
    state.reports.shift();
  }
  const told = state.reports[0];
  if (told === undefined) return null;
  return { sequence: told.sequence, epoch: told.epoch, ...told.figures };
}
