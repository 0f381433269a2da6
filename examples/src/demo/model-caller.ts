/**
 * A caller of the model: sends its prompt with an idempotency key and comes back with the same key,
 * through other entries, until it has the whole answer or a refusal that says that it never ran.
 */
import { setTimeout as sleep } from 'node:timers/promises';
import type { CallerContext } from './context.js';
import { entryFor, retryWaitMs } from './context.js';
import type { Attempt, CallerRequest } from './exchange.js';
import { AttemptEnd, attemptLine, exchangeStream, exchangeWhole } from './exchange.js';
import type { Reading } from './judgement.js';
import { Ending, judge, measure } from './judgement.js';
import { Manner } from './workload.js';
import type { PlannedPrompt } from './workload.js';
import { remark } from './tally.js';

/** The refusal of a rerun that made another text: the caller starts over. */
const ANSWER_CHANGED = 'answer-changed';
const COMPLETIONS_PATH = '/v1/completions';

/** Plays one planned request and counts what came of it. */
export async function callModel(context: CallerContext, plan: PlannedPrompt): Promise<void> {
  const { tally } = context;
  tally.started += 1;
  const startMs = context.nowMs();
  const readings =
    plan.manner === Manner.Twice
      ? await Promise.all([read(context, plan, 0), read(context, plan, 1)])
      : [await read(context, plan, 0)];
  if (plan.manner === Manner.Resent && readings[0]?.ending === Ending.Answered) {
    readings.push(await read(context, plan, 1));
  }
  tally.retries += readings.reduce((sum, reading) => sum + reading.attempts - 1, 0);
  if (readings.some((reading) => reading.accepted)) tally.accepted += 1;
  judge(context, plan, readings);
  measure(context, plan, readings[0], startMs);
}

async function read(
  context: CallerContext,
  plan: PlannedPrompt,
  entryOffset: number,
): Promise<Reading> {
  const reading: Reading = {
    text: '',
    lastEventId: '',
    ending: Ending.GaveUp,
    accepted: false,
    firstTextAtMs: null,
    lastTextAtMs: 0,
    gapsMs: [],
    attempts: 0,
    lastFailure: '',
  };
  while (reading.attempts === 0 || context.nowMs() < context.giveUpAtMs) {
    const sentAtMs = context.nowMs();
    const entry = entryFor(context, plan.entry + entryOffset, reading.attempts);
    const attempt = await tryOnce(context, plan, reading, entryOffset);
    const line = attemptLine(entry, attempt, context.nowMs() - sentAtMs);
    context.stories.note(plan.idempotencyKey, line);
    reading.attempts += 1;
    reading.accepted ||= attempt.accepted;
    if (attempt.end === AttemptEnd.Done) {
      reading.ending = Ending.Answered;
      return reading;
    }
    await afterFailure(context, plan, reading, attempt);
  }
  return reading;
}

async function tryOnce(
  context: CallerContext,
  plan: PlannedPrompt,
  reading: Reading,
  entryOffset: number,
): Promise<Attempt> {
  const stream = plan.manner !== Manner.Whole;
  const sent = callerRequest(context, plan, reading, entryOffset, stream);
  if (!stream) {
    const attempt = await exchangeWhole(sent);
    if (attempt.end === AttemptEnd.Done) reading.text = wholeText(attempt.body);
    return attempt;
  }
  let events = 0;
  const breaks = plan.manner === Manner.Broken && reading.attempts === 0;
  return exchangeStream(sent, {
    onText: (text, eventId) => {
      noteText(context, reading, text, eventId);
      events += 1;
      return !(breaks && events >= plan.breakAfterEvents);
    },
  });
}

function callerRequest(
  context: CallerContext,
  plan: PlannedPrompt,
  reading: Reading,
  entryOffset: number,
  stream: boolean,
): CallerRequest {
  const entry = entryFor(context, plan.entry + entryOffset, reading.attempts);
  const headers: Record<string, string> = {
    authorization: `Bearer ${plan.apiKey}`,
    'content-type': 'application/json',
    'idempotency-key': `"${plan.idempotencyKey}"`,
  };
  if (reading.lastEventId !== '') headers['last-event-id'] = reading.lastEventId;
  const { text, maxTokens } = plan.prompt;
  const body = JSON.stringify({
    model: context.model,
    prompt: text,
    max_tokens: maxTokens,
    stream,
  });
  return { url: `${entry}${COMPLETIONS_PATH}`, method: 'POST', headers, body };
}

function wholeText(body: string): string {
  const answer = JSON.parse(body) as { readonly choices?: readonly { readonly text?: string }[] };
  return answer.choices?.[0]?.text ?? '';
}

function noteText(context: CallerContext, reading: Reading, text: string, eventId: string): void {
  const nowMs = context.nowMs();
  if (reading.firstTextAtMs === null) reading.firstTextAtMs = nowMs;
  else reading.gapsMs.push(nowMs - reading.lastTextAtMs);
  reading.lastTextAtMs = nowMs;
  reading.text += text;
  if (eventId !== '') reading.lastEventId = eventId;
}

async function afterFailure(
  context: CallerContext,
  plan: PlannedPrompt,
  reading: Reading,
  attempt: Attempt,
): Promise<void> {
  const { problem } = attempt;
  reading.lastFailure = problem === null ? 'broken' : `${problem.type} ${problem.runState}`;
  if (problem === null) {
    reading.ending = Ending.GaveUp;
    await sleep(retryWaitMs(0));
    return;
  }
  if (problem.type.endsWith(ANSWER_CHANGED)) {
    reading.text = '';
    reading.lastEventId = '';
  }
  const notRun = problem.runState === 'not-run';
  reading.ending = notRun ? Ending.RefusedNotRun : Ending.GaveUp;
  if (!notRun) reading.accepted = true;
  // Two copies sent at once race each other: what one is told can change before it is checked.
  if (notRun && plan.manner !== Manner.Twice) await checkNotRun(context, plan, problem.type);
  await sleep(retryWaitMs(problem.retryAfterMs));
}

async function checkNotRun(
  context: CallerContext,
  plan: PlannedPrompt,
  type: string,
): Promise<void> {
  const runs = await context.oracle.promptRuns(plan.prompt.text);
  if (runs === 0) return;
  context.tally.falseNotRun += 1;
  remark(
    context.tally,
    `request ${String(plan.id)} (${plan.manner}): ${type} says not-run, ran`,
    plan.idempotencyKey,
  );
}
