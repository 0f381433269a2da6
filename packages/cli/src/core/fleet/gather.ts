/**
 * Asks every member: the list comes from the first entry that answers, the questions go out a bounded number at a time,
 * and whoever could not be reached is named.
 */
import {
  MemberState,
  type Failure,
  type MemberStatus,
  type ProcessStatus,
  type UnreachableProcess,
} from '@cassiamast/coordination';
import { ok, type Result } from 'neverthrow';
import { ReadMethod, type AskMember } from './member-client.js';

/** Members asked at once; a fleet of 1,140 that answers in 5 ms takes under a second. */
const MAX_PARALLEL = 16;

/** What the members said. */
export interface Gathered<Answer> {
  readonly answers: readonly Answer[];
  readonly unreachable: readonly UnreachableProcess[];
  readonly members: readonly MemberStatus[];
}

/** Control addresses of entries; at least one. */
export type Entries = readonly [string, ...string[]];

/** Told after each answer. */
export type OnProgress = (done: number, total: number) => void;

/**
 * The members that the first entry to answer knows, itself included. An operator often asks just
 * when an entry is down, so the next one is asked then.
 */
export async function readMembers(
  ask: AskMember,
  entries: Entries,
): Promise<Result<readonly MemberStatus[], Failure>> {
  const [entry, next, ...others] = entries;
  const status = await ask<ProcessStatus>(entry, ReadMethod.Status, { withMembers: true });
  if (status.isErr() && next !== undefined) return readMembers(ask, [next, ...others]);
  return status.map((own) => withItself(own));
}

function withItself(own: ProcessStatus): readonly MemberStatus[] {
  const members = own.members ?? [];
  if (members.some(({ id }) => id === own.memberId)) return members;
  const { memberId: id, kind, failureDomain, target } = own;
  return [...members, { id, kind, failureDomain, target, state: MemberState.Alive }];
}

/** Asks all members that an entry knows. Errors only when none of the entries answers. */
export async function gather<Answer>(
  ask: AskMember,
  entries: Entries,
  method: ReadMethod,
  params: object,
  onProgress: OnProgress,
): Promise<Result<Gathered<Answer>, Failure>> {
  const list = await readMembers(ask, entries);
  if (list.isErr()) return list.map(() => ({ answers: [], unreachable: [], members: [] }));
  const members = list.value;
  const answers: Answer[] = [];
  const unreachable: UnreachableProcess[] = members
    .filter(({ state }) => state === MemberState.Dead)
    .map(({ id }) => ({ memberId: id, reason: 'the other members hold it dead' }));
  const queue = members.filter(({ state }) => state !== MemberState.Dead);
  const total = queue.length;
  let done = 0;

  async function work(): Promise<void> {
    for (let member = queue.shift(); member !== undefined; member = queue.shift()) {
      const answer = await ask<Answer>(member.id, method, params);
      if (answer.isOk()) answers.push(answer.value);
      else unreachable.push({ memberId: member.id, reason: reasonOf(answer.error) });
      done += 1;
      onProgress(done, total);
    }
  }

  await Promise.all(Array.from({ length: Math.min(MAX_PARALLEL, total) }, work));
  return ok({ answers, unreachable, members });
}

function reasonOf(failure: Failure): string {
  const { cause } = failure.data as { readonly cause?: string };
  return cause ?? failure.message;
}
