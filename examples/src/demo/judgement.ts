/**
 * Judging what callers of the model read: whole or not, whose answer it is, how fast it came.
 */
import { AnswerVerdict, checkAnswer } from '@cassiamast/stand-ins';
import type { CallerContext } from './context.js';
import { quantile, remark } from './tally.js';
import type { PlannedPrompt } from './workload.js';

const GOOD_SHARE = 0.95;

/** What a caller ended with. */
export enum Ending {
  Answered = 'answered',
  RefusedNotRun = 'refused-not-run',
  GaveUp = 'gave-up',
}

/** One reading of an answer, over as many attempts as it took. */
export interface Reading {
  text: string;
  lastEventId: string;
  ending: Ending;
  accepted: boolean;
  firstTextAtMs: number | null;
  lastTextAtMs: number;
  readonly gapsMs: number[];
  attempts: number;
  /** The last refusal or break, in words. */
  lastFailure: string;
}

/** Counts the outcome of all readings of one request. */
export function judge(
  context: CallerContext,
  plan: PlannedPrompt,
  readings: readonly Reading[],
): void {
  const { tally } = context;
  const place = `request ${String(plan.id)} (${plan.manner}, ${plan.prompt.kind})`;
  const answered = readings.filter((reading) => reading.ending === Ending.Answered);
  if (answered.length < readings.length) {
    const refused = readings.every((reading) => reading.ending === Ending.RefusedNotRun);
    if (refused) tally.refusedNotRun += 1;
    else tally.lost += 1;
    const endings = readings.map((one) => `${one.ending} after ${one.lastFailure || 'nothing'}`);
    remark(tally, `${place}: ${endings.join(', ')}`, plan.idempotencyKey);
    if (answered.length === 0) return;
  } else tally.answered += 1;
  const verdicts = answered.map((reading) =>
    checkAnswer(plan.prompt.text, plan.prompt.maxTokens, reading.text),
  );
  if (verdicts.includes(AnswerVerdict.Wrong)) tally.crossed += 1;
  else if (verdicts.includes(AnswerVerdict.TooLong)) tally.doubled += 1;
  else if (verdicts.includes(AnswerVerdict.Cut)) tally.lost += 1;
  else if (new Set(answered.map((reading) => reading.text)).size > 1) tally.doubled += 1;
  else return;
  remark(tally, `${place}: ${verdicts.join(', ')}`, plan.idempotencyKey);
}

/** Latency of the first reading; broken connections count with the time they took. */
export function measure(
  context: CallerContext,
  plan: PlannedPrompt,
  reading: Reading | undefined,
  startMs: number,
): void {
  const { tally, modelGoals } = context;
  if (reading?.ending !== Ending.Answered) return;
  const wholeMs = context.nowMs() - startMs;
  if (reading.firstTextAtMs === null) {
    const allowedMs = modelGoals.firstTokenMs + modelGoals.interTokenMs * plan.prompt.maxTokens;
    if (wholeMs <= allowedMs) tally.good += 1;
    return;
  }
  const ttftMs = reading.firstTextAtMs - startMs;
  tally.ttftMs.push(ttftMs);
  for (const gapMs of reading.gapsMs) tally.gapsMs.push(gapMs);
  const smooth = quantile(reading.gapsMs, GOOD_SHARE) <= modelGoals.interTokenMs;
  if (ttftMs <= modelGoals.firstTokenMs && smooth) tally.good += 1;
}
