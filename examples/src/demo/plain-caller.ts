/**
 * A caller of the plain service. A call that may not be repeated is sent again with its key when
 * its answer is lost, and must still run at most once; "unknown" is an honest last word for it.
 */
import { setTimeout as sleep } from 'node:timers/promises';
import { CALL_ID_HEADER } from '@cassiamast/stand-ins';
import type { CallerContext } from './context.js';
import { entryFor, retryWaitMs } from './context.js';
import type { Attempt, CallerRequest } from './exchange.js';
import { AttemptEnd, attemptLine, exchangeWhole } from './exchange.js';
import { remark } from './tally.js';
import type { PlannedCall } from './workload.js';

/** Plays one planned call and counts what came of it; runs are counted after the run. */
export async function callPlainService(context: CallerContext, plan: PlannedCall): Promise<void> {
  const { tally } = context;
  tally.started += 1;
  const startMs = context.nowMs();
  let accepted = false;
  let last: Attempt | null = null;
  for (let tries = 0; tries === 0 || context.nowMs() < context.giveUpAtMs; tries++) {
    const sentAtMs = context.nowMs();
    const sent = callerRequest(context, plan, tries);
    last = await exchangeWhole(sent);
    const line = attemptLine(sent.url, last, context.nowMs() - sentAtMs);
    context.stories.note(plan.idempotencyKey, line);
    accepted ||= last.accepted || (last.problem !== null && last.problem.runState !== 'not-run');
    if (last.end === AttemptEnd.Done) break;
    tally.retries += 1;
    if (last.problem?.runState === 'not-run') await checkNotRun(context, plan, last.problem.type);
    if (isLastWord(plan, last)) break;
    await sleep(retryWaitMs(last.problem?.retryAfterMs ?? 0));
  }
  if (accepted) tally.accepted += 1;
  judge(context, plan, last, startMs);
}

/** The refusal of a call that was handed to a target whose answer is lost. */
const OUTCOME_UNKNOWN = 'request-outcome-unknown';

/**
 * "Unknown" is the last word only of a fleet that looked for the call. An entry that takes no work, or
 * whose holders are slow, says it of calls that it could not look for, and asks the caller to come back
 * with the key; a caller who takes that for the last word never learns of an answer that is there.
 */
function isLastWord(plan: PlannedCall, attempt: Attempt): boolean {
  const { problem } = attempt;
  const isUnknown = !plan.call.repeatable && problem?.runState === 'unknown';
  return isUnknown && problem.type.endsWith(OUTCOME_UNKNOWN);
}

function callerRequest(context: CallerContext, plan: PlannedCall, tries: number): CallerRequest {
  const entry = entryFor(context, plan.entry, tries);
  const { method, path, body } = plan.call;
  return {
    url: `${entry}/services/${context.plainService}${path}`,
    method,
    headers: {
      authorization: `Bearer ${plan.apiKey}`,
      'content-type': 'application/json',
      'idempotency-key': `"${plan.idempotencyKey}"`,
      [CALL_ID_HEADER]: plan.idempotencyKey,
    },
    body,
  };
}

async function checkNotRun(context: CallerContext, plan: PlannedCall, type: string): Promise<void> {
  const runs = await context.oracle.callRuns();
  if (!runs.has(plan.idempotencyKey)) return;
  context.tally.falseNotRun += 1;
  remark(
    context.tally,
    `call ${String(plan.id)} ${plan.call.path}: ${type} says not-run, ran`,
    plan.idempotencyKey,
  );
}

function judge(
  context: CallerContext,
  plan: PlannedCall,
  last: Attempt | null,
  startMs: number,
): void {
  const { tally } = context;
  const place = `call ${String(plan.id)} ${plan.call.method} ${plan.call.path}`;
  if (last?.end === AttemptEnd.Done) {
    tally.answered += 1;
    if (isOwnAnswer(plan, last.body)) {
      if (context.nowMs() - startMs <= context.plainGoals.firstTokenMs) tally.good += 1;
      return;
    }
    tally.crossed += 1;
    remark(tally, `${place}: answer to another call`, plan.idempotencyKey);
    return;
  }
  const runState = last?.problem?.runState;
  if (runState === 'not-run') tally.refusedNotRun += 1;
  else if (runState === 'unknown' && !plan.call.repeatable) tally.unknown += 1;
  else tally.lost += 1;
  remark(
    tally,
    `${place}: ${last?.problem?.type ?? 'no answer'} ${runState ?? ''}`,
    plan.idempotencyKey,
  );
}

/** The stand-in answers with what it was sent. */
function isOwnAnswer(plan: PlannedCall, body: string): boolean {
  const answer = JSON.parse(body) as Readonly<Record<string, unknown>>;
  return answer.path === plan.call.path && answer.echo === plan.call.body;
}

/** After the run: every call that may not be repeated must have run at most once. */
export async function countDoubledCalls(
  context: CallerContext,
  calls: readonly PlannedCall[],
): Promise<void> {
  const runs = await context.oracle.callRuns();
  for (const plan of calls) {
    const count = runs.get(plan.idempotencyKey) ?? 0;
    if (plan.call.repeatable || count <= 1) continue;
    context.tally.doubled += 1;
    remark(
      context.tally,
      `call ${String(plan.id)} ${plan.call.path}: ran ${String(count)} times`,
      plan.idempotencyKey,
    );
  }
}
