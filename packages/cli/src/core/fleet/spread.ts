/**
 * Waits until a version is in force at every process.
 */
import type { Failure, ProcessStatus } from '@cassiamast/coordination';
import { err, ok, type Result } from 'neverthrow';
import { NOT_IN_FORCE } from '../process/failures.js';
import { gather, type Entries, type OnProgress } from './gather.js';
import { ReadMethod, type AskMember } from './member-client.js';

/** Between two rounds of questions. */
const ROUND_MS = 500;

/** What waiting needs. */
export interface SpreadOptions {
  readonly ask: AskMember;
  readonly entries: Entries;
  readonly version: number;
  readonly timeoutMs: number;
  readonly nowMs: () => number;
  readonly sleep: (delayMs: number) => Promise<unknown>;
  readonly onProgress: OnProgress;
}

/** Waits for the version. Gives the number of processes; errors: `not-in-force-everywhere`. */
export async function waitForSpread(options: SpreadOptions): Promise<Result<number, Failure>> {
  const giveUpAtMs = options.nowMs() + options.timeoutMs;
  for (;;) {
    const { behind, total } = await askRound(options);
    options.onProgress(total - behind.length, total);
    if (total > 0 && behind.length === 0) return ok(total);
    if (options.nowMs() >= giveUpAtMs) {
      return err(NOT_IN_FORCE.of({ version: options.version, behind }));
    }
    await options.sleep(ROUND_MS);
  }
}

async function askRound({
  ask,
  entries,
  version,
}: SpreadOptions): Promise<{ readonly behind: readonly string[]; readonly total: number }> {
  const gathered = await gather<ProcessStatus>(
    ask,
    entries,
    ReadMethod.Status,
    { withMembers: false },
    () => undefined,
  );
  if (gathered.isErr()) return { behind: entries, total: entries.length };
  const { answers, unreachable } = gathered.value;
  const older = answers.filter((status) => status.configurationVersion < version);
  const silent = unreachable.filter(({ reason }) => !reason.includes('dead'));
  const behind = [...older, ...silent].map(({ memberId }) => memberId).sort();
  return { behind, total: answers.length + silent.length };
}
