/**
 * Asks members over their control port: JSON-RPC 2.0 by `POST /rpc` with the members' secret.
 */
import type { Failure } from '@cassiamast/coordination';
import { createJSONRPCRequest, isJSONRPCResponse } from 'json-rpc-2.0';
import { err, ok, type Result } from 'neverthrow';
import { Agent, request } from 'undici';
import { UNKNOWN_MEMBER_ANSWER } from '../process/failures.js';

/** A process that does not answer in this time is reported as unreachable. */
export const MEMBER_TIMEOUT_MS = 3_000;

/** The largest answer read: a full ring of events, or the list of a thousand members. */
const MAX_ANSWER_BYTES = 16 * 1024 * 1024;

/** Methods that the command line calls; all of them only read. */
export enum ReadMethod {
  Status = 'status.read',
  Timeline = 'timeline.read',
  Metrics = 'metrics.read',
}

/** Asks one member. */
export type AskMember = <Answer>(
  member: string,
  method: ReadMethod,
  params: object,
) => Promise<Result<Answer, Failure>>;

/** The client and the means to let go of its connections. */
export interface MemberClient {
  readonly ask: AskMember;
  readonly close: () => Promise<void>;
}

/** Makes a client that shows the secret. */
export function createMemberClient(secret: string): MemberClient {
  const dispatcher = new Agent({
    connect: { timeout: MEMBER_TIMEOUT_MS },
    maxResponseSize: MAX_ANSWER_BYTES,
  });
  const headers = { authorization: `Bearer ${secret}`, 'content-type': 'application/json' };
  let lastId = 0;

  async function exchange(member: string, method: ReadMethod, params: object): Promise<unknown> {
    lastId += 1;
    const answer = await request(`http://${member}/rpc`, {
      dispatcher,
      method: 'POST',
      headers,
      body: JSON.stringify(createJSONRPCRequest(lastId, method, params)),
      signal: AbortSignal.timeout(MEMBER_TIMEOUT_MS),
    });
    return answer.body.json();
  }

  return {
    ask: async <Answer>(member: string, method: ReadMethod, params: object) => {
      try {
        return readAnswer<Answer>(member, await exchange(member, method, params));
      } catch (error) {
        return err(UNKNOWN_MEMBER_ANSWER.of({ member, cause: causeOf(error) }));
      }
    },
    close: () => dispatcher.destroy(),
  };
}

function causeOf(error: unknown): string {
  const { message, code } = error as NodeJS.ErrnoException;
  if (message !== '') return message;
  return code ?? 'no answer';
}

function readAnswer<Answer>(member: string, body: unknown): Result<Answer, Failure> {
  if (isJSONRPCResponse(body) && !body.error) return ok(body.result as Answer);
  const failure = isJSONRPCResponse(body) ? (body.error?.data ?? body.error) : body;
  return err(UNKNOWN_MEMBER_ANSWER.of({ member, cause: messageOf(failure) }));
}

function messageOf(failure: unknown): string {
  const message: unknown = (failure as { message?: unknown } | null)?.message;
  return typeof message === 'string' ? message : 'the answer is not JSON-RPC';
}
