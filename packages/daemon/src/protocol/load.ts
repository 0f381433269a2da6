/**
 * Encodes and decodes load reports for datagrams. Fields are positional, because a field's name
 * would take more bytes than its value. A report contains its own age, so that the clocks of sender
 * and receiver are never compared.
 */
import { EngineRole, type LoadReport } from '@cassiamast/coordination';

/** A load report before it is sent; `ageMs` is measured on the sender's clock. */
export type SentLoadReport = Omit<LoadReport, 'atMs'> & {
  readonly ageMs: number;
  readonly missing: MissingLoad | null;
};

/** First wanted model or adapter that the target's engine has not loaded. */
export interface MissingLoad {
  readonly model: string;
  readonly version: string;
  readonly adapter: string | null;
}

/** A decoded load report. */
export interface ReceivedLoad {
  readonly report: LoadReport;
  readonly missing: MissingLoad | null;
}

const ROLES = [EngineRole.Prefill, EngineRole.Decode, EngineRole.Mixed] as const;
const FIELD_COUNT = 14;

/** Encodes a report as a positional array. */
export function encodeLoad(report: SentLoadReport): readonly unknown[] {
  return [
    report.target,
    Math.round(report.ageMs),
    report.sequence,
    report.epoch,
    ROLES.indexOf(report.role),
    report.accepting ? 1 : 0,
    report.runningRequests,
    report.waitingRequests,
    report.waitingPrefillTokens,
    report.runningContextTokens,
    report.kvUsedTokens,
    report.kvCapacityTokens,
    Math.round(report.stepMs),
    report.missing === null
      ? 0
      : [report.missing.model, report.missing.version, report.missing.adapter],
  ];
}

/** Decodes a report received at `nowMs`; returns null if it is malformed. */
export function decodeLoad(params: unknown, nowMs: number): ReceivedLoad | null {
  if (!Array.isArray(params) || params.length !== FIELD_COUNT) return null;
  const [target, ageMs, sequence, epoch, roleIndex, ...rest] = params as unknown[];
  const counts = rest.slice(0, -1);
  const role = typeof roleIndex === 'number' ? ROLES[roleIndex] : undefined;
  if (typeof target !== 'string' || typeof epoch !== 'string' || role === undefined) return null;
  if (typeof ageMs !== 'number' || typeof sequence !== 'number') return null;
  if (!counts.every((count): count is number => typeof count === 'number')) return null;
  const [accepting = 0, running = 0, waiting = 0, waitingPrefill = 0, context = 0] = counts;
  const [, , , , , kvUsed = 0, kvCapacity = 0, stepMs = 0] = counts;
  const report: LoadReport = {
    target,
    atMs: nowMs - ageMs,
    sequence,
    epoch,
    role,
    accepting: accepting === 1,
    runningRequests: running,
    waitingRequests: waiting,
    waitingPrefillTokens: waitingPrefill,
    runningContextTokens: context,
    kvUsedTokens: kvUsed,
    kvCapacityTokens: kvCapacity,
    stepMs,
  };
  return { report, missing: decodeMissing(rest.at(-1)) };
}

function decodeMissing(value: unknown): MissingLoad | null {
  if (!Array.isArray(value)) return null;
  const [model, version, adapter] = value as unknown[];
  if (typeof model !== 'string' || typeof version !== 'string') return null;
  return { model, version, adapter: typeof adapter === 'string' ? adapter : null };
}
