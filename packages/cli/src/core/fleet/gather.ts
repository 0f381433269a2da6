/**
 * Calls a read method on every member of the fleet with bounded concurrency. The member list comes
 * from the first entry that responds, and members that cannot be reached are listed in the result.
 */
import {
  MemberState,
  type Failure,
  type MemberStatus,
  type ProcessStatus,
  type UnreachableProcess,
} from '@cassiamast/coordination';
import { ok, type Result } from 'neverthrow';
import { ReadMethod, type CallMember } from './member-client.js';

/** Concurrent calls; 1,140 members that respond in 5 ms each take less than a second in total. */
const MAX_CONCURRENT_CALLS = 16;

/** The responses of all members. */
export interface Gathered<Answer> {
  readonly answers: readonly Answer[];
  readonly unreachable: readonly UnreachableProcess[];
  readonly members: readonly MemberStatus[];
}

/** Control addresses of entries; at least one. */
export type Entries = readonly [string, ...string[]];

/** Called after each member has responded or failed. */
export type OnProgress = (done: number, total: number) => void;

/**
 * Returns the members known to the first entry that responds, including the entry itself. Entries
 * are tried in order, because operators often run a command while an entry is down.
 */
export async function readMembers(
  callMember: CallMember,
  entries: Entries,
): Promise<Result<readonly MemberStatus[], Failure>> {
  const [entry, next, ...others] = entries;
  const status = await callMember<ProcessStatus>(entry, ReadMethod.Status, { withMembers: true });
  if (status.isErr() && next !== undefined) return readMembers(callMember, [next, ...others]);
  return status.map((own) => withOwnMember(own));
}

function withOwnMember(own: ProcessStatus): readonly MemberStatus[] {
  const members = own.members ?? [];
  if (members.some(({ id }) => id === own.memberId)) return members;
  const { memberId: id, kind, failureDomain, target } = own;
  return [...members, { id, kind, failureDomain, target, state: MemberState.Alive }];
}

/** Calls all members that an entry lists. Fails only when none of the entries responds. */
export async function gather<Answer>(
  callMember: CallMember,
  entries: Entries,
  method: ReadMethod,
  params: object,
  onProgress: OnProgress,
): Promise<Result<Gathered<Answer>, Failure>> {
  const memberList = await readMembers(callMember, entries);
  if (memberList.isErr())
    return memberList.map(() => ({ answers: [], unreachable: [], members: [] }));
  const members = memberList.value;
  const answers: Answer[] = [];
  const unreachable: UnreachableProcess[] = members
    .filter(({ state }) => state === MemberState.Dead)
    .map(({ id }) => ({ memberId: id, reason: 'the other members hold it dead' }));
  const queue = members.filter(({ state }) => state !== MemberState.Dead);
  const total = queue.length;
  let done = 0;

  async function processQueue(): Promise<void> {
    for (let member = queue.shift(); member !== undefined; member = queue.shift()) {
      const answer = await callMember<Answer>(member.id, method, params);
      if (answer.isOk()) answers.push(answer.value);
      else unreachable.push({ memberId: member.id, reason: reasonOf(answer.error) });
      done += 1;
      onProgress(done, total);
    }
  }

  await Promise.all(Array.from({ length: Math.min(MAX_CONCURRENT_CALLS, total) }, processQueue));
  return ok({ answers, unreachable, members });
}

function reasonOf(failure: Failure): string {
  const { cause } = failure.data as { readonly cause?: string };
  return cause ?? failure.message;
}
