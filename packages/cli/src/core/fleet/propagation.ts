/**
 * Waits until a configuration version is active at every process.
 */
import type { Failure, ProcessStatus } from '@cassiamast/coordination';
import { err, ok, type Result } from 'neverthrow';
import { NOT_IN_FORCE } from '../process/failures.js';
import { gather, type Entries, type OnProgress } from './gather.js';
import { ReadMethod, type CallMember } from './member-client.js';

const POLL_INTERVAL_MS = 500;

/** Options of {@link waitForPropagation}. */
export interface PropagationOptions {
  readonly callMember: CallMember;
  readonly entries: Entries;
  readonly version: number;
  readonly timeoutMs: number;
  readonly nowMs: () => number;
  readonly sleep: (delayMs: number) => Promise<unknown>;
  readonly onProgress: OnProgress;
}

/**
 * Polls all processes until the version is active everywhere. Returns the number of processes.
 * Errors: `not-in-force-everywhere`, after the timeout.
 */
export async function waitForPropagation(
  options: PropagationOptions,
): Promise<Result<number, Failure>> {
  const deadlineMs = options.nowMs() + options.timeoutMs;
  for (;;) {
    const { behind, total } = await pollVersions(options);
    options.onProgress(total - behind.length, total);
    if (total > 0 && behind.length === 0) return ok(total);
    if (options.nowMs() >= deadlineMs) {
      return err(NOT_IN_FORCE.of({ version: options.version, behind }));
    }
    await options.sleep(POLL_INTERVAL_MS);
  }
}

async function pollVersions({
  callMember,
  entries,
  version,
}: PropagationOptions): Promise<{ readonly behind: readonly string[]; readonly total: number }> {
  const gathered = await gather<ProcessStatus>(
    callMember,
    entries,
    ReadMethod.Status,
    { withMembers: false },
    () => undefined,
  );
  if (gathered.isErr()) return { behind: entries, total: entries.length };
  const { answers, unreachable } = gathered.value;
  const older = answers.filter((status) => status.configurationVersion < version);
  const unresponsive = unreachable.filter(({ reason }) => !reason.includes('dead'));
  const behind = [...older, ...unresponsive].map(({ memberId }) => memberId).sort();
  return { behind, total: answers.length + unresponsive.length };
}
